package controller

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

// maxSnapshot is the size of a snapshot that is read, in bytes: far above 68 services of 1 MB each.
const maxSnapshot = 1 << 30

// machine makes the replicated state a raft.FSM. It hands each new state to the hub.
type machine struct {
	state *state // of the goroutine that raft runs the machine on
	hub   *hub
}

func newMachine(h *hub) *machine { return &machine{state: &state{}, hub: h} }

// Apply carries out a committed entry of the log; raft calls it in the log's order.
func (m *machine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		message := fmt.Sprintf("the log's entry %d can't be read: %v", entry.Index, err)
		return commandResult{Err: &configapi.Error{Kind: configapi.ErrorInvalid, Message: message}}
	}
	next, result := m.state.apply(c)
	if next != m.state {
		m.state = next
		m.hub.setState(next)
	}
	return result
}

// Snapshot returns the present state, which is immutable.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) { return snapshot{m.state}, nil }

// Restore replaces the state by that of a snapshot.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var restored state
	if err := json.NewDecoder(io.LimitReader(from, maxSnapshot)).Decode(&restored); err != nil {
		return fmt.Errorf("controller: a snapshot can't be read: %w", err)
	}
	m.state = &restored
	m.hub.setState(&restored)
	return nil
}

// snapshot is a state to be written to disk.
type snapshot struct{ state *state }

// Persist writes the state.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.state); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("controller: a snapshot can't be written: %w", err)
	}
	return sink.Close()
}

// Release has nothing to give back.
func (s snapshot) Release() {}
