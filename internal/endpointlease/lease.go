package endpointlease

import "time"

const (
	// pushedGracePeriod is how long the lease lasts after the last watch has ended where lists are pushed: a node counts
	// as notified as soon as the agent has a change. A node must stop sending to an endpoint within 250 ms of being
	// notified. The other 150 ms are for a node that is delayed between its check and its write.
	pushedGracePeriod = 100 * time.Millisecond

	// freshTimeout is how long after its last line a watch counts as up to date: one heartbeat interval, plus a quarter
	// for network delay.
	freshTimeout = HeartbeatInterval + HeartbeatInterval/4
)

// State says how current a node's endpoint list is. Fresh and Aging lists may be used. A list becomes Aging when its
// watch misses a heartbeat or ends, Expired when the lease ends, and Fresh when the current discovery sends a list or a
// line.
type State int

const (
	// Fresh means that a watch receives its heartbeats: the list held is the one that discovery has.
	Fresh State = iota
	// Aging means that nothing is being received, but the lease has not expired.
	Aging
	// Expired means that the lease has ended: there may be a change that the node should know but does not. The list must
	// not be used to send anything.
	Expired
)

// String returns the state's name in the log.
func (s State) String() string { return [...]string{"fresh", "aging", "expired"}[s] }

// Expires returns when the lease on the list ends. From then on the node counts as notified of changes that it may not
// have received, and must not use the list to send anything. The result may be in the past.
//
// The lease ends NotificationDeadline after the list was last confirmed, whatever happens to polls. It ends sooner if
//   - an agent pushes the list and no watch is open: pushedGracePeriod after the last watch ended,
//   - the list is polled and no stream is open: MaxPollInterval after the last poll,
//   - the configuration has named another discovery: NotificationDeadlineAfterChange after the first such SIGHUP.
//
// An unavailable discovery cannot notify any node, so each poll or probe that finds it unavailable extends the lease to
// NotificationDeadline after its start, unless a change may have preceded the outage (expiryFixedByOutage).
// Time alone never extends the lease: a discovery that answers no poll may have notified other nodes.
//
// Without this rule a node keeps sending to a drained endpoint while discovery is slow, as in the incident of 2 December
// 2026.
func (t *Tracker) Expires() time.Duration {
	switch {
	case t.expiryFixedByOutage > 0:
		return t.expiryFixedByOutage
	case t.Unavailable():
		return t.unavailablePollAt + NotificationDeadline
	}
	expires := t.confirmedAt + NotificationDeadline
	if t.unavailablePollAt > 0 {
		expires = max(expires, t.unavailablePollAt+NotificationDeadline)
	}
	switch {
	case t.hasWatch(): // only NotificationDeadline applies, even if the watch is silent
	case t.Pushed:
		expires = min(expires, t.lastWatchEndedAt+pushedGracePeriod)
	case len(t.streams) == 0:
		expires = min(expires, max(t.lastPollAt, t.unavailablePollAt)+t.MaxPollInterval)
	}
	if len(t.pendingAddressChanges) > 0 {
		expires = min(expires, t.pendingAddressChanges[0].at+NotificationDeadlineAfterChange)
	}
	return expires
}

// LeaseStatus is the result of AdvanceLease.
type LeaseStatus struct {
	State   State
	Expires time.Duration
	CheckAt time.Duration // when to check again if no event happens before
}

// AdvanceLease returns the status of the lease. A lease expires during an outage if no later poll or probe has confirmed the
// outage, or if a change may have preceded it. In both cases the outage no longer justifies serving.
func (t *Tracker) AdvanceLease(now time.Duration) LeaseStatus {
	if now >= t.Expires() {
		t.endOutageExtension()
	}
	lease := LeaseStatus{State: t.State(now), Expires: t.Expires(), CheckAt: t.Expires()}
	if now >= lease.Expires {
		lease.CheckAt = never // only an event can change it
	}
	return lease
}

// endOutageExtension keeps the present outage from extending the lease. An outage behind a proxy is only inferred, and
// discovery counts as available but silent from then on.
func (t *Tracker) endOutageExtension() {
	switch t.availability {
	case unreachable:
		t.expiryFixedByOutage = max(t.Expires(), 1) // 0 means none
	case downBehindProxy:
		t.availability = available
	}
}

// State returns the state of the list at a given time.
func (t *Tracker) State(now time.Duration) State {
	watch := t.healthyWatch(now)
	if watch != nil && watch.listBeganAt == 0 && !t.AddressChangePending() && now-watch.lastByteAt <= freshTimeout {
		return Fresh
	}
	if now < t.Expires() {
		return Aging
	}
	return Expired
}
