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

// folders manages a separate $TMPDIR for each node, where its next incarnation finds the persisted state, and changes its
// contents between incarnations. If it is nil, all nodes share one folder.
type folders struct {
	rig *rig
	dir string

	mu         sync.Mutex
	next       map[int]string // by node: the folder state that its next incarnation finds; no entry: unchanged
	unwritable map[int]bool   // nodes whose current incarnation cannot write files
	missing    map[int]bool   // nodes without a folder, so that a successor cannot contact its predecessor
	rng        *rand.Rand
}

// oldFolderAge is the age of the files in an old folder.
const oldFolderAge = time.Hour

// newFolders creates a folder for each node. The paths are short because they hold a socket, whose path length is limited.
func newFolders(r *rig) (*folders, error) {
	f := &folders{rig: r, dir: filepath.Join(r.dir, "t"), next: map[int]string{}, unwritable: map[int]bool{}, missing: map[int]bool{},
		rng: model.Stream(r.scenario.Seed, "folders", 0)}
	for i := range r.infos {
		if err := os.MkdirAll(f.path(i), 0o700); err != nil {
			return nil, err
		}
		r.nodes.SetTempDir(i, f.path(i), func(cmd *exec.Cmd) { f.onProcessStart(i, cmd) })
	}
	return f, nil
}

// path returns a node's folder.
func (f *folders) path(i int) string { return filepath.Join(f.dir, strconv.Itoa(i)) }

// snapshotPath returns the folder with the snapshot of a node's folder.
func (f *folders) snapshotPath(i int) string { return filepath.Join(f.dir, "past", strconv.Itoa(i)) }

// snapshot copies each node's folder, for nodes that are to find an old one later.
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

// setNext sets the state in which a node finds its folder at its next start.
func (f *folders) setNext(i int, state string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next[i] = state
}

// betweenIncarnations returns a function that changes a node's folder between two incarnations.
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

// onProcessStart simulates a full disk for a process that is to have one: it sets the file size limit to 0, so that no file
// can grow. What the process has written by then remains.
func (f *folders) onProcessStart(i int, cmd *exec.Cmd) {
	f.rig.overrides.recordInherited(i)
	if f.isUnwritable(i) {
		err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: 0}, nil)
		if err != nil {
			f.rig.cancel(fmt.Errorf("simulating a full disk for node %d: %w", i, err))
		}
	}
}

// isUnwritable reports whether a node's current incarnation cannot write files.
func (f *folders) isUnwritable(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unwritable[i]
}

// folderMissing reports whether a node has no folder, so that two of its processes cannot contact each other.
func (f *folders) folderMissing(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missing[i]
}

// changeFolder brings a node's folder into a state. past is the snapshot of the folder, and other is another node's folder.
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
	case scenario.FolderTruncated:
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
		modTime := time.Now().Add(-oldFolderAge)
		return eachFile(dir, func(path string, _ int64) error { return os.Chtimes(path, modTime, modTime) })
	case scenario.FolderOther:
		return swapFiles(dir, other)
	case scenario.FolderUnwritable: // a file in place of the folder: permissions would not stop root
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		return os.WriteFile(dir, nil, 0o600)
	}
	return nil
}

// eachFile calls do for every regular file of a folder. It skips files that are removed in the meantime.
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

// emptyFolder removes the contents of a folder.
func emptyFolder(dir string) error {
	list, err := os.ReadDir(dir)
	for _, e := range list {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return err
		}
	}
	return err
}

// replaceFiles replaces the contents of a folder with copies of another folder's files.
func replaceFiles(dir, from string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := emptyFolder(dir); err != nil {
		return err
	}
	return eachFile(from, func(path string, _ int64) error { return copyFile(filepath.Join(dir, filepath.Base(path)), path) })
}

// swapFiles copies another node's files over this node's files with the same extension, or under their own names if there
// are none.
func swapFiles(dir, other string) error {
	byExtension := map[string][]string{}
	if err := eachFile(dir, func(path string, _ int64) error {
		byExtension[filepath.Ext(path)] = append(byExtension[filepath.Ext(path)], path)
		return nil
	}); err != nil {
		return err
	}
	if info, err := os.Lstat(other); err != nil || !info.IsDir() {
		return nil // the other node has no folder now
	}
	return eachFile(other, func(path string, _ int64) error {
		targets := byExtension[filepath.Ext(path)]
		if len(targets) == 0 {
			targets = []string{filepath.Join(dir, filepath.Base(path))}
		}
		for _, name := range targets {
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
