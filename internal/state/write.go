package state

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
)

// filePermissions prevents other users from reading or changing the persisted state.
const filePermissions = 0o600

// Write replaces the file at path. When it returns nil, the new file is on disk. The caller must prevent concurrent calls
// for the same path with Lock. The following list contains the steps and, for each step, the files that remain if the
// process is killed or the machine loses power during or after it:
//
//  1. Write removes leftovers of killed processes, and writes the new content to a temporary file in the same directory.
//     The file at path is unchanged. The next Write removes the temporary file.
//  2. If the current file is usable, it gets a second name, PATH.before (keepPrevious).
//     The file at path is still the current one.
//  3. The temporary file is synced to disk, then renamed to path.
//     The file at path is either the old or the new one, and complete: the content is on disk before the rename.
//  4. The directory is synced.
//     From now on, the new name survives a loss of power. Only then does Write return nil.
//
// If the disk damages the file at path later, Read returns the previous version.
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

// encode returns the content of a file with the current time as the time of writing.
func encode(path, owner string, body json.RawMessage) ([]byte, error) {
	f := file{Version: Version, Owner: owner, Body: body}
	f.BootID, f.SinceBoot = BootClock()
	f.Checksum = f.checksum()
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(text) > MaxFileSize {
		return nil, fmt.Errorf("can't write %d bytes to %s: %w", len(text), path, ErrTooLarge)
	}
	return text, nil
}

// replace performs the steps of Write.
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

// keepPrevious makes the current file the previous version. An unusable file never replaces the last usable one: otherwise
// a damaged file and a crash in the next write would leave no usable file. The link is created under a temporary name and
// then renamed, so that a crash in between leaves the old previous version.
func keepPrevious(path, owner string) error {
	if _, err := loadOwned(path, owner); err != nil {
		return nil
	}
	link := linkPath(path)
	if err := os.Link(path, link); err != nil {
		return err
	}
	defer os.Remove(link) // rename(2) does not remove it if both names already refer to the same file
	return os.Rename(link, previousPath(path))
}

// linkPath returns the temporary name of the link that keepPrevious renames to previousPath.
func linkPath(path string) string { return previousPath(path) + ".new" }

// syncDir syncs the entries of a directory to disk. Without it, the old file could reappear after a loss of power, although
// Write has returned nil.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// removeLeftovers removes temporary files and links of processes that were killed during a write. Otherwise they would fill
// the disk if processes are killed repeatedly.
func removeLeftovers(path string) {
	os.Remove(linkPath(path))
	dir, prefix := filepath.Dir(path), "."+filepath.Base(path)
	entries, err := os.ReadDir(dir) // not filepath.Glob, which interprets a [ in the path as a pattern
	if err != nil {
		return
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), prefix) {
			os.Remove(filepath.Join(dir, entry.Name())) // a file that can't be removed only takes up space
		}
	}
}
