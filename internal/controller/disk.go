package controller

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	// identityFile is the name of the file with the identity.
	identityFile = "identity.json"
	// logFile is the name of the file with raft's log and its stable store.
	logFile = "raft.db"
	// snapshotFolder is the name of the folder that raft's snapshot store creates.
	snapshotFolder = "snapshots"

	// retainedSnapshots is how many snapshots stay on disk: the newest, and the previous one in case the newest is
	// damaged.
	retainedSnapshots = 2
	// logCacheEntries is how many log entries stay in memory for followers. Each entry may be as large as
	// configapi.MaxDocumentBytes.
	logCacheEntries = 16
	// lockTimeout is how long a start waits while another process has the folder locked, for example one that is
	// shutting down.
	lockTimeout = 2 * time.Second
)

// identity states which controller and which raft server a folder belongs to. It is written before any state of raft.
type identity struct {
	Name string `json:"name"` // of the controller
	// ServerID is the raft server ID. On a disk of a new cluster it is the controller's name. A disk that replaces a
	// lost or stale one has a new ID, so that it is not mistaken for the server that voted before. Empty: not decided
	// yet.
	ServerID string `json:"server"`
	// Start is the start number: it rises by 1 with each start on the disk. See checkDiskFreshness.
	Start uint64 `json:"start"`
}

// disk is the open folder of a controller.
type disk struct {
	folder    string
	identity  identity
	bolt      *raftboltdb.BoltStore
	logs      raft.LogStore
	snapshots raft.SnapshotStore
}

// openDisk opens a controller's folder, creates it if it does not exist, and increments the start number. Its error is
// a FolderError.
func openDisk(folder, name string) (*disk, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &FolderError{folder, writableFolderAdvice, err}
	}
	d := &disk{folder: folder}
	if err := d.openLog(); err != nil {
		return nil, err
	}
	if err := d.readIdentity(name); err != nil {
		_ = d.bolt.Close()
		return nil, err
	}
	d.identity.Start++
	if err := d.writeIdentity(); err != nil {
		_ = d.bolt.Close()
		return nil, err
	}
	return d, nil
}

// openLog opens the log, which locks the folder against other processes, and the snapshot store.
func (d *disk) openLog() error {
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(d.folder, logFile),
		BoltOptions: &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType}})
	if err != nil {
		return &FolderError{d.folder, "another controller may be using the folder, or the file " + logFile + " may be damaged", err}
	}
	logCache, err := raft.NewLogCache(logCacheEntries, bolt)
	if err != nil {
		_ = bolt.Close()
		return &FolderError{d.folder, "", err}
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(d.folder, retainedSnapshots, discardLogger())
	if err != nil {
		_ = bolt.Close()
		return &FolderError{d.folder, writableFolderAdvice, err}
	}
	d.bolt, d.logs, d.snapshots = bolt, logCache, snapshots
	return nil
}

func (d *disk) readIdentity(name string) error {
	text, err := os.ReadFile(filepath.Join(d.folder, identityFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return d.initIdentity(name)
	case err != nil:
		return &FolderError{d.folder, "the controller must be able to read " + identityFile, err}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&d.identity); err != nil {
		return &FolderError{d.folder, emptyFolderAdvice, err}
	}
	if d.identity.Name != name {
		return &FolderError{d.folder, "the folder is a copy of the disk of controller " + d.identity.Name + ", but this is controller " + name +
			": " + emptyFolderAdvice, nil}
	}
	return nil
}

// initIdentity sets the identity of an empty folder.
func (d *disk) initIdentity(name string) error {
	hasState, err := d.hasState()
	if err != nil {
		return &FolderError{d.folder, emptyFolderAdvice, err}
	}
	if hasState {
		return &FolderError{d.folder, "the folder has a log but no " + identityFile + ": " + emptyFolderAdvice, nil}
	}
	d.identity = identity{Name: name}
	return nil
}

// writeIdentity writes the identity, and returns once it is on disk.
func (d *disk) writeIdentity() error {
	text, err := json.Marshal(d.identity)
	if err == nil {
		err = renameio.WriteFile(filepath.Join(d.folder, identityFile), text, 0o600)
	}
	if err == nil {
		err = syncFolder(d.folder)
	}
	if err != nil {
		return &FolderError{d.folder, checkDiskAdvice, err}
	}
	return nil
}

// setServerID stores the raft server ID of the disk, which stays the same until the disk is reset.
func (d *disk) setServerID(server string) error {
	d.identity.ServerID = server
	return d.writeIdentity()
}

// hasState reports whether raft has written to the disk.
func (d *disk) hasState() (bool, error) { return raft.HasExistingState(d.logs, d.bolt, d.snapshots) }

func (d *disk) close() error { return d.bolt.Close() }

// reset empties a folder whose content must not be used, and opens it again. The start number is 1 again; the caller
// has to set a new server ID.
func (d *disk) reset() error {
	if err := d.bolt.Close(); err != nil {
		return &FolderError{d.folder, checkDiskAdvice, err}
	}
	for _, entry := range []string{identityFile, logFile, snapshotFolder} {
		if err := os.RemoveAll(filepath.Join(d.folder, entry)); err != nil {
			return &FolderError{d.folder, checkDiskAdvice, err}
		}
	}
	name := d.identity.Name
	if err := d.openLog(); err != nil {
		return err
	}
	d.identity = identity{Name: name, Start: 1}
	return d.writeIdentity()
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// randomText returns a random text of 26 letters and digits, long enough to be unique.
func randomText() string { return rand.Text() }
