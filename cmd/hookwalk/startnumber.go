//go:build !nolab

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/state"
)

// startNumberFile persists the number of a node's starts, which peers compare to tell a new incarnation from an old one. It
// implements peers.StartStore.
type startNumberFile struct {
	path   string
	owner  string // the node's name
	log    *slog.Logger
	writes sync.WaitGroup // in progress
}

// StartNumberError says that the number of a start could not be read or written. The node goes on.
type StartNumberError struct {
	Path string
	Err  error
}

func (e *StartNumberError) Error() string {
	return fmt.Sprintf("the number of this start (%s): %v: the peers settle it; look at the folder's disk", e.Path, e.Err)
}

// Unwrap returns what is wrong.
func (e *StartNumberError) Unwrap() error { return e.Err }

// Next returns the stored number plus one, and stores it in the background. With an error the number is 1.
func (s *startNumberFile) Next() (uint64, error) {
	var last uint64
	var readErr error
	stored := state.Read(s.path, s.owner)
	switch {
	case stored.Body != nil:
		readErr = json.Unmarshal(stored.Body, &last)
	case len(stored.Errors) > 0:
		readErr = stored.Errors[0]
	}
	// A node that is killed before the number is on disk claims it again; its peers refute it, and it takes a higher one.
	s.writes.Go(func() {
		if err := s.write(last + 1); err != nil {
			s.log.Warn("peers", "err", err)
		}
	})
	if readErr != nil {
		return last + 1, &StartNumberError{s.path, readErr}
	}
	return last + 1, nil
}

// Save stores a number that a refutation has raised, and waits for the disk.
func (s *startNumberFile) Save(start uint64) error { return s.write(start) }

// startLockTimeout is how long a node waits for the lock of its start number. Another process holds it for one write.
const startLockTimeout = time.Second

// write stores a number. It waits for another process that writes, but no longer than startLockTimeout.
func (s *startNumberFile) write(start uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLockTimeout)
	defer cancel()
	release, err := state.Lock(ctx, s.path)
	if err != nil {
		return &StartNumberError{s.path, err}
	}
	defer release()
	body, err := json.Marshal(start)
	if err == nil {
		err = state.Write(s.path, s.owner, body)
	}
	if err != nil {
		return &StartNumberError{s.path, err}
	}
	return nil
}
