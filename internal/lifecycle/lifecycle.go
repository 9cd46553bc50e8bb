// Package lifecycle decides what a node owes its clients as a whole: whether the front's question is answered yes,
// whether answers end their connections, and when connections at rest are closed. It is pure: a Machine is a value,
// the clock is passed in, and Step gives the next one.
package lifecycle

import "time"

// The front asks whether a node is ready every 100 ms, and deals it connections for up to 200 ms after a no; drained,
// a node may hold no connection without a request 4 s after the call, nor one with a request of the last 2 s.
const (
	noticed  = 350 * time.Millisecond  // after this the front has seen a no and deals nothing more
	sweep    = 1200 * time.Millisecond // from then on connections at rest are closed
	atRest   = 250 * time.Millisecond  // how long a connection has to rest for that: a client sends as it connects
	stopping = 450 * time.Millisecond  // the front still deals out connections so long after SIGTERM
	last     = 900 * time.Millisecond  // what is left till the end can be forced when answers end their connections,
	closing  = 750 * time.Millisecond  // when those at rest are closed,
	answered = 150 * time.Millisecond  // and when the last answer is given
)

// Event is what happens to a node.
type Event int

// Events.
const (
	Started      Event = iota // it has all that it needs to serve
	OutOfService              // by an operator's word
	InService
	Terminate // the process is to end
)

type state int

const (
	starting state = iota
	serving
	drained
	leaving
)

// Machine is where a node stands. The zero Machine is that of one that starts.
type Machine struct {
	state state
	since time.Duration // of drained and leaving
	out   bool          // an operator has sent clients away
	kill  time.Duration // leaving: the process may be ended by force from then on
	heir  bool          // leaving: another process takes the new connections
}

// Step gives the machine after an event. kill and heir are of Terminate: how long the process has, and whether
// another process of the node takes the connections that come from now on.
func (m Machine) Step(now time.Duration, e Event, kill time.Duration, heir bool) Machine {
	switch {
	case m.state == leaving:
	case e == Terminate:
		if m.state != drained {
			m.since = now
		}
		m.state, m.kill, m.heir = leaving, now+kill, heir
	case e == OutOfService:
		if !m.out {
			m.since = now
		}
		m.out = true
		if m.state == serving {
			m.state = drained
		}
	case e == InService:
		m.out = false
		if m.state == drained {
			m.state = serving
		}
	case e == Started && m.state == starting:
		m.state = serving
		if m.out {
			m.state = drained
		}
	}
	return m
}

// Ready says what the front is told.
func (m Machine) Ready() bool { return m.state == serving }

// Running says that the process serves whoever comes: it has started and is not about to end.
func (m Machine) Running() bool { return m.state == serving || m.state == drained }

// ShuttingDown says that the process is to end.
func (m Machine) ShuttingDown() bool { return m.state == leaving }

// IsOutOfService says that an operator has sent clients away.
func (m Machine) IsOutOfService() bool { return m.out }

// EndsConnections says that answers end the connections that they are given on.
func (m Machine) EndsConnections(now time.Duration) bool {
	switch m.state {
	case drained:
		return now >= m.since+noticed
	case leaving:
		return m.heir || m.out && now >= m.since+noticed || now >= max(m.since+stopping, m.kill-last)
	}
	return false
}

// ClosesIdleConnections says that connections at rest are closed, and how long they have to have rested.
func (m Machine) ClosesIdleConnections(now time.Duration) (rest time.Duration, yes bool) {
	switch m.state {
	case drained:
		return atRest, now >= m.since+sweep
	case leaving:
		return atRest, m.out && now >= m.since+sweep || now >= m.kill-closing
	}
	return 0, false
}

// HardDeadline is when the last answer has to be given; 0: nothing ends.
func (m Machine) HardDeadline() time.Duration {
	if m.state != leaving {
		return 0
	}
	return m.kill - answered
}

// StopsAt is how long a node that is to end still takes connections that the front deals out. One that has another
// process beside it takes none, one that sent its clients away long ago has none to wait for.
func (m Machine) StopsAt(now time.Duration) time.Duration {
	switch {
	case m.heir:
		return 0
	case m.out && now >= m.since+noticed:
		return stopping
	}
	return max(stopping, m.kill-closing-now)
}
