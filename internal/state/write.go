package state

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
)

// filePermissions: what operators said is nobody else's to read or change.
const filePermissions = 0o600

// Write replaces the file at path. When it returns nil, the new one is on disk. It must not run beside another Write of the
// same path: see Lock. A process that is killed, or a machine that loses power, in or after a step leaves this:
//
//  1. Leftovers of killed processes are removed, and the new text is written to a temporary file in the same folder.
//     The file at path is untouched; the temporary file is removed by the next Write.
//  2. The present file gets a second name, PATH.before, if it can be used (keepPrevious).
//     The file at path is still the present one.
//  3. The temporary file is synced to disk, then renamed to path.
//     At path is the old file or the new one, whole: no text is renamed that is not on disk.
//  4. The folder is synced.
//     The new name itself survives the loss of power from here on. Only now is the caller told of success.
//
// Should the disk damage the file at path later, Read finds the previous one.
func Write(path, owner string, body json.RawMessage) error {
	text, err := encode(path, owner, body)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := replace(path, owner, text); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// encode makes the text of a file of now.
func encode(path, owner string, body json.RawMessage) ([]byte, error) {
	f := file{Version: Version, Owner: owner, Body: body}
	f.BootID, f.SinceBoot = BootClock()
	f.Checksum = f.checksum()
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(text) > MaxFileSize {
		return nil, fmt.Errorf("%d bytes for %s: %w", len(text), path, ErrTooLarge)
	}
	return text, nil
}

// replace does the steps of Write.
func replace(path, owner string, text []byte) error {
	dir := filepath.Dir(path)
	removeLeftovers(path)
	pending, err := renameio.NewPendingFile(path, renameio.WithTempDir(dir), renameio.WithStaticPermissions(filePermissions))
	if err != nil {
		return err
	}
	defer pending.Cleanup()
	if _, err := pending.Write(text); err != nil {
		return err
	}
	if err := keepPrevious(path, owner); err != nil {
		return err
	}
	if err := pending.CloseAtomicallyReplace(); err != nil { // syncs the file first
		return err
	}
	return syncDir(dir)
}

// keepPrevious gives the present file its second name. A file that can't be used never takes the place of the last one
// that can: else a damaged file and a crash in the next write would leave none. The second name is made under a third one
// and renamed, so that a crash in between leaves the file before it.
func keepPrevious(path, owner string) error {
	if _, err := loadOwned(path, owner); err != nil {
		return nil
	}
	link := linkPath(path)
	if err := os.Link(path, link); err != nil {
		return err
	}
	defer os.Remove(link) // rename(2) leaves it if the previous file is the present one already
	return os.Rename(link, previousPath(path))
}

// linkPath is the name that the present file has until it is renamed to previousPath.
func linkPath(path string) string { return previousPath(path) + ".new" }

// syncDir puts the names of a folder's files on disk: without it a loss of power may bring the old file back after the
// caller was told that the new one is there.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// removeLeftovers removes the temporary files and names of processes that were killed as they wrote: a process that is
// killed again and again would fill the disk.
func removeLeftovers(path string) {
	os.Remove(linkPath(path))
	dir, prefix := filepath.Dir(path), "."+filepath.Base(path)
	entries, err := os.ReadDir(dir) // not filepath.Glob, which takes a [ in the path for a pattern
	if err != nil {
		return
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), prefix) {
			os.Remove(filepath.Join(dir, entry.Name())) // one that can't be removed costs some space, no more
		}
	}
}
