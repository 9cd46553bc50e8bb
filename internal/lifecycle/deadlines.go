package lifecycle

import "time"

// The load balancer in front of the node asks every 100 ms whether the node is ready, and may send it connections for up to
// 200 ms after a no. 4 s after a node was taken out of service it may hold no connection without a request, nor one
// that brought a request within the last 2 s.
const (
	// notReadyNoticeDelay is when the load balancer in front of the node has noticed that the node is not ready, and sends it no more
	// connections: both times above, and 50 ms for the answer. Responses that close their connections before it would send
	// clients back to this node.
	notReadyNoticeDelay = 350 * time.Millisecond
	// closeIdleDelay is when connections without a request are closed, out of service: responses have closed those in use by
	// then, and the 4 s above are not over.
	closeIdleDelay = 1200 * time.Millisecond
	// minIdleTime is how long a connection must have been idle for that. A client sends as it connects, and a request that is
	// under way as its connection is closed is lost.
	minIdleTime = 250 * time.Millisecond
	// acceptAfterSignal is how long the load balancer may still send connections after SIGTERM: noticedAfter and 100 ms more.
	acceptAfterSignal = 450 * time.Millisecond
)

// The stages of a shutdown, each by the time that is left until the process may be killed.
const (
	responsesCloseBeforeKill = 900 * time.Millisecond // responses close their connections, so that no request comes on them
	closeIdleBeforeKill      = 750 * time.Millisecond // idle connections are closed
	lastResponseBeforeKill   = 150 * time.Millisecond // the last response is due: it still has to be written
)

// ResponsesCloseConnections says whether responses close the connections that they go on: the clients are to come back elsewhere.
func (m Machine) ResponsesCloseConnections(now time.Duration) bool {
	switch m.state {
	case outOfService:
		return m.notReadyNoticed(now)
	case shuttingDown:
		return m.hasSuccessor || m.outOfServiceRequested && m.notReadyNoticed(now) || now >= max(m.since+acceptAfterSignal, m.killAt-responsesCloseBeforeKill)
	}
	return false
}

// ClosesIdleConnections says whether connections without a request are closed, and how long they must have been idle.
func (m Machine) ClosesIdleConnections(now time.Duration) (idle time.Duration, closes bool) {
	switch m.state {
	case outOfService:
		return minIdleTime, now >= m.since+closeIdleDelay
	case shuttingDown:
		return minIdleTime, m.outOfServiceRequested && now >= m.since+closeIdleDelay || now >= m.killAt-closeIdleBeforeKill
	}
	return 0, false
}

// HardDeadline is when the last response is due; 0: the process does not shut down.
func (m Machine) HardDeadline() time.Duration {
	if m.state != shuttingDown {
		return 0
	}
	return m.killAt - lastResponseBeforeKill
}

// RemainingAcceptTime is for how much longer, from now on, a node that shuts down accepts connections:
//
//   - not at all if its successor accepts them,
//   - for acceptAfterSignal if the load balancer had noticed before that it is out of service,
//   - else until idle connections are closed: clients may have no other node to go to.
func (m Machine) RemainingAcceptTime(now time.Duration) time.Duration {
	switch {
	case m.hasSuccessor:
		return 0
	case m.outOfServiceRequested && m.notReadyNoticed(now):
		return acceptAfterSignal
	}
	return max(acceptAfterSignal, m.killAt-closeIdleBeforeKill-now)
}

// notReadyNoticed says whether the load balancer in front of the node has noticed that it is not ready, since m.since.
func (m Machine) notReadyNoticed(now time.Duration) bool { return now >= m.since+notReadyNoticeDelay }
