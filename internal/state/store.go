package state

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
)

// Store keeps one thing on disk for callers that come side by side, of this process and of another one: what each of
// them has changed before it called is in the file when its call returns. Callers that wait together share a write.
type Store struct {
	Path, Owner string
	OnBusy      func() // is told that another process has the lock and hangs; then it writes nothing either

	wanted  atomic.Uint64
	mu      sync.Mutex
	written uint64 // what is on disk covers so many of them
}

// Save has what is now so on disk. what is called with nobody else writing, here or in another process.
func (k *Store) Save(ctx context.Context, what func() (json.RawMessage, error)) error {
	mine := k.wanted.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.written >= mine {
		return nil
	}
	covered := k.wanted.Load() // all that these have changed, what sees
	release, err := Lock(ctx, k.Path)
	if errors.Is(err, ErrBusy) {
		k.OnBusy()
		err = nil
	}
	defer release()
	var body json.RawMessage
	if err == nil {
		body, err = what()
	}
	if err == nil {
		err = Write(k.Path, k.Owner, body)
	}
	if err == nil { // else each that waits tries by itself: it may have failed for its caller's sake
		k.written = covered
	}
	return err
}

// Read gives the newest that can be used.
func (k *Store) Read() Snapshot { return Read(k.Path, k.Owner) }
