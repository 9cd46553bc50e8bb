package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/state"
)

// Keeper has what operators said on disk, for the process that comes when none is there to hand over.
type Keeper struct{ state.Keeper }

// NewKeeper keeps beside the path where the processes of a node meet. busy is told when another process hangs with the
// file.
func NewKeeper(path, node, listen string, busy func()) *Keeper {
	return &Keeper{state.Keeper{Path: path + ".kept", Owner: node + " at " + listen, Busy: busy}}
}

// Keep has on disk what is now so: what is asked for it while no other process writes.
func (k *Keeper) Keep(ctx context.Context, what func() (Kept, error)) error {
	return k.Keeper.Keep(ctx, func() (json.RawMessage, error) {
		now, err := what()
		if err != nil {
			return nil, err
		}
		return json.Marshal(now)
	})
}

// Read gives what stands on disk. What can't be used is in the image's Bad.
func (k *Keeper) Read() (kept Kept, found state.Image) {
	found = k.Keeper.Read()
	if found.Body == nil {
		return kept, found
	}
	err := json.Unmarshal(found.Body, &kept)
	if err == nil && len(kept.Out) > balancer.MostHands {
		err = fmt.Errorf("%d servers", len(kept.Out))
	}
	if err != nil {
		found.Body, found.Bad = nil, append(found.Bad, fmt.Errorf("%s: %w", k.Path, err))
		return Kept{}, found
	}
	return kept, found
}
