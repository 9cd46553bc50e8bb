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

// startFile persists the number of a node's starts, which peers compare to tell a new incarnation from an old one. It
// implements peers.StartStore.
type startFile struct {
	path   string
	owner  string // the node's name
	log    *slog.Logger
	writes sync.WaitGroup // in progress
}

// StartError says that the number of a start could not be read or written. The node goes on.
type StartError struct {
	Path string
	Err  error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("the number of this start (%s): %v: the peers settle it; look at the folder's disk", e.Path, e.Err)
}

// Unwrap returns what is wrong.
func (e *StartError) Unwrap() error { return e.Err }

// Next returns the stored number plus one, and stores it in the background. With an error the number is 1.
func (s *startFile) Next() (uint64, error) {
	var last uint64
	var readErr error
	found := state.Read(s.path, s.owner)
	switch {
	case found.Body != nil:
		readErr = json.Unmarshal(found.Body, &last)
	case len(found.Errors) > 0:
		readErr = found.Errors[0]
	}
	// A node that is killed before the number is on disk claims it again; its peers refute it, and it takes a higher one.
	s.writes.Go(func() {
		if err := s.write(last + 1); err != nil {
			s.log.Warn("peers", "err", err)
		}
	})
	if readErr != nil {
		return last + 1, &StartError{s.path, readErr}
	}
	return last + 1, nil
}

// Save stores a number that a refutation has raised, and waits for the disk.
func (s *startFile) Save(start uint64) error { return s.write(start) }

// startLockTimeout is how long a node waits for the lock of its start number. Another process holds it for one write.
const startLockTimeout = time.Second

// write stores a number. It waits for another process that writes, but no longer than startLockTimeout.
func (s *startFile) write(start uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLockTimeout)
	defer cancel()
	release, err := state.Lock(ctx, s.path)
	if err != nil {
		return &StartError{s.path, err}
	}
	defer release()
	body, err := json.Marshal(start)
	if err == nil {
		err = state.Write(s.path, s.owner, body)
	}
	if err != nil {
		return &StartError{s.path, err}
	}
	return nil
}
