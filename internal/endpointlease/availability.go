package endpointlease

import (
	"slices"
	"time"
)

// immediateRejection is the longest time that a discovery that is up takes to reject a poll. A later rejection may come
// from a proxy in front of it whose own request timed out.
const immediateRejection = time.Second

// availability says whether discovery can notify nodes of changes. While it cannot, no node counts as notified of its
// changes, and each poll that finds it unavailable renews the lease.
//
// A discovery that is slow or silent counts as available: the lease expires, and requests are rejected until it sends
// something. Silence, however long, is not evidence of an outage, because other nodes may be notified meanwhile.
type availability int

const (
	// available: discovery has sent something, or a connection to it has succeeded. This is also the state before the
	// first poll, and again after the lease has expired, until a poll finds discovery unavailable.
	available availability = iota
	// unreachable: the last connection attempt was refused or timed out. Set by Unreachable, cleared by Connected.
	unreachable
	// downBehindProxy: the watch has ended, and polls are rejected after a wait, as by a proxy that cannot reach
	// discovery. Set by PollRejected; cleared by StreamFailed if a poll is reset instead, and by AddressChanged. This is
	// an inference, not a proof: a discovery with too many pollers whose watches have ended looks the same
	// (docs/questions.md, 9).
	downBehindProxy
)

// String returns the availability's name in the log.
func (a availability) String() string {
	return [...]string{"available", "unreachable", "down behind a proxy"}[a]
}

// AvailabilityName returns the name of discovery's availability, as found by polls, for the log.
func (t *Tracker) AvailabilityName() string { return t.availability.String() }

// Unavailable reports whether discovery is unreachable or downBehindProxy, so that the node may use its list without it.
// Any activity of discovery ends this state.
func (t *Tracker) Unavailable() bool { return t.availability != available }

// Connected records that a poll's connection has been established: discovery can be reached, whether or not it answers.
func (t *Tracker) Connected(id int) {
	s, _ := t.find(id)
	s.connected = true
	if t.availability == unreachable {
		t.availability = available
	}
}

// Unreachable records that a poll's connection was refused or timed out. It is called before StreamEnded.
func (t *Tracker) Unreachable(id int) { t.noteUnavailable(unreachable, id) }

// PollRejected records that a poll was answered with an error status. It is called before StreamEnded.
//
//   - A rejection within immediateRejection comes from a discovery that is up and overloaded.
//   - A later rejection is attributed to a proxy whose discovery is down, if the watch ended as it does in an outage
//     (lateRejectionMeansDown) and the lease has not expired. It never makes an expired list usable again.
//   - Any other rejection may come from a slow discovery that has notified other nodes: discovery was reached and sent
//     nothing.
func (t *Tracker) PollRejected(id int, now time.Duration) {
	s, open := t.find(id)
	if !open || s.generation != t.generation {
		return
	}
	t.overloaded = now-s.openedAt <= immediateRejection
	switch {
	case t.overloaded:
		t.noteAvailable()
	case t.lateRejectionMeansDown && now < t.Expires():
		t.noteUnavailable(downBehindProxy, id)
	default:
		t.reachedSinceConfirmed = true
	}
}

// noteAvailable records that discovery has sent something.
func (t *Tracker) noteAvailable() { t.availability, t.reachedSinceConfirmed = available, true }

// noteUnavailable records that discovery was unavailable when a poll began. Each such poll renews the lease, unless
// discovery may have had a change before the outage: then the end of the lease does not change.
func (t *Tracker) noteUnavailable(found availability, id int) {
	s, _ := t.find(id)
	if t.availability == available || t.mayHaveRecovered(id) {
		outageBegan := s.openedAt
		if t.Pushed { // the watch ended when the agent went down
			outageBegan = min(outageBegan, t.lastWatchEndedAt)
		}
		expires := t.Expires()
		if t.changeMayPredateOutage(id, outageBegan, expires) {
			t.expiryFixedByOutage = max(expires, 1) // 0 means none
		}
	}
	t.availability, t.unavailablePollAt = found, s.openedAt
}

// changeMayPredateOutage reports whether discovery may have had, and been able to send, a change before the outage that a
// poll has found. Such a change counts as known to the node at its deadline, despite the outage. Without this rule a node
// keeps sending to an endpoint that began to drain just before discovery went down. An example with polled lists, where
// the last heartbeat arrives at 0 s:
//
//	1 s  an endpoint begins to drain, but discovery is too slow to send the change
//	3 s  the watch counts as silent; a poll reaches discovery and receives nothing
//	4 s  discovery goes down: that poll is reset, and the next one is refused
//	6 s  the lease ends although polls are refused: the node counts as notified of the drain
//
// There are three cases: discovery was reached since the list was confirmed, and has sent no list since; another poll has
// reached discovery and is still waiting; or the lease had ended before the outage began.
//
// Two outages in succession can look like one: see mayHaveRecovered and StreamFailed.
func (t *Tracker) changeMayPredateOutage(id int, outageBegan, expires time.Duration) bool {
	return t.reachedSinceConfirmed || t.otherPollConnected(id) || expires <= outageBegan
}

// mayHaveRecovered reports whether discovery may have been available for a while since it was found downBehindProxy.
// This is so if a poll that is older than the one just rejected is still waiting: the proxy would have rejected it by
// now, so it may have reached discovery.
func (t *Tracker) mayHaveRecovered(id int) bool {
	return t.availability == downBehindProxy &&
		slices.ContainsFunc(t.streams, func(s stream) bool { return s.id < id && !s.isWatch() && s.connected })
}

// otherPollConnected reports whether another poll has reached discovery and is waiting for a list.
func (t *Tracker) otherPollConnected(id int) bool {
	return slices.ContainsFunc(t.streams, func(s stream) bool { return s.id != id && !s.isWatch() && s.connected })
}
