// Package lifecycle defines the states of a node and its duties to clients in each state: whether it is ready for new
// connections, whether responses close their connections, when idle connections are closed, and by when the last response
// is due.
//
// It has no side effects: a Machine is a value, the time is an argument, and Step returns the next Machine. The node
// (internal/node) holds the current Machine, is the only caller of Step, and acts on the results. Times are durations
// since a moment that the caller chooses, on a monotonic clock.
//
//	state           ready  entered by                              left by
//	starting        no     (the zero Machine)                      Started, Terminate
//	serving         yes    Started, InService                      OutOfService, Terminate
//	out of service  no     OutOfService, or Started after it       InService, Terminate
//	shutting down   no     Terminate                               never: the process ends
//
// The last OutOfService or InService event is remembered in every state except shutting down. Therefore a node that is
// taken out of service while it is starting is out of service once it has started.
//
// A shutdown without a successor has the following stages. SIGTERM arrives at 0, and the process is killed at K at the
// earliest. K is the longest deadline of a class, of which at most 3 s count, plus 700 ms (maxCountedDeadline and
// killMargin in internal/node). "min. 450 ms" means 450 ms after SIGTERM at the earliest:
//
//	0                        not ready: the load balancer in front of the node should send it no more connections; those
//	                         that still arrive are accepted and served
//	K - 900 ms, min. 450 ms  responses close their connections (ResponsesCloseConnections)
//	K - 750 ms, min. 450 ms  the node accepts no more connections, and closes idle ones (RemainingAcceptTime)
//	K - 150 ms               the last response is due (HardDeadline)
//	K                        SIGKILL may arrive
//
// A node that has been out of service for at least 350 ms accepts connections for only 450 ms, and its responses close
// their connections from the start of the shutdown. A node with a successor accepts no more connections: its responses
// close their connections from the start, too, and its idle connections stay open until K - 750 ms. The balancer answers all
// requests that are open at HardDeadline. If the process is not killed, internal/node then waits for clients that still
// send a head, and after that for streamed responses, for the longest deadline of a class plus 20 ms.
package lifecycle

import "time"

// Event is what happens to a node.
type Event int

const (
	// Started: the node has everything that it needs to serve.
	Started Event = iota
	// OutOfService: an operator has taken the node out of service. Its clients are moved to other nodes.
	OutOfService
	// InService: an operator has put the node back in service.
	InService
	// Terminate: the process must end.
	Terminate
)

// state is the state of a node; the package comment lists the transitions. Only Step changes it.
type state int

const (
	starting     state = iota // not ready yet
	serving                   // ready
	outOfService              // taken out by an operator; clients that are still connected are served
	shuttingDown              // until the process ends
)

// Machine is the state of a node. The zero Machine is the state of a node that is starting.
type Machine struct {
	state                 state
	since                 time.Duration // when the node went out of service or, if it was in service, began to shut down
	outOfServiceRequested bool          // whether the operator's last call was OutOfService
	killAt                time.Duration // while shutting down: the process may be killed from then on
	hasSuccessor          bool          // while shutting down: another process of the node accepts new connections
}

// Step returns the Machine after an event. The last two arguments are used only with Terminate: the time until the
// process may be killed, and whether another process of the node accepts new connections.
func (m Machine) Step(now time.Duration, event Event, killDelay time.Duration, hasSuccessor bool) Machine {
	if m.state == shuttingDown {
		return m // a shutdown is final
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

// takenOutOfService keeps the time of the first call: a second call must not postpone the deadlines.
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

// terminated keeps the time at which the node went out of service, because its clients have been leaving since then.
func (m Machine) terminated(now, killDelay time.Duration, hasSuccessor bool) Machine {
	if m.state != outOfService {
		m.since = now
	}
	m.state, m.killAt, m.hasSuccessor = shuttingDown, now+killDelay, hasSuccessor
	return m
}

// TakesNewClients reports whether new clients should be sent to the node.
func (m Machine) TakesNewClients() bool { return m.state == serving }

// Running reports whether the process has started and is not shutting down, and so serves all clients that connect.
func (m Machine) Running() bool { return m.state == serving || m.state == outOfService }

// ShuttingDown reports whether the process is shutting down.
func (m Machine) ShuttingDown() bool { return m.state == shuttingDown }

// IsOutOfService reports whether an operator has taken the node out of service.
func (m Machine) IsOutOfService() bool { return m.outOfServiceRequested }
