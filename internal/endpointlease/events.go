package endpointlease

import (
	"slices"
	"time"
)

// RequestPoll notes that the decision module wants the list. Where lists are polled, the first poll waits for this.
func (t *Tracker) RequestPoll() { t.pollingStarted = true }

// StreamOpened notes that a poll has begun, and returns the stream's ID. The jitter, from 0 to 1, is drawn by the caller.
func (t *Tracker) StreamOpened(now time.Duration, jitter float64) (id int) {
	t.lastStreamID++
	t.streams = append(t.streams, stream{id: t.lastStreamID, generation: t.generation, openedAt: now, lastByteAt: now, jitter: jitter})
	t.lastPollAt, t.pollingStarted = now, true
	return t.lastStreamID
}

// Activity notes a sign of life on a stream: the head of an answer, a heartbeat, or a part of a list. One on a stream that
// was dropped shows all the same that discovery is available.
func (t *Tracker) Activity(id int, now time.Duration) {
	t.noteAvailable()
	s, _ := t.find(id)
	s.lastByteAt = now
	if s.isWatch() && s.listBeganAt == 0 {
		t.confirmList(now) // a heartbeat: the watch holds no newer list back
	}
}

// ListBegan notes the first byte of a list. The list must be complete within ListTransferTimeout.
func (t *Tracker) ListBegan(id int, now time.Duration) {
	t.Activity(id, now)
	if s, _ := t.find(id); s.listBeganAt == 0 {
		s.listBeganAt = max(now, 1) // 0 means that none has begun
	}
}

// ListComplete notes that a watch has brought a complete list or complete changes: the node holds what discovery had.
func (t *Tracker) ListComplete(id int, now time.Duration) {
	t.noteAvailable()
	s, _ := t.find(id)
	s.lastByteAt, s.listBeganAt = now, 0
	if !s.isWatch() {
		s.firstListAt = max(now, 1) // 0 means that none was complete
	}
	t.confirmList(now)
	t.pendingAddressChanges = slices.DeleteFunc(t.pendingAddressChanges, func(c addressChange) bool { return c.generation <= s.generation })
	if s.generation == t.generation {
		t.hedgedPolls, t.consecutiveFailures, t.overloaded, t.lateRejectionMeansDown = 0, 0, false, false
	}
}

// PollAnswered notes that a poll without a watch has brought the complete list. A watch is opened at once after it.
func (t *Tracker) PollAnswered(id int, now time.Duration) {
	t.ListComplete(id, now)
	t.removeStream(id, now)
	t.nextPollAt = now
}

// StreamFailed notes, before StreamEnded, that a stream was reset or has ended. If the connection of a poll had come up
// and no list came, discovery may have had a change that it could not send: see noteUnavailable. A proxy before a discovery
// that is down rejects polls, so that a reset there is of one that was back.
func (t *Tracker) StreamFailed(id int) {
	s, _ := t.find(id)
	if !s.connected || s.isWatch() {
		return
	}
	t.reachedSinceConfirmed = true
	if t.availability == downBehindProxy {
		t.availability = available
	}
}

// StreamClosed notes, before StreamEnded, that discovery ended an answer in order, as one that goes down does not: its
// connections are reset.
func (t *Tracker) StreamClosed(id int) {
	t.StreamFailed(id)
	s, _ := t.find(id)
	s.closedCleanly = true
}

// MalformedList notes, before StreamEnded, that a stream brought something that can't be read or built on. A watch that
// was read without fault for healthyWatchAge is a new case: what was malformed before it no longer counts.
func (t *Tracker) MalformedList(id int, now time.Duration) {
	if s, _ := t.find(id); s.isWatch() && now-s.firstListAt > malformedResetAge {
		t.malformedLists = 0
	}
	t.malformedLists++
}

// StreamEnded notes that a stream is over: rejected, reset, or at its end. A stream to an earlier address does not change
// the schedule of polls to the present one.
func (t *Tracker) StreamEnded(id int, now time.Duration) {
	s := t.removeStream(id, now)
	if s.id == 0 || s.generation != t.generation {
		return
	}
	if !s.isWatch() {
		t.hedgedPolls = 0       // it was answered, even if with a rejection
		t.consecutiveFailures++ // before backoff, which is 300 ms and not 150 ms after the first failed poll
	} else if !t.hasWatch() {
		t.lateRejectionMeansDown = now < s.heartbeatDeadline() && !s.closedCleanly
	}
	t.nextPollAt = now + t.backoff(s.jitter)
}

// confirmList notes that the list held is all that discovery has: the lease begins anew.
func (t *Tracker) confirmList(now time.Duration) {
	t.confirmedAt, t.reachedSinceConfirmed = now, false
	t.expiryFixedByOutage = 0
}

// HoldBootstrapList notes that a new process holds the list that it was given. That may be old.
func (t *Tracker) HoldBootstrapList(now time.Duration) { t.InheritAge(now, bootstrapListAge) }

// InheritAge takes over the list of the process before this one: it was confirmed so long ago. Without it a restart would
// renew the lease of a list that nobody has confirmed.
func (t *Tracker) InheritAge(now, age time.Duration) { t.confirmedAt = now - age }

// maxPendingAddressChanges bounds what many SIGHUPs in a row can store. Further changes share the time of the last one
// kept, which can only end the lease sooner.
const maxPendingAddressChanges = 16

// addressChange is a configuration that names another discovery, from which no list has come yet.
type addressChange struct {
	generation int // of the streams to the new address
	at         time.Duration
}

// AddressChanged notes that the configuration names another discovery. It is polled at once. Open streams are of earlier
// addresses: they are read until a list has come from the new one, for until then they may be the last to report a change.
func (t *Tracker) AddressChanged(now time.Duration) {
	t.generation++
	t.clearOutageBehindProxy()
	t.nextPollAt, t.pollingStarted = now, true
	t.hedgedPolls, t.consecutiveFailures, t.malformedLists, t.overloaded = 0, 0, 0, false
	t.lateRejectionMeansDown = false // the new discovery is reached by all its nodes at once, and may be slow
	if len(t.pendingAddressChanges) == maxPendingAddressChanges {
		t.pendingAddressChanges[maxPendingAddressChanges-1].generation = t.generation
		return
	}
	t.pendingAddressChanges = append(t.pendingAddressChanges, addressChange{generation: t.generation, at: now})
}

// clearOutageBehindProxy drops what was found of the address before: that it is down behind a proxy says nothing of the new
// one. The first poll shows whether the new address is unreachable, so that this is left to it.
func (t *Tracker) clearOutageBehindProxy() {
	if t.availability == downBehindProxy {
		t.availability = available
	}
}

// AddressChangePending says whether no list has come yet from the present address.
func (t *Tracker) AddressChangePending() bool { return len(t.pendingAddressChanges) > 0 }

// Generation counts the changes of address so far: it is that of streams that are opened now.
func (t *Tracker) Generation() int { return t.generation }
