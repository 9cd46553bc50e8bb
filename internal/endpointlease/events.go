package endpointlease

import (
	"slices"
	"time"
)

// RequestPoll records that the decision module wants the endpoint list. Where lists are polled, the first poll waits for
// this.
func (t *Tracker) RequestPoll() { t.pollingStarted = true }

// StreamOpened records that a poll has begun, and returns the stream's ID. The caller draws the jitter, from 0 to 1.
func (t *Tracker) StreamOpened(now time.Duration, jitter float64) (id int) {
	t.lastStreamID++
	t.streams = append(t.streams, stream{id: t.lastStreamID, generation: t.generation, openedAt: now, lastByteAt: now, jitter: jitter})
	t.lastPollAt, t.pollingStarted = now, true
	return t.lastStreamID
}

// Activity records that a stream has received something: the head of a response, a heartbeat, or a part of a list. On a
// stream that was dropped, it still shows that discovery is available.
func (t *Tracker) Activity(id int, now time.Duration) {
	t.noteAvailable()
	s, _ := t.find(id)
	s.lastByteAt = now
	if s.isWatch() && s.listBeganAt == 0 {
		t.confirmList(now) // a heartbeat: discovery has no newer list
	}
}

// ListBegan records the first byte of a list. The list must be complete within ListTransferTimeout. On a watch it shows that
// the list held is no longer current.
func (t *Tracker) ListBegan(id int, now time.Duration) {
	if s, _ := t.find(id); s.listBeganAt == 0 {
		s.listBeganAt = max(now, 1) // 0 means that no list has begun; set first, so that this is not taken for a heartbeat
	}
	t.Activity(id, now)
}

// ListComplete records that a stream has received a complete list or complete changes: the node holds what discovery had.
func (t *Tracker) ListComplete(id int, now time.Duration) {
	t.noteAvailable()
	s, _ := t.find(id)
	s.lastByteAt, s.listBeganAt = now, 0
	if !s.isWatch() {
		s.firstListAt = max(now, 1) // 0 means that no list is complete yet
	}
	t.confirmList(now)
	t.pendingAddressChanges = slices.DeleteFunc(t.pendingAddressChanges, func(c addressChange) bool { return c.generation <= s.generation })
	if s.generation == t.generation {
		t.hedgedPolls, t.consecutiveFailures, t.overloaded, t.lateRejectionMeansDown = 0, 0, false, false
	}
}

// PollAnswered records that a poll without a watch has received the complete list. A watch is opened immediately
// afterwards.
func (t *Tracker) PollAnswered(id int, now time.Duration) {
	t.ListComplete(id, now)
	t.removeStream(id, now)
	t.nextPollAt = now
}

// StreamFailed records that a stream was reset or has ended. It is called before StreamEnded. If a poll had connected but
// received no list, discovery may have had a change that it could not send: see doubtAbout. A proxy in front of a
// discovery that is down rejects polls, so a poll that is reset instead shows that discovery was back.
func (t *Tracker) StreamFailed(id int) {
	s, _ := t.find(id)
	if !s.connected || s.isWatch() {
		return
	}
	t.suspect(Reached)
	if t.availability == downBehindProxy {
		t.availability = available
	}
}

// StreamClosed records that discovery closed a stream cleanly. It is called before StreamEnded. A discovery that goes
// down does not close its streams: its connections are reset.
func (t *Tracker) StreamClosed(id int) {
	t.StreamFailed(id)
	s, _ := t.find(id)
	s.closedCleanly = true
}

// MalformedList records that a stream has received something that cannot be read or applied. It is called before
// StreamEnded. If the stream is a watch that was read without a fault for malformedResetAge, earlier malformed lists no
// longer count.
func (t *Tracker) MalformedList(id int, now time.Duration) {
	if s, _ := t.find(id); s.isWatch() && now-s.firstListAt > malformedResetAge {
		t.malformedLists = 0
	}
	t.malformedLists++
	t.suspect(Reached)
}

// StreamEnded records that a stream has ended, whether it was rejected, reset or closed. A stream to an earlier address
// does not affect the schedule of polls to the present one.
func (t *Tracker) StreamEnded(id int, now time.Duration) {
	s := t.removeStream(id, now)
	if s.id == 0 || s.generation != t.generation {
		return
	}
	if !s.isWatch() {
		t.hedgedPolls = 0       // discovery has answered, even if with a rejection
		t.consecutiveFailures++ // before backoff: the delay after the first failed poll is 300 ms, not 150 ms
	} else if !t.hasWatch() {
		t.lateRejectionMeansDown = now < s.heartbeatDeadline() && !s.closedCleanly
		if t.doubt == NoDoubt {
			t.wantProbe(now)
		}
	}
	t.nextPollAt = now + t.backoff(s.jitter)
}

// maxPendingAddressChanges limits how many address changes are stored after many SIGHUPs in a row. Further changes share
// the time of the last one stored, which can only end the lease sooner.
const maxPendingAddressChanges = 16

// addressChange is a configuration change to another discovery from which no list has arrived yet.
type addressChange struct {
	generation int // of the streams to the new address
	at         time.Duration
}

// AddressChanged records that the configuration names another discovery, which is polled immediately. The streams that
// are open belong to earlier addresses. They are read until a list has arrived from the new address, because until then
// they may be the only ones to report a change.
func (t *Tracker) AddressChanged(now time.Duration) {
	t.generation++
	t.clearOutageBehindProxy()
	t.nextPollAt, t.pollingStarted = now, true
	t.hedgedPolls, t.consecutiveFailures, t.malformedLists, t.overloaded = 0, 0, 0, false
	t.lateRejectionMeansDown = false // all nodes poll the new discovery at once, so it may be slow
	if t.availability == unreachable {
		t.wantProbe(now)
	}
	if len(t.pendingAddressChanges) == maxPendingAddressChanges {
		t.pendingAddressChanges[maxPendingAddressChanges-1].generation = t.generation
		return
	}
	t.pendingAddressChanges = append(t.pendingAddressChanges, addressChange{generation: t.generation, at: now})
}

// clearOutageBehindProxy discards the finding that the previous address is down behind a proxy, which says nothing about
// the new one. The finding that it is unreachable is kept: the first poll of the new address updates it.
func (t *Tracker) clearOutageBehindProxy() {
	if t.availability == downBehindProxy {
		t.availability = available
	}
}

// AddressChangePending reports whether no list has arrived yet from the present address.
func (t *Tracker) AddressChangePending() bool { return len(t.pendingAddressChanges) > 0 }

// Generation returns the number of address changes so far, which is the generation of streams that are opened now.
func (t *Tracker) Generation() int { return t.generation }
