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

// storePatience is how long a session that ends waits for a write to disk.
const storePatience = time.Second

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
	var kept configversion.LastKnownGood
	found := state.Read(s.path, s.node)
	switch {
	case found.Body == nil && len(found.Errors) > 0:
		return kept, &StoreError{s.path, found.Errors[0]}
	case found.Body == nil:
		return kept, nil
	}
	if err := json.Unmarshal(found.Body, &kept); err != nil {
		return configversion.LastKnownGood{}, &StoreError{s.path, err}
	}
	return kept, nil
}

// Save has a version written, unless a newer one comes first. It does not wait.
func (s *Store) Save(kept configversion.LastKnownGood) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.newest = &kept
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
		kept := s.newest
		s.newest = nil
		if kept == nil {
			s.writing = nil
		}
		s.lock.Unlock()
		if kept == nil {
			return
		}
		if err := s.write(*kept); err != nil {
			s.log.Warn("configuration version not kept", "version", kept.Version, "err", &StoreError{s.path, err})
		}
	}
}

// write replaces the file, unless another process of the node has kept a newer version there.
func (s *Store) write(kept configversion.LastKnownGood) error {
	release, err := state.Lock(context.Background(), s.path)
	if err != nil {
		return err
	}
	defer release()
	if there, err := s.Read(); err == nil && there.Supersedes(kept) {
		return nil
	}
	body, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	return state.Write(s.path, s.node, body)
}

// wait waits until all is written, but not for longer than most.
func (s *Store) wait(most time.Duration) {
	s.lock.Lock()
	writing := s.writing
	s.lock.Unlock()
	if writing == nil {
		return
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-writing:
	case <-timer.C:
	}
}
