// Package lifecycle has the states of a node and what it owes its clients in each: whether it is ready for new connections,
// whether responses close their connections, when idle connections are closed, and by when the last response is due.
//
// It is pure: a Machine is a value, the time is passed in, and Step returns the next Machine. The node (internal/node) holds
// the present one, alone calls Step, and carries out what it says. Times are durations since one moment of the caller's
// choosing, on a monotonic clock.
//
//	state           ready  entered by                              left by
//	starting        no     (the zero Machine)                      Started, Terminate
//	serving         yes    Started, InService                      OutOfService, Terminate
//	out of service  no     OutOfService, or Started after it       InService, Terminate
//	shutting down   no     Terminate                               never: the process ends
//
// An operator's OutOfService and InService are remembered in every state but shutting down: a node that is taken out of
// service as it starts does not serve once it has started.
//
// A shutdown without a successor, with SIGTERM at 0 and the process killed at K at the earliest. K is the longest deadline of
// a class, 3 s at most, plus 700 ms (maxCountedDeadline and killMargin in internal/node):
//
//	0                        not ready: the load balancer in front of the node is to send it no more connections; those that
//	                         still come are accepted and served
//	K - 900 ms, min. 450 ms  responses close their connections (ResponsesCloseConnections)
//	K - 750 ms, min. 450 ms  the node accepts no more connections, and closes idle ones (AcceptsFor)
//	K - 150 ms               the last response is due (HardDeadline)
//	K                        SIGKILL may come
//
// A node that was out of service for 350 ms and more accepts for 450 ms only, and its responses close their connections from
// the start. One with a successor accepts nothing more: its responses close their connections at once, and idle connections
// stay open until K - 750 ms. After the stage in which it accepts, internal/node waits for open requests for as long as the
// longest deadline of a class, uncapped, plus 20 ms: it relies on HardDeadline to have answered them by then.
package lifecycle

import "time"

// Event is what happens to a node.
type Event int

const (
	// Started: the node has all that it needs to serve.
	Started Event = iota
	// OutOfService: an operator has taken the node out of service. Its clients are sent away.
	OutOfService
	// InService: an operator has put the node back in service.
	InService
	// Terminate: the process is to end.
	Terminate
)

// state is where a node stands; the package comment has the transitions. Only Step changes it.
type state int

const (
	starting     state = iota // not ready yet
	serving                   // ready
	outOfService              // by an operator: it serves who is still connected
	shuttingDown              // until the process ends
)

// Machine is the state of a node. The zero Machine is that of one that starts.
type Machine struct {
	state                 state
	since                 time.Duration // when it went out of service or, if it was in service, began to shut down
	outOfServiceRequested bool          // what an operator said last
	killAt                time.Duration // shutting down: from then on the process may be killed
	hasSuccessor          bool          // shutting down: another process of the node takes new connections
}

// Step returns the machine after an event. The last two arguments belong to Terminate, and are ignored with other events: in
// how long the process may be killed, and whether another process of the node accepts the connections that come from now on.
func (m Machine) Step(now time.Duration, event Event, killDelay time.Duration, hasSuccessor bool) Machine {
	if m.state == shuttingDown {
		return m // there is no way back
	}
	switch event {
	case Started:
		return m.started()
	case OutOfService:
		return m.takenOutOfService(now)
	case InService:
		return m.putInService()
	case Terminate:
		return m.terminated(now, killDelay, hasSuccessor)
	}
	return m
}

func (m Machine) started() Machine {
	if m.state != starting {
		return m
	}
	m.state = serving
	if m.outOfServiceRequested {
		m.state = outOfService
	}
	return m
}

// takenOutOfService keeps the time of the first call: a second one must not put off what is owed.
func (m Machine) takenOutOfService(now time.Duration) Machine {
	if !m.outOfServiceRequested {
		m.since = now
	}
	m.outOfServiceRequested = true
	if m.state == serving {
		m.state = outOfService
	}
	return m
}

func (m Machine) putInService() Machine {
	m.outOfServiceRequested = false
	if m.state == outOfService {
		m.state = serving
	}
	return m
}

// terminated keeps the time at which a node went out of service: its clients have been leaving since then.
func (m Machine) terminated(now, killDelay time.Duration, hasSuccessor bool) Machine {
	if m.state != outOfService {
		m.since = now
	}
	m.state, m.killAt, m.hasSuccessor = shuttingDown, now+killDelay, hasSuccessor
	return m
}

// TakesNewClients says whether new clients are to be sent to the node.
func (m Machine) TakesNewClients() bool { return m.state == serving }

// Running says whether the process serves whoever comes: it has started, and does not shut down.
func (m Machine) Running() bool { return m.state == serving || m.state == outOfService }

// ShuttingDown says whether the process is to end.
func (m Machine) ShuttingDown() bool { return m.state == shuttingDown }

// IsOutOfService says whether an operator has taken the node out of service.
func (m Machine) IsOutOfService() bool { return m.outOfServiceRequested }
