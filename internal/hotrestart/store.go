package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/state"
)

// Store has what operators said on disk, for the process that comes when none is there to hand over.
type Store struct{ state.Store }

// NewStore keeps beside the path where the processes of a node meet. busy is told when another process hangs with the
// file.
func NewStore(path, node, listen string, busy func()) *Store {
	return &Store{state.Store{Path: path + ".kept", Owner: node + " at " + listen, OnBusy: busy}}
}

// Save has on disk what is now so: what is asked for it while no other process writes.
func (k *Store) Save(ctx context.Context, what func() (OperatorState, error)) error {
	return k.Store.Save(ctx, func() (json.RawMessage, error) {
		now, err := what()
		if err != nil {
			return nil, err
		}
		return json.Marshal(now)
	})
}

// Read gives what stands on disk. What can't be used is in the image's Bad.
func (k *Store) Read() (kept OperatorState, found state.Snapshot) {
	found = k.Store.Read()
	if found.Body == nil {
		return kept, found
	}
	err := json.Unmarshal(found.Body, &kept)
	if err == nil && len(kept.DisabledServers) > balancer.MaxOverrides {
		err = fmt.Errorf("%d servers", len(kept.DisabledServers))
	}
	if err != nil {
		found.Body, found.Errors = nil, append(found.Errors, fmt.Errorf("%s: %w", k.Path, err))
		return OperatorState{}, found
	}
	return kept, found
}
