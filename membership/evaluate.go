package membership

import (
	"maps"
	"slices"
	"time"
)

// quorum counts the members that concern the local node, including itself.
type quorum struct {
	known   int // members that have not left
	running int
	agreed  int // running members that announced the same digest as the local node
}

// reachable reports whether more than half of the known members run.
func (q quorum) reachable() bool { return 2*q.running > q.known }

// agrees reports whether more than half of the known members have the same view as the local node.
func (q quorum) agrees() bool { return 2*q.agreed > q.known }

// evaluate emits the reconnects and announcements that are due, ends a name conflict that is not reported any more, and then
// derives the local state from the view.
func (m *Members) evaluate() {
	m.retryFailed()
	if m.announcementDue() {
		m.announce()
	}
	if m.inConflict() && m.now-m.conflictSeen > m.AnnounceInterval { // the other node is not reported any more
		m.conflicting = Incarnation{}
	}
	q := m.countQuorum()
	if q.agrees() && !m.inConflict() {
		m.disputedSince = 0
		m.needsReplies = m.needsReplies && q.known == 1
	} else if m.disputedSince == 0 {
		m.disputedSince = nonZero(m.now)
	}
	m.setLocalState(m.nextLocalState(q))
}

// reconnectJitterDivisor divides ReconnectMin to give the maximum jitter of a reconnect delay. The jitter keeps nodes that
// lost a member at the same time from dialing it at the same time.
const reconnectJitterDivisor = 4

// retryFailed reconnects to failed members with increasing delays, and forgets members that failed or left FailedTTL ago.
func (m *Members) retryFailed() {
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[name]
		switch {
		case !member.State.running() && m.now-member.Since >= m.FailedTTL:
			m.forget(name)
		case member.State == Failed && m.now-member.lastReconnect >= member.reconnectDelay:
			jitter := time.Duration(m.rng.Float64() * float64(m.ReconnectMin) / reconnectJitterDivisor)
			member.lastReconnect = m.now
			member.reconnectDelay = min(2*member.reconnectDelay, m.ReconnectMax) + jitter
			m.emit(Reconnect{name})
		}
	}
}

// inConflict reports whether another running node uses the local node's name.
func (m *Members) inConflict() bool { return m.conflicting.Name != "" }

// countQuorum counts the members that concern the local node.
func (m *Members) countQuorum() quorum {
	q := quorum{known: 1, running: 1, agreed: 1}
	own := m.announcedDigests[m.site]
	for _, member := range m.concerned(m.site) {
		q.known++
		if !member.State.running() {
			continue
		}
		q.running++
		last := m.announcements[member.Name]
		if last == nil || (m.announcementExpired(member) && m.enabled(guardExpired)) {
			continue
		}
		if last.Digests[m.site] == own {
			q.agreed++
		}
	}
	return q
}

// nextLocalState returns the local state that follows from the counted members.
func (m *Members) nextLocalState(q quorum) LocalState {
	switch {
	case q.running == 1 && q.known > 1:
		return Isolated
	case !q.reachable():
		return Minority
	case q.known == 1 && m.state == Joining: // there may be others that have not been found yet
		return Joining
	case q.known == 1:
		return Isolated
	case m.disputedSince == 0:
		return Agreed
	case m.state == Joining:
		return Joining
	case m.state == Agreed && m.now-m.disputedSince < m.DisputeTimeout && !m.inConflict():
		return Agreed
	}
	return Disputed
}

// setLocalState sets the state of the local node and reports a change.
func (m *Members) setLocalState(state LocalState) {
	if state == Agreed {
		m.agreedOnce = true
	}
	if m.state != state {
		m.emit(LocalStateChanged{m.state, state})
		m.state = state
	}
}

// nonZero converts a time for a field in which 0 means unset: time 0 becomes 1 ns.
func nonZero(t time.Duration) time.Duration { return max(t, 1) }
