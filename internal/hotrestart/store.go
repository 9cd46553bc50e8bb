package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/state"
)

// Store persists the OperatorState, for a process that starts when there is no other process to take over from.
type Store struct{ state.Store }

// TooManyOverridesError means that a file disables more servers than allowed. This program did not write such a file.
type TooManyOverridesError struct{ Servers int }

func (e *TooManyOverridesError) Error() string {
	return fmt.Sprintf("the file disables %d servers, more than the limit of %d", e.Servers, balancer.MaxOverrides)
}

// NewStore returns the Store of a node. Its file is next to the socket; path is the result of SocketPath. onLockTimeout is
// called when another process does not release the file's lock in time.
func NewStore(path, node, listen string, onLockTimeout func()) *Store {
	return &Store{state.Store{Path: path + ".kept", Owner: node + " at " + listen, OnLockTimeout: onLockTimeout}}
}

// Save writes the result of current to disk. It calls current while no other process writes; see state.Store.Save.
func (s *Store) Save(ctx context.Context, current func() (OperatorState, error)) error {
	return s.Store.Save(ctx, func() (json.RawMessage, error) {
		operators, err := current()
		if err != nil {
			return nil, err
		}
		return json.Marshal(operators)
	})
}

// Read returns the persisted state. If no file is usable, it returns the zero OperatorState, and found.Errors says why
// existing files were not used.
func (s *Store) Read() (operators OperatorState, found state.Snapshot) {
	found = s.Store.Read()
	if found.Body == nil {
		return OperatorState{}, found
	}
	operators, err := parseOperatorState(found.Body)
	if err != nil {
		found.Body = nil
		found.Errors = append(found.Errors, &state.FileError{Path: s.Path, Err: err})
	}
	return operators, found
}

// parseOperatorState decodes and checks the body of a file.
func parseOperatorState(body json.RawMessage) (OperatorState, error) {
	var operators OperatorState
	if err := json.Unmarshal(body, &operators); err != nil {
		return OperatorState{}, err
	}
	if servers := len(operators.DisabledServers); servers > balancer.MaxOverrides {
		return OperatorState{}, &TooManyOverridesError{servers}
	}
	return operators, nil
}
