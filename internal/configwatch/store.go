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

// storeCloseTimeout is how long a session that closes waits for a write to disk: a disk that hangs must not hold up the
// node's shutdown.
const storeCloseTimeout = time.Second

// Store stores a node's last known good version in a file. Writes are in the background: nobody waits for the disk, and
// of the versions that come during a write only the newest is written.
type Store struct {
	path, node string
	log        *slog.Logger

	lock    sync.Mutex
	pending *configversion.LastKnownGood // the newest that is not written yet; nil: none
	writing chan struct{}                // closed when the writes in progress have ended; nil: there are none
}

// StoreError reports that the last known good version could not be stored or read.
type StoreError struct {
	Path string
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("the last known good configuration (%s): %v: the node goes on; look at the folder's disk", e.Path, e.Err)
}

// Unwrap returns the error of the file or of its content.
func (e *StoreError) Unwrap() error { return e.Err }

// NewStore makes the store of a node in a folder.
func NewStore(folder, node string, log *slog.Logger) *Store {
	return &Store{path: filepath.Join(folder, "hookwalk-config."+url.PathEscape(node)), node: node, log: log}
}

// Read reads what was stored last. Without a file it returns the zero value and no error; its errors are *StoreErrors.
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

// Save writes a version in the background, unless a newer one comes first.
func (s *Store) Save(lastKnownGood configversion.LastKnownGood) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.pending = &lastKnownGood
	if s.writing == nil {
		s.writing = make(chan struct{})
		go s.writeAll(s.writing)
	}
}

// writeAll writes the pending versions until there is none.
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

// takePending takes the pending version. If there is none, it returns nil, and the next Save starts to write again.
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

// write replaces the file, unless another process of the node has stored a newer version there.
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

// flush waits until all is written, at most for a time.
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
