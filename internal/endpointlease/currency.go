package endpointlease

import (
	"slices"
	"time"
)

// maxUnobservedTime is how long discovery may go unobserved in an outage that extends the lease: from the last moment at
// which the list was known to be current to the first failed connection, and between two failed connections. Probes keep
// these gaps near probeInterval. A longer one means that the process was held up, and discovery may have been back
// meanwhile.
const maxUnobservedTime = 500 * time.Millisecond

// Doubt is a reason to assume that discovery may have a change which it had before the present outage and which the node has
// not received. Only an outage without a doubt extends the lease: the absence of a sign that there was a change does not
// prove that there was none.
type Doubt int

const (
	// NoDoubt: the list was confirmed, and nothing that could hide a change has happened since.
	NoDoubt Doubt = iota
	// NeverConfirmed: the list was given to a new process, and may be of any age.
	NeverConfirmed
	// Reached: discovery could be reached since the list was last confirmed, but has not confirmed it again.
	Reached
	// Unobserved: nothing was known of discovery for longer than maxUnobservedTime.
	Unobserved
	// NewAddress: the configuration has named another discovery, which has not sent a list before it became unavailable.
	NewAddress
	// LeaseEnded: the lease had ended before the outage began.
	LeaseEnded
)

// String returns the doubt's name in the log.
func (d Doubt) String() string {
	return [...]string{"none", "list never confirmed to this process", "discovery reached without a list", "discovery not observed",
		"no list from the new address", "lease ended before"}[d]
}

// Doubt returns why an outage does not extend the lease, for the log.
func (t *Tracker) Doubt() Doubt { return t.doubt }

// suspect records a doubt, unless there is one already.
func (t *Tracker) suspect(doubt Doubt) {
	if t.doubt == NoDoubt {
		t.doubt = doubt
	}
}

// doubtAbout returns the doubt about an outage, found by a poll or a probe that began at a given time. A change that
// discovery had before the outage counts as known to the node at its deadline, despite the outage. Without this rule a node
// keeps sending to an endpoint that began to drain just before discovery went down. An example with polled lists, where the
// last heartbeat arrives at 0 s:
//
//	1 s  an endpoint begins to drain, but discovery is too slow to send the change
//	3 s  the watch counts as silent; a poll reaches discovery and receives nothing
//	4 s  discovery goes down: that poll is reset, and the next one is refused
//	6 s  the lease ends although polls are refused: the node counts as notified of the drain
//
// Two outages in succession can look like one: see mayHaveRecovered, StreamFailed and maxUnobservedTime.
func (t *Tracker) doubtAbout(found availability, id int, began time.Duration) Doubt {
	switch {
	case t.doubt != NoDoubt:
		return t.doubt
	case found == downBehindProxy:
		return t.doubtAboutProxy(id, began)
	case t.connectedSinceConfirmed || t.otherPollConnected(id):
		return Reached
	case t.availability == available && t.AddressChangePending():
		return NewAddress
	case began-t.currentUntil > maxUnobservedTime:
		return Unobserved
	}
	return NoDoubt
}

// doubtAboutProxy returns the doubt about an outage behind a proxy, where connections succeed throughout.
func (t *Tracker) doubtAboutProxy(id int, outageBegan time.Duration) Doubt {
	if t.Pushed { // the watch ended when the agent went down
		outageBegan = min(outageBegan, t.lastWatchEndedAt)
	}
	switch {
	case t.availability != available && !t.mayHaveRecovered(id):
		return NoDoubt
	case t.otherPollConnected(id):
		return Reached
	case t.Expires() <= outageBegan:
		return LeaseEnded
	}
	return NoDoubt
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

// confirmList records that the list held is current, which renews the lease.
func (t *Tracker) confirmList(now time.Duration) {
	t.confirmedAt, t.confirmed, t.currentUntil = now, true, now
	t.doubt, t.connectedSinceConfirmed = NoDoubt, false
	t.expiryFixedByOutage = 0
	t.probe.wanted = false
}

// watchEnded records the end of the last watch. A watch of the present address that received its heartbeats, and nothing
// else, shows that the list was current until then.
func (t *Tracker) watchEnded(watch stream, now time.Duration) {
	t.lastWatchEndedAt = now
	if watch.generation == t.generation && watch.listBeganAt == 0 && now-watch.lastByteAt <= freshTimeout {
		t.currentUntil = now
	}
}

// ListConfirmed reports whether discovery has confirmed the list to this process, by a list or a heartbeat, and when.
func (t *Tracker) ListConfirmed() (at time.Duration, confirmed bool) {
	return t.confirmedAt, t.confirmed
}
