package endpointlease

import "time"

// immediateRejection is the longest time that a discovery that is up takes to reject a poll. A later rejection may come
// from a proxy in front of it whose own request timed out.
const immediateRejection = time.Second

// availability says whether discovery can notify nodes of changes. While it cannot, no node counts as notified of its
// changes, and each poll or probe that finds it unavailable renews the lease, unless there is a Doubt.
//
// A discovery that is slow or silent counts as available: the lease expires, and requests are rejected until it sends
// something. Silence, however long, is not evidence of an outage, because other nodes may be notified meanwhile.
type availability int

const (
	// available: discovery has sent something, or a connection to it has succeeded. This is also the state before the
	// first poll, and after the lease has expired in an outage behind a proxy.
	available availability = iota
	// unreachable: the last connection attempt was refused or timed out. Set by Unreachable and ProbeEnded, cleared by
	// Connected and ProbeEnded.
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

// Unavailable reports whether discovery is unreachable or downBehindProxy. Any activity of discovery ends this state.
func (t *Tracker) Unavailable() bool { return t.availability != available }

// Connected records that a poll's connection has been established: discovery can be reached, whether or not it answers.
func (t *Tracker) Connected(id int) {
	s, _ := t.find(id)
	s.connected = true
	t.noteConnected()
}

// Unreachable records that a poll's connection was refused or timed out. It is called before StreamEnded. A poll of an
// earlier address says nothing about the present one.
func (t *Tracker) Unreachable(id int, now time.Duration) {
	if s, open := t.find(id); open && s.generation == t.generation {
		t.noteUnreachable(id, s.openedAt, now)
	}
}

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
		t.noteUnavailable(downBehindProxy, id, s.openedAt, now)
	default:
		t.suspect(Reached)
	}
}

// noteAvailable records that discovery has sent something.
func (t *Tracker) noteAvailable() {
	t.availability = available
	t.suspect(Reached)
}

// noteConnected records that a connection has been established. After failed connections it shows that discovery has
// recovered, and may have a change.
func (t *Tracker) noteConnected() {
	t.connectedSinceConfirmed = true
	if t.availability == unreachable {
		t.noteAvailable()
	}
}

// noteUnreachable records that a connection has failed, from the beginning to the end of the attempt. Probes follow until one
// succeeds.
func (t *Tracker) noteUnreachable(id int, began, ended time.Duration) {
	t.noteUnavailable(unreachable, id, began, ended)
	t.wantProbe(ended + probeInterval)
}

// noteUnavailable records that a poll or a probe found discovery unavailable. It renews the lease, unless discovery may have
// had a change before the outage: then the end of the lease does not change.
func (t *Tracker) noteUnavailable(found availability, id int, began, ended time.Duration) {
	t.suspect(t.doubtAbout(found, id, began))
	if t.doubt == NoDoubt {
		t.currentUntil = max(t.currentUntil, ended)
	} else if t.expiryFixedByOutage == 0 {
		t.expiryFixedByOutage = max(t.Expires(), 1) // 0 means none
	}
	t.availability, t.unavailablePollAt = found, max(t.unavailablePollAt, began)
}
