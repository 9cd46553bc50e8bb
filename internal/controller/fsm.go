package controller

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

// maxSnapshotBytes is the size of a snapshot that is read, in bytes: far above 68 services of 1 MB each.
const maxSnapshotBytes = 1 << 30

// fsm makes the replicated state a raft.FSM. It hands each new state to the hub.
type fsm struct {
	state *state // of the goroutine that raft runs the machine on
	views *viewStore
}

func newFSM(h *viewStore) *fsm { return &fsm{state: &state{}, views: h} }

// Apply carries out a committed entry of the log; raft calls it in the log's order.
func (m *fsm) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		message := fmt.Sprintf("the log's entry %d can't be read: %v", entry.Index, err)
		return commandResult{Err: &configapi.Error{Kind: configapi.ErrorInvalid, Message: message}}
	}
	next, result := m.state.apply(c)
	if next != m.state {
		m.state = next
		m.views.setState(next)
	}
	return result
}

// Snapshot returns the present state, which is immutable.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) { return snapshot{m.state}, nil }

// Restore replaces the state by that of a snapshot.
func (m *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	var restored state
	if err := json.NewDecoder(io.LimitReader(from, maxSnapshotBytes)).Decode(&restored); err != nil {
		return fmt.Errorf("controller: a snapshot can't be read: %w", err)
	}
	m.state = &restored
	m.views.setState(&restored)
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
