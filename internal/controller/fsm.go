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
	// maxSnapshotBytes is the maximum size of a snapshot that is read. It is far more than dozens of services need, of
	// configapi.MaxDocumentBytes each.
	maxSnapshotBytes = 1 << 30
	// snapshotDelay is the time between a change and its snapshot. All changes within it share one snapshot.
	snapshotDelay = 2 * time.Second
)

// fsm implements raft.FSM: it applies committed entries to the replicated state, and stores each new state as a view.
type fsm struct {
	state *state // used only by the goroutine on which raft runs the FSM
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

// Snapshot returns the current state, which is immutable.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) { return snapshot{m.state}, nil }

// Restore replaces the state with that of a snapshot.
func (m *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	var restored state
	if err := json.NewDecoder(io.LimitReader(from, maxSnapshotBytes)).Decode(&restored); err != nil {
		return fmt.Errorf("controller: reading a snapshot failed: %w", err)
	}
	m.state = &restored
	m.views.setState(&restored)
	return nil
}

// snapshot is a state to be written to disk.
type snapshot struct{ state *state }

// Persist writes the state to sink.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.state); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("controller: writing a snapshot failed: %w", err)
	}
	return sink.Close()
}

// Release does nothing: the state is immutable.
func (s snapshot) Release() {}

// snapshotOnChange takes a snapshot snapshotDelay after each change of the state, until done is closed. A controller
// that starts without a quorum does not know which entries after its snapshot are committed, so it serves its nodes the
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
			c.log.Debug("taking a snapshot failed", "err", err)
		}
	}
}
