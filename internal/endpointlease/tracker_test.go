package endpointlease

import (
	"testing"
	"time"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

// Options of most tests.
var (
	polled       = Options{MaxPollInterval: 10 * s}
	rarelyPolled = Options{MaxPollInterval: 60 * s}
	pushed       = Options{Pushed: true, MaxPollInterval: 10 * s}
)

// history is a sequence of events for a Tracker, and the state that the Tracker must then be in.
type history struct {
	options Options
	events  func(tracker *Tracker) // streams have the IDs 1, 2, ... in the order in which they are opened
	at      time.Duration          // when the state is checked
	wakeAt  time.Duration          // when Step is due next, apart from probes; 0: something is due now
	expires time.Duration
	state   State
}

// checkHistories runs each history as a subtest.
func checkHistories(t *testing.T, histories map[string]history) {
	t.Helper()
	for name, row := range histories {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{Options: row.options}
			row.events(tracker)
			tracker.probe.wanted = false // wakeAt is about streams
			decision := tracker.Step(row.at)
			if due := row.wakeAt == 0; due != (decision.Action != NoAction) || decision.WakeAt != row.wakeAt {
				t.Errorf("decision %+v, want WakeAt %v", decision, row.wakeAt)
			}
			if expires, state := tracker.Expires(), tracker.State(row.at); expires != row.expires || state != row.state {
				t.Errorf("expires at %v, state %v; want %v, %v", expires, state, row.expires, row.state)
			}
		})
	}
}

// openWatch opens a stream that receives its first list at a given time.
func openWatch(tracker *Tracker, openedAt, listedAt time.Duration) {
	tracker.ListComplete(tracker.StreamOpened(openedAt, 0), listedAt)
}

// endWatchThenRejectLate opens a watch that ends, followed by polls that are each rejected 2.1 s after they began.
func endWatchThenRejectLate(tracker *Tracker, at time.Duration, polls ...time.Duration) {
	openWatch(tracker, at, s)
	tracker.StreamEnded(1, 2*s)
	for _, at := range polls {
		rejectPoll(tracker, at, at+2100*ms)
	}
}

// watchUntil is a watch that ends at a given time, just after it has received a list.
func watchUntil(tracker *Tracker, at time.Duration) {
	openWatch(tracker, at, at)
	tracker.StreamEnded(tracker.lastStreamID, at)
}

// probeAt makes a probe that ends at once.
func probeAt(tracker *Tracker, at time.Duration, result ProbeResult) {
	tracker.ProbeBegan(at)
	tracker.ProbeEnded(at, result, 0)
}

// pollUnreachable polls a discovery that refuses connections every 2 s, and probes it in between.
func pollUnreachable(tracker *Tracker, from, until time.Duration) {
	for at := from; at < until; at += 400 * ms {
		if (at-from)%(2*s) != 0 {
			probeAt(tracker, at, ProbeUnreachable)
			continue
		}
		id := tracker.StreamOpened(at, 0)
		tracker.Unreachable(id, at)
		tracker.StreamEnded(id, at)
	}
}

// rejectPoll begins a poll that is rejected at a given time.
func rejectPoll(tracker *Tracker, from, at time.Duration) {
	id := tracker.StreamOpened(from, 0)
	tracker.Connected(id)
	tracker.PollRejected(id, at)
	tracker.StreamEnded(id, at)
}

// rejectImmediately makes a poll that is rejected after 1 ms.
func rejectImmediately(tracker *Tracker, at time.Duration) { rejectPoll(tracker, at, at+ms) }

// receiveMalformedLists makes n polls in a row whose answers cannot be read.
func receiveMalformedLists(tracker *Tracker, n int, at time.Duration) {
	for range n {
		id := tracker.StreamOpened(at, 0)
		tracker.MalformedList(id, at)
		tracker.StreamEnded(id, at)
	}
}
