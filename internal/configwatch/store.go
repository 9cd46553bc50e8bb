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

// storeCloseTimeout is how long a session that ends waits for a write to disk.
const storeCloseTimeout = time.Second

// Store keeps a node's last known good version in a file. Writes go on by themselves: nobody waits for the disk, and of
// the versions that come while it writes only the newest is written.
type Store struct {
	path, node string
	log        *slog.Logger

	lock    sync.Mutex
	newest  *configversion.LastKnownGood // not written yet; nil: none
	writing chan struct{}                // closed when the write under way has ended; nil: none is
}

// StoreError says that the last known good version could not be kept or read.
type StoreError struct {
	Path string
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("the last known good configuration (%s): %v: the node goes on; look at the folder's disk", e.Path, e.Err)
}

// Unwrap returns what is wrong.
func (e *StoreError) Unwrap() error { return e.Err }

// NewStore is the store of a node in a folder.
func NewStore(folder, node string, log *slog.Logger) *Store {
	return &Store{path: filepath.Join(folder, "hookwalk-config."+url.PathEscape(node)), node: node, log: log}
}

// Read reads what was kept last. Without a file there is nothing kept, and no error.
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

// Save has a version written, unless a newer one comes first. It does not wait.
func (s *Store) Save(lastKnownGood configversion.LastKnownGood) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.newest = &lastKnownGood
	if s.writing == nil {
		s.writing = make(chan struct{})
		go s.writeAll(s.writing)
	}
}

// writeAll writes until nothing newer has come.
func (s *Store) writeAll(done chan struct{}) {
	defer close(done)
	for {
		s.lock.Lock()
		lastKnownGood := s.newest
		s.newest = nil
		if lastKnownGood == nil {
			s.writing = nil
		}
		s.lock.Unlock()
		if lastKnownGood == nil {
			return
		}
		if err := s.write(*lastKnownGood); err != nil {
			s.log.Warn("configuration version not kept", "version", lastKnownGood.Version, "err", &StoreError{s.path, err})
		}
	}
}

// write replaces the file, unless another process of the node has kept a newer version there.
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

// flush waits until all is written, but not for longer than most.
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
