package endpointlease

import (
	"slices"
	"time"
)

// immediateRejection is how soon a rejection comes from a discovery that is up. A later one may be of a proxy before it that
// waited in vain.
const immediateRejection = time.Second

// availability says whether discovery can notify nodes of changes. While it can't, nothing that it has counts as known to
// them, and each poll that finds it so renews the lease.
//
// A discovery that is slow or silent is available: the lease expires, and requests are rejected for as long as it sends
// nothing. Silence, however long, is no sign of an outage, for other nodes may be notified meanwhile.
type availability int

const (
	// available: discovery has sent something, or a connection to it has come up. Also the state before the first poll,
	// and again once the lease has expired, until polls find another.
	available availability = iota
	// unreachable: the last connection was refused or did not come up. Set by Unreachable; ended by Connected.
	unreachable
	// downBehindProxy: the watch has ended, and polls are rejected after a wait, as by a proxy that can't reach discovery.
	// Set by PollRejected; ended by StreamFailed, of a poll that was reset instead, and by DiscoveryChanged. It is a reading, not
	// a proof: a discovery with too many pollers whose watches have ended looks the same (docs/questions.md, 9).
	downBehindProxy
)

// String returns the finding as the log has it.
func (a availability) String() string {
	return [...]string{"available", "unreachable", "down behind a proxy"}[a]
}

// AvailabilityName says what polls have found of discovery, for the log.
func (t *Tracker) AvailabilityName() string { return t.availability.String() }

// Unavailable says whether the node may serve on its list without discovery: unreachable or downBehindProxy. Any activity
// ends that.
func (t *Tracker) Unavailable() bool { return t.availability != available }

// Connected notes that a poll's connection has come up: discovery can be reached, whether or not it answers.
func (t *Tracker) Connected(id int) {
	s, _ := t.find(id)
	s.connected = true
	if t.availability == unreachable {
		t.availability = available
	}
}

// Unreachable notes, before StreamEnded, that a poll's connection was refused or did not come up.
func (t *Tracker) Unreachable(id int) { t.noteUnavailable(unreachable, id) }

// PollRejected notes, before StreamEnded, that a poll was answered with an error status:
//
//   - A rejection within immediateRejection is of a discovery that is up and overloaded.
//   - A later one counts as that of a proxy, whose discovery is down, if the watch has ended as an outage ends it
//     (lateRejectionMeansDown) and the lease is in force. It never brings an expired list back.
//   - Any other may come from a slow discovery, which could have notified others: it was reached, and sent nothing.
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

// noteAvailable notes that discovery has sent something.
func (t *Tracker) noteAvailable() { t.availability, t.reachedSinceConfirmed = available, true }

// noteUnavailable notes that discovery was unavailable when a poll began. Each such poll renews the lease, unless discovery
// may have had a change before the outage: then the lease keeps the end that it had.
func (t *Tracker) noteUnavailable(found availability, id int) {
	s, _ := t.find(id)
	if t.availability == available || t.mayHaveRecovered(id) {
		outageBegan := s.openedAt
		if t.Pushed { // its watch ended as it went down
			outageBegan = min(outageBegan, t.lastWatchEndedAt)
		}
		expires := t.Expires()
		if t.changeMayPredateOutage(id, outageBegan, expires) {
			t.expiryFixedByOutage = max(expires, 1) // 0 means that there is none
		}
	}
	t.availability, t.unavailablePollAt = found, s.openedAt
}

// changeMayPredateOutage says whether discovery may have had a change before an outage that a poll has found, and could have
// sent it: such a change counts as known to the node at its deadline, outage or not. Without this rule a node goes on sending
// to an endpoint that began to drain just before discovery went down. An example, where lists are polled, with the last
// heartbeat at 0 s:
//
//	1 s  an endpoint begins to drain, and discovery is too slow to say so
//	3 s  the watch counts as silent; a poll reaches discovery, and nothing comes on it
//	4 s  discovery goes down: that poll is reset, and the next one is refused
//	6 s  the lease ends, although polls are refused: the node counts as notified of the drain
//
// The three cases: discovery was reached since the list was confirmed and has sent no list since; another poll has reached
// it and still waits; or the lease had ended before the outage began.
//
// What looks like one outage may be two: see mayHaveReturned and StreamFailed.
func (t *Tracker) changeMayPredateOutage(id int, outageBegan, expires time.Duration) bool {
	return t.reachedSinceConfirmed || t.otherPollConnected(id) || expires <= outageBegan
}

// mayHaveRecovered says whether discovery may have been back since polls were rejected after a wait: a poll that is older than
// the one that was rejected now still waits, so that something other than the proxy may have it.
func (t *Tracker) mayHaveRecovered(id int) bool {
	return t.availability == downBehindProxy &&
		slices.ContainsFunc(t.streams, func(s stream) bool { return s.id < id && !s.isWatch() && s.connected })
}

// otherPollConnected says whether a poll beside this one has reached discovery and waits for a list.
func (t *Tracker) otherPollConnected(id int) bool {
	return slices.ContainsFunc(t.streams, func(s stream) bool { return s.id != id && !s.isWatch() && s.connected })
}
