package state

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
)

// Store saves one file for concurrent callers, in this process and in others. When Save returns without an error, all
// changes that its caller made before the call are on disk. Callers that wait at the same time share one write.
type Store struct {
	Path, Owner string
	// OnLockTimeout is called when another process did not release the lock in time (ErrLockTimeout). The file is written
	// nevertheless: the other process most likely hangs and does not write, and an operator's change must not be lost.
	OnLockTimeout func()

	requests      atomic.Uint64 // number of calls of Save so far
	mu            sync.Mutex    // held while the file is written
	savedRequests uint64        // the changes of the first savedRequests requests are on disk
}

// Save writes the result of current to disk, unless another caller's write has meanwhile saved this caller's change. current
// is called while no other goroutine or process writes, so its result includes all changes that callers have made by then.
// The error is that of current, Lock or Write.
func (s *Store) Save(ctx context.Context, current func() (json.RawMessage, error)) error {
	request := s.requests.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.savedRequests >= request {
		return nil // another caller's write, which began after this request, includes the change
	}
	included := s.requests.Load() // the result of current will include the changes of all these requests
	if err := s.write(ctx, current); err != nil {
		return err // waiting callers write again themselves: the error may come from this caller's context
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

// Read returns the newest usable file.
func (s *Store) Read() Snapshot { return Read(s.Path, s.Owner) }
