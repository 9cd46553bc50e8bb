package configwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"path/filepath"
	"sync"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/state"
)

// storeCloseTimeout is how long Session.Close waits for a write to disk. A disk that hangs must not delay the node's
// shutdown.
const storeCloseTimeout = time.Second

// Store stores a node's last known good version in a file. It writes in the background, so that Save does not wait for
// the disk. If several versions are saved during a write, only the newest of them is written.
type Store struct {
	path, node string
	log        *slog.Logger

	lock    sync.Mutex
	pending *configversion.LastKnownGood // the newest version that is not written yet; nil: none
	writing chan struct{}                // closed when all writes have ended; nil: no write is in progress
}

// StoreError reports that the last known good version could not be stored or read.
type StoreError struct {
	Path string
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("cannot read or store the last known good configuration (%s): %v: the node continues; check the folder's disk", e.Path, e.Err)
}

// Unwrap returns the error of the file system, or of decoding the file.
func (e *StoreError) Unwrap() error { return e.Err }

// NewStore returns the store of a node in a folder.
func NewStore(folder, node string, log *slog.Logger) *Store {
	return &Store{path: filepath.Join(folder, "hookwalk-config."+url.PathEscape(node)), node: node, log: log}
}

// Read returns the version that was stored last. If there is no file, it returns the zero value and no error. Its error
// is a *StoreError.
func (s *Store) Read() (configversion.LastKnownGood, error) {
	var saved configversion.LastKnownGood
	found := state.Read(s.path, s.node)
	switch {
	case found.Body == nil && len(found.Errors) > 0:
		return saved, &StoreError{s.path, found.Errors[0]}
	case found.Body == nil:
		return saved, nil
	}
	if err := json.Unmarshal(found.Body, &saved); err != nil {
		return configversion.LastKnownGood{}, &StoreError{s.path, err}
	}
	return saved, nil
}

// Save writes a version in the background. If Save is called again before the write starts, only the later version is
// written.
func (s *Store) Save(lastKnownGood configversion.LastKnownGood) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.pending = &lastKnownGood
	if s.writing == nil {
		s.writing = make(chan struct{})
		go s.writeAll(s.writing)
	}
}

// writeAll writes pending versions until none is left.
func (s *Store) writeAll(done chan struct{}) {
	defer close(done)
	for {
		version := s.takePending()
		if version == nil {
			return
		}
		if err := s.write(*version); err != nil {
			s.log.Warn("configuration version not stored", "version", version.Version, "err", &StoreError{s.path, err})
		}
	}
}

// takePending removes and returns the pending version. If there is none, it returns nil, and the next Save starts a new
// writeAll.
func (s *Store) takePending() *configversion.LastKnownGood {
	s.lock.Lock()
	defer s.lock.Unlock()
	version := s.pending
	s.pending = nil
	if version == nil {
		s.writing = nil
	}
	return version
}

// write replaces the file unless another process of the node has stored a newer version in it.
func (s *Store) write(lastKnownGood configversion.LastKnownGood) error {
	release, err := state.Lock(context.Background(), s.path)
	if err != nil {
		return err
	}
	defer release()
	if saved, err := s.Read(); err == nil && saved.Supersedes(lastKnownGood) {
		return nil
	}
	body, err := json.Marshal(lastKnownGood)
	if err != nil {
		return err
	}
	return state.Write(s.path, s.node, body)
}

// flush waits until all versions are written, or until the timeout elapses.
func (s *Store) flush(timeout time.Duration) {
	s.lock.Lock()
	writing := s.writing
	s.lock.Unlock()
	if writing == nil {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-writing:
	case <-timer.C:
	}
}
