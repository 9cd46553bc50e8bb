package fleet

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// folders are the nodes' own $TMPDIR, in which they find again what they persisted, and what becomes of them between two
// incarnations. With nil folders all nodes share one.
type folders struct {
	rig *rig
	dir string

	mu         sync.Mutex
	next       map[int]string // by node: the state that its next incarnation finds; none: all as it was
	unwritable map[int]bool   // nodes whose present incarnation can write nothing
	missing    map[int]bool   // nodes without a folder, where not even two processes of one node can meet
	rng        *rand.Rand
}

// oldFolderAge is the age of an old folder's files.
const oldFolderAge = time.Hour

// newFolders makes a folder for each node. Their paths are short, for a socket is in them.
func newFolders(r *rig) (*folders, error) {
	f := &folders{rig: r, dir: filepath.Join(r.dir, "t"), next: map[int]string{}, unwritable: map[int]bool{}, missing: map[int]bool{},
		rng: model.Stream(r.scenario.Seed, "folders", 0)}
	for i := range r.infos {
		if err := os.MkdirAll(f.path(i), 0o700); err != nil {
			return nil, err
		}
		r.nodes.SetFolder(i, f.path(i), func(cmd *exec.Cmd) { f.onProcessStart(i, cmd) })
	}
	return f, nil
}

// path is a node's folder.
func (f *folders) path(i int) string { return filepath.Join(f.dir, strconv.Itoa(i)) }

// snapshotPath is where a node's folder is kept as it was at the beginning.
func (f *folders) snapshotPath(i int) string { return filepath.Join(f.dir, "past", strconv.Itoa(i)) }

// snapshot copies each folder as it is now, for a node that finds an old one.
func (f *folders) snapshot() error {
	if f == nil {
		return nil
	}
	for i := range f.rig.infos {
		if err := replaceFiles(f.snapshotPath(i), f.path(i)); err != nil {
			return err
		}
	}
	return nil
}

// setNext says in which state a node finds its folder at its next start.
func (f *folders) setNext(i int, state string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next[i] = state
}

// betweenIncarnations returns what happens to a node's folder between two incarnations.
func (f *folders) betweenIncarnations(i int) func() error {
	if f == nil {
		return nil
	}
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		state := f.next[i]
		delete(f.next, i)
		f.missing[i] = state == scenario.FolderUnwritable
		f.unwritable[i] = f.missing[i] || state == scenario.FolderFull
		if state != "" && state != scenario.FolderKept && state != scenario.FolderFull {
			f.rig.overrides.forgetNode(i)
		}
		return changeFolder(state, f.path(i), f.snapshotPath(i), f.path((i+1)%len(f.rig.infos)), f.rng)
	}
}

// onProcessStart makes the disk full for a process that is to have a full one: no file may grow. What it has written by then
// stays.
func (f *folders) onProcessStart(i int, cmd *exec.Cmd) {
	f.rig.overrides.recordInherited(i)
	if f.isUnwritable(i) {
		err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: 0}, nil)
		if err != nil {
			f.rig.cancel(fmt.Errorf("a full disk: %w", err))
		}
	}
}

// isUnwritable says that a node's present incarnation can write nothing.
func (f *folders) isUnwritable(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unwritable[i]
}

// folderMissing says that two processes of a node can't meet, as they have no folder.
func (f *folders) folderMissing(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missing[i]
}

// changeFolder brings a node's folder into a state: past is what it was at the beginning, other is another node's.
func changeFolder(state, dir, past, other string, rng *rand.Rand) error {
	if info, err := os.Lstat(dir); err != nil || !info.IsDir() { // it was unwritable before
		os.Remove(dir)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
	}
	switch state {
	case scenario.FolderEmptied:
		return emptyFolder(dir)
	case scenario.FolderCut:
		return eachFile(dir, func(path string, size int64) error {
			if size == 0 {
				return nil
			}
			return os.Truncate(path, rng.Int64N(size))
		})
	case scenario.FolderOld:
		if err := replaceFiles(dir, past); err != nil {
			return err
		}
		then := time.Now().Add(-oldFolderAge)
		return eachFile(dir, func(path string, _ int64) error { return os.Chtimes(path, then, then) })
	case scenario.FolderOther:
		return swapFiles(dir, other)
	case scenario.FolderUnwritable: // for every user: a file stands where the folder was
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		return os.WriteFile(dir, nil, 0o600)
	}
	return nil
}

// eachFile does something with every plain file of a folder. Sockets are none, and a file that goes in between is skipped.
func eachFile(dir string, do func(path string, size int64) error) error {
	list, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range list {
		info, err := e.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		if err := do(filepath.Join(dir, e.Name()), info.Size()); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	return nil
}

// emptyFolder removes all that is in a folder.
func emptyFolder(dir string) error {
	list, err := os.ReadDir(dir)
	for _, e := range list {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return err
		}
	}
	return err
}

// replaceFiles replaces a folder's files by copies of another's.
func replaceFiles(dir, from string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := emptyFolder(dir); err != nil {
		return err
	}
	return eachFile(from, func(path string, _ int64) error { return copyFile(filepath.Join(dir, filepath.Base(path)), path) })
}

// swapFiles copies another node's files under the names of this one's, of the same kind by their extension.
func swapFiles(dir, other string) error {
	mine := map[string][]string{}
	if err := eachFile(dir, func(path string, _ int64) error {
		mine[filepath.Ext(path)] = append(mine[filepath.Ext(path)], path)
		return nil
	}); err != nil {
		return err
	}
	if info, err := os.Lstat(other); err != nil || !info.IsDir() {
		return nil // it has none now
	}
	return eachFile(other, func(path string, _ int64) error {
		to := mine[filepath.Ext(path)]
		if len(to) == 0 {
			to = []string{filepath.Join(dir, filepath.Base(path))}
		}
		for _, name := range to {
			if err := copyFile(name, path); err != nil {
				return err
			}
		}
		return nil
	})
}

// copyFile copies a file.
func copyFile(to, from string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, text, fs.FileMode(0o600))
}
