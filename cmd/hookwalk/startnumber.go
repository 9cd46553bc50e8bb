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

// startNumberFile persists the start number of a node, which counts its starts: peers compare it to distinguish a new
// incarnation of the node from an old one. It implements peers.StartStore.
type startNumberFile struct {
	path   string
	owner  string // name of the node
	log    *slog.Logger
	writes sync.WaitGroup // started by Next and not yet finished
}

// StartNumberError reports that the start number could not be read or written. The node runs nevertheless.
type StartNumberError struct {
	Path string
	Err  error
}

func (e *StartNumberError) Error() string {
	return fmt.Sprintf("start number %s: %v: the node runs, and its peers correct a number that is too low; check the disk of this folder", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *StartNumberError) Unwrap() error { return e.Err }

// Next returns the stored number plus one, and stores the result in the background. If the stored number can't be read, it
// returns 1 and an error.
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
	// A node that is killed before the number is on disk claims the same number again at its next start. Its peers then refute
	// the claim, and the node takes a higher number.
	s.writes.Go(func() {
		if err := s.write(last + 1); err != nil {
			s.log.Warn("peers: start number not stored", "err", err)
		}
	})
	if readErr != nil {
		return last + 1, &StartNumberError{s.path, readErr}
	}
	return last + 1, nil
}

// Save stores a number that a refutation raised. It waits until the number is on disk.
func (s *startNumberFile) Save(start uint64) error { return s.write(start) }

// startLockTimeout limits how long a node waits for the lock of its start number. Another process holds the lock only
// during one write.
const startLockTimeout = time.Second

// write stores a number. If another process is writing, it waits for that process, but no longer than startLockTimeout.
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
