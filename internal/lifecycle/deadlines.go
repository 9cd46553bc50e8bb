package lifecycle

import "time"

// The load balancer in front of the node asks every 100 ms whether the node is ready, and may send it connections for up
// to 200 ms after the node has answered that it is not. 4 s after a node was taken out of service, it must have no idle
// connections, and no connections on which a request arrived within the last 2 s.
const (
	// notReadyNoticeDelay is the time after which the load balancer in front of the node has noticed that the node is not
	// ready and sends it no more connections: 100 ms + 200 ms, plus 50 ms for the answer. If responses closed their
	// connections earlier, clients could reconnect to this node.
	notReadyNoticeDelay = 350 * time.Millisecond
	// closeIdleDelay is the time from taking a node out of service to closing its idle connections. By then responses have
	// closed the connections in use, and it is well before the end of the 4 s above.
	closeIdleDelay = 1200 * time.Millisecond
	// minIdleTime is how long a connection must have been idle before it is closed. A client sends a request as soon as
	// it connects, and a request that is in transit when its connection is closed is lost.
	minIdleTime = 250 * time.Millisecond
	// acceptAfterSignal is how long the load balancer may still send connections after SIGTERM: notReadyNoticeDelay plus
	// 100 ms.
	acceptAfterSignal = 450 * time.Millisecond
)

// The stages of a shutdown, as the time that remains until the process may be killed.
const (
	responsesCloseBeforeKill = 900 * time.Millisecond // responses close their connections: no further request arrives on them
	closeIdleBeforeKill      = 750 * time.Millisecond // idle connections are closed
	lastResponseBeforeKill   = 150 * time.Millisecond // the last response is due; it still has to be written
)

// ResponsesCloseConnections reports whether responses close their connections, so that clients connect to other nodes.
func (m Machine) ResponsesCloseConnections(now time.Duration) bool {
	switch m.state {
	case outOfService:
		return m.notReadyNoticed(now)
	case shuttingDown:
		return m.hasSuccessor || m.outOfServiceRequested && m.notReadyNoticed(now) || now >= max(m.since+acceptAfterSignal, m.killAt-responsesCloseBeforeKill)
	}
	return false
}

// ClosesIdleConnections reports whether idle connections are closed, and how long they must have been idle for that.
func (m Machine) ClosesIdleConnections(now time.Duration) (idle time.Duration, closes bool) {
	switch m.state {
	case outOfService:
		return minIdleTime, now >= m.since+closeIdleDelay
	case shuttingDown:
		return minIdleTime, m.outOfServiceRequested && now >= m.since+closeIdleDelay || now >= m.killAt-closeIdleBeforeKill
	}
	return 0, false
}

// HardDeadline returns when the last response is due, or 0 if the process is not shutting down.
func (m Machine) HardDeadline() time.Duration {
	if m.state != shuttingDown {
		return 0
	}
	return m.killAt - lastResponseBeforeKill
}

// RemainingAcceptTime returns for how much longer a node that is shutting down accepts connections:
//
//   - not at all if its successor accepts them,
//   - for acceptAfterSignal if the load balancer had already noticed that the node is out of service,
//   - otherwise until idle connections are closed, because clients may have no other node to connect to.
func (m Machine) RemainingAcceptTime(now time.Duration) time.Duration {
	switch {
	case m.hasSuccessor:
		return 0
	case m.outOfServiceRequested && m.notReadyNoticed(now):
		return acceptAfterSignal
	}
	return max(acceptAfterSignal, m.killAt-closeIdleBeforeKill-now)
}

// notReadyNoticed reports whether the load balancer in front of the node has had time, since m.since, to notice that the
// node is not ready.
func (m Machine) notReadyNoticed(now time.Duration) bool { return now >= m.since+notReadyNoticeDelay }
