package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// maxSnapshotBytes bounds a snapshot that is read: far above dozens of services of configapi.MaxDocumentBytes.
	maxSnapshotBytes = 1 << 30
	// snapshotDelay is the time within which several changes share one snapshot.
	snapshotDelay = 2 * time.Second
)

// fsm is the raft.FSM: it applies committed entries to the replicated state, and stores each new state as a view.
type fsm struct {
	state *state // of the goroutine that raft runs the FSM on
	views *viewStore
}

func newFSM(views *viewStore) *fsm { return &fsm{state: &state{}, views: views} }

// Apply applies a committed log entry, and returns a commandResult. Raft calls it in the order of the log.
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

// Release has nothing to release: the state is immutable.
func (s snapshot) Release() {}

// snapshotOnChange takes a snapshot snapshotDelay after each change of the state, until done is closed. A controller
// that starts without a quorum can't tell which entries behind its snapshot are committed: it serves its nodes the
// snapshot.
func (c *consensus) snapshotOnChange(done <-chan struct{}) {
	for {
		select {
		case <-c.views.load().superseded:
		case <-done:
			return
		}
		timer := time.NewTimer(snapshotDelay)
		select {
		case <-timer.C:
		case <-done:
			timer.Stop()
			return
		}
		err := c.raft.Snapshot().Error()
		if err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) && !errors.Is(err, raft.ErrRaftShutdown) {
			c.log.Debug("no snapshot", "err", err)
		}
	}
}
