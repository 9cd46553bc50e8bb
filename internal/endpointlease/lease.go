package endpointlease

import "time"

const (
	// pushedGracePeriod is how long the lease outlives the last watch where lists are pushed: a node counts as notified at once
	// of what the agent has. Of the 250 ms within which a node must stop sending to an endpoint that it was notified of,
	// 150 ms are left for a node that is held up between its check and its write.
	pushedGracePeriod = 100 * time.Millisecond

	// bootstrapListAge is how old the list counts as that a new process was given. Nobody says how old it is, and a change
	// made before the process began counts as known to it NotificationDeadline later like any other. What is left of the lease
	// is the time that a new process needs to have its list from a discovery with many pollers.
	bootstrapListAge = 3 * time.Second

	// freshTimeout is how long after its last line a watch counts as up to date: one heartbeat, and a quarter for its way.
	freshTimeout = HeartbeatInterval + HeartbeatInterval/4
)

// State is what a node may say of its endpoint list. Fresh and Aging lists may be used. A list becomes Aging as its watch
// misses a heartbeat or ends, Expired as the lease ends, and Fresh with a list or line of the present discovery.
type State int

const (
	// Fresh says that a watch keeps its heartbeat: the list held is what discovery has.
	Fresh State = iota
	// Aging says that nothing is heard at present, and the lease has not expired.
	Aging
	// Expired says that the lease is over: there may be a change that the node should know and does not. Nothing may be
	// sent on the list.
	Expired
)

// String returns the state as the log has it.
func (s State) String() string { return [...]string{"fresh", "aging", "expired"}[s] }

// Expires is when the lease on the list ends: from then on the node counts as notified of changes that it may not have,
// and must send nothing on the list. It may be in the past.
//
// The lease ends NotificationDeadline after the list was last confirmed, whatever becomes of polls. It ends sooner where
//   - an agent pushed the list and no watch is open: pushedGrace after the last one ended,
//   - the list is polled and nothing is open: MaxPollInterval after the last poll,
//   - the configuration named another discovery: NotificationDeadlineAfterChange after the first such SIGHUP.
//
// While discovery is unavailable it can notify nobody: each poll that finds it so puts the end off to NotificationDeadline
// after that poll's begin, unless a change may have come before the outage (expiryFixedByOutage). Time alone puts no end
// off: a discovery that answers no poll may have notified others.
//
// Without this rule a node goes on sending to a drained endpoint while discovery is slow: the incident of 2 December 2026.
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
	case t.hasWatch(): // any open watch, even a silent one: what is left is NotificationDeadline
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

// LeaseStatus is what AdvanceLease finds.
type LeaseStatus struct {
	State   State
	Expires time.Duration
	CheckAt time.Duration // when to check again if no event comes before
}

// AdvanceLease moves availability on when the lease has expired, and says what the list is worth then. The lease has ended in
// spite of an outage where no later poll has confirmed that, or where a change may have come before it. The outage excuses no
// further serving then: discovery counts as available, though silent.
func (t *Tracker) AdvanceLease(now time.Duration) LeaseStatus {
	if now >= t.Expires() {
		t.availability = available
	}
	lease := LeaseStatus{State: t.State(now), Expires: t.Expires(), CheckAt: t.Expires()}
	if now >= lease.Expires {
		lease.CheckAt = never // only an event can change it
	}
	return lease
}

// State says what the list is worth at a time.
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
