package state

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
)

// Store is one file for callers that come at once, in this process and in another one: what a caller changed before it
// called Save is on disk when its call returns. Callers that wait together share a write.
type Store struct {
	Path, Owner string
	// OnLockTimeout is called when another process did not release the lock in time (ErrBusy). The file is written all the same: that
	// process most likely hangs and does not write, and what an operator said must not be lost for its sake.
	OnLockTimeout func()

	requests      atomic.Uint64 // calls of Save so far
	mu            sync.Mutex    // held while the file is written
	savedRequests uint64        // of requests, how many are on disk
}

// Save has on disk what current returns. current is called while nobody else writes, here or in another process, so that
// it sees all that callers up to now have changed. It fails with the error of current, of the lock, or of Write.
func (s *Store) Save(ctx context.Context, current func() (json.RawMessage, error)) error {
	request := s.requests.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.savedRequests >= request {
		return nil // the write of another caller, which began after this request
	}
	included := s.requests.Load() // current will see what all these have changed
	if err := s.write(ctx, current); err != nil {
		return err // covered stays: callers that wait try by themselves, for the error may be this caller's context's
	}
	s.savedRequests = included
	return nil
}

func (s *Store) write(ctx context.Context, current func() (json.RawMessage, error)) error {
	release, err := Lock(ctx, s.Path)
	defer release()
	if errors.Is(err, ErrLockTimeout) {
		s.OnLockTimeout()
	} else if err != nil {
		return err
	}
	body, err := current()
	if err != nil {
		return err
	}
	return Write(s.Path, s.Owner, body)
}

// Read returns the newest file that can be used.
func (s *Store) Read() Snapshot { return Read(s.Path, s.Owner) }
