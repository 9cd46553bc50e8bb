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
)

// folders are the nodes' own $TMPDIR, in which they find again what they knew, and what becomes of them between two
// incarnation. Nil folders are none.
type folders struct {
	rig *rig
	dir string

	mu         sync.Mutex
	next       map[int]string // by node: what its next life finds; none: all as it was
	unwritable map[int]bool   // nodes whose present life may write nothing
	missing    map[int]bool   // and those without a folder, where not even two processes of a node meet
	rng        *rand.Rand
}

// oldFolderAge is the age of an old folder's files.
const oldFolderAge = time.Hour

// newFolders makes one for each node. Their paths are short, for a socket is in them.
func newFolders(r *rig) (*folders, error) {
	f := &folders{rig: r, dir: filepath.Join(r.dir, "t"), next: map[int]string{}, unwritable: map[int]bool{}, missing: map[int]bool{},
		rng: model.Stream(r.scenario.Seed, "folders", 0)}
	for i := range r.infos {
		if err := os.MkdirAll(f.path(i), 0o700); err != nil {
			return nil, err
		}
		r.nodes.SetFolder(i, f.path(i), func(cmd *exec.Cmd) { f.processStarts(i, cmd) })
	}
	return f, nil
}

func (f *folders) path(i int) string     { return filepath.Join(f.dir, strconv.Itoa(i)) }
func (f *folders) pastPath(i int) string { return filepath.Join(f.dir, "past", strconv.Itoa(i)) }

// snapshot keeps each folder as it is now, for a node that finds an old one.
func (f *folders) snapshot() error {
	if f == nil {
		return nil
	}
	for i := range f.rig.infos {
		if err := replaceFiles(f.pastPath(i), f.path(i)); err != nil {
			return err
		}
	}
	return nil
}

// setNext says what a node finds when it starts again.
func (f *folders) setNext(i int, how string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next[i] = how
}

// betweenIncarnations is what happens to a node's folder between two lives.
func (f *folders) betweenIncarnations(i int) func() error {
	if f == nil {
		return nil
	}
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		how := f.next[i]
		delete(f.next, i)
		f.unwritable[i], f.missing[i] = how == "full" || how == "unwritable", how == "unwritable"
		if how != "" && how != "kept" && how != "full" {
			f.rig.overrides.folderLost(i)
		}
		return changeFolder(how, f.path(i), f.pastPath(i), f.path((i+1)%len(f.rig.infos)), f.rng)
	}
}

// processStarts takes the room on its disk from a process whose disk is full: no file may grow. What it has written meanwhile
// stands.
func (f *folders) processStarts(i int, cmd *exec.Cmd) {
	f.rig.overrides.nodeStarts(i)
	if f.cannotWrite(i) {
		err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: 0}, nil)
		if err != nil {
			f.rig.cancel(fmt.Errorf("a full disk: %w", err))
		}
	}
}

// cannotWrite says that a node's present life can write nothing.
func (f *folders) cannotWrite(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unwritable[i]
}

// separated says that a node's processes can't meet.
func (f *folders) separated(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missing[i]
}

// changeFolder does to a node's folder what becomes of it: past is what it was at the beginning, other is another node's.
func changeFolder(how, dir, past, other string, draws *rand.Rand) error {
	if info, err := os.Lstat(dir); err != nil || !info.IsDir() { // as it was left unwritable
		os.Remove(dir)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
	}
	switch how {
	case "emptied":
		return emptyFolder(dir)
	case "cut":
		return eachFile(dir, func(path string, size int64) error {
			if size == 0 {
				return nil
			}
			return os.Truncate(path, draws.Int64N(size))
		})
	case "old":
		if err := replaceFiles(dir, past); err != nil {
			return err
		}
		then := time.Now().Add(-oldFolderAge)
		return eachFile(dir, func(path string, _ int64) error { return os.Chtimes(path, then, then) })
	case "other":
		return swapFiles(dir, other)
	case "unwritable": // whoever the rig runs as: a file stands where the folder was
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		return os.WriteFile(dir, nil, 0o600)
	}
	return nil
}

// eachFile does something with every plain file of a folder. Sockets are none, and one that goes meanwhile is nothing.
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

func emptyFolder(dir string) error {
	list, err := os.ReadDir(dir)
	for _, e := range list {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return err
		}
	}
	return err
}

// replaceFiles makes a folder's files those of another.
func replaceFiles(dir, from string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := emptyFolder(dir); err != nil {
		return err
	}
	return eachFile(from, func(path string, _ int64) error { return copyFile(filepath.Join(dir, filepath.Base(path)), path) })
}

// swapFiles puts another node's files under the names of this one's, of the same kind by their ending.
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

func copyFile(to, from string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, text, fs.FileMode(0o600))
}
