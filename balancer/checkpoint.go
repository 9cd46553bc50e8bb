package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrInvalidCheckpoint is wrapped by the error of Restore if the data is not a checkpoint of a Balancer with
// these settings. A node that gets this error starts without learned state.
var ErrInvalidCheckpoint = errors.New("not a checkpoint of a Balancer with these settings")

// Checkpoint returns all that a Balancer has learned and all its open requests as JSON. A Balancer that
// Restore creates from it continues as this one does.
func (b *Balancer) Checkpoint() ([]byte, error) {
	saved, err := newCheckpointWriter(b).write()
	if err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	text, err := json.Marshal(saved)
	if err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	return text, nil
}

// Restore returns a Balancer that continues from a checkpoint of one with the same settings. The error is a
// *SettingsError or wraps ErrInvalidCheckpoint.
func Restore(settings Settings, checkpoint []byte) (*Balancer, error) {
	var saved savedBalancer
	if err := json.Unmarshal(checkpoint, &saved); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCheckpoint, err)
	}
	b, err := New(settings, 0)
	if err != nil {
		return nil, err
	}
	if err := newCheckpointReader(b, &saved).read(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCheckpoint, err)
	}
	return b, nil
}
