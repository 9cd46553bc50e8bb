package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/state"
)

// Store keeps what operators said on disk, for a process that starts when no other is there to hand over.
type Store struct{ state.Store }

// TooManyOverridesError says that a file disables more servers than operators may: it was not written by this program.
type TooManyOverridesError struct{ Servers int }

func (e *TooManyOverridesError) Error() string {
	return fmt.Sprintf("it disables %d servers, and operators may disable %d", e.Servers, balancer.MaxOverrides)
}

// NewStore keeps a file beside the path of SocketPath. onBusy is called when another process does not release the file's
// lock in time.
func NewStore(path, node, listen string, onLockTimeout func()) *Store {
	return &Store{state.Store{Path: path + ".kept", Owner: node + " at " + listen, OnLockTimeout: onLockTimeout}}
}

// Save has on disk what current returns. current is called while no other process writes. See state.Store.
func (s *Store) Save(ctx context.Context, current func() (OperatorState, error)) error {
	return s.Store.Save(ctx, func() (json.RawMessage, error) {
		operators, err := current()
		if err != nil {
			return nil, err
		}
		return json.Marshal(operators)
	})
}

// Read returns what stands on disk: nothing if no file can be used, and found.Errors says why not.
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

// parseOperatorState reads the body of a file.
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
