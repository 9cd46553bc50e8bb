package endpointlease

import "testing"

// Each line of a watch renews the lease. A silent watch, a list that is never complete and polls without a list do not.
func TestOnlyListsAndHeartbeatsRenewLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"watch with heartbeats": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.Activity(1, 3*s)
			},
			at: 5 * s, wakeAt: 5*s + 300*ms, expires: 9 * s, state: Fresh,
		},
		"watch that missed a heartbeat": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(0, 1)
				tracker.ListComplete(1, s)
			},
			at: 3*s + 700*ms, wakeAt: 3*s + 800*ms, expires: 7 * s, state: Aging,
		},
		"watch silent until the notification deadline": {
			options: polled,
			events:  func(tracker *Tracker) { openWatch(tracker, 0, s) },
			at:      7 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"head of a response without a list": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(0, 0)
				tracker.Activity(1, 500*ms)
			},
			at: 700 * ms, wakeAt: hedgeDelayAfterEnd, expires: 6 * s, state: Aging,
		},
		"list that begins and is never complete": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(0, 1)
				tracker.ListBegan(1, s)
				for at := 2 * s; at <= 5*s; at += s {
					tracker.Activity(1, at)
				}
			},
			at: 5 * s, wakeAt: s + ListTransferTimeout, expires: 6 * s, state: Aging,
		},
		"watch that ended": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, s, 2*s)
				tracker.StreamEnded(1, 3*s)
			},
			at: 3 * s, wakeAt: 3*s + watchEndBackoff/10, expires: 8 * s, state: Aging,
		},
		"short poll interval": {
			options: Options{MaxPollInterval: 2 * s},
			events: func(tracker *Tracker) {
				openWatch(tracker, s, 2*s)
				tracker.StreamEnded(1, 3*s)
			},
			at: 3 * s, wakeAt: 3*s + watchEndBackoff/10, expires: 3 * s, state: Expired,
		},
		"silent watch that resumes": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamOpened(4*s, 0)
				tracker.Activity(1, 5*s)
				tracker.Step(5 * s)
			},
			at: 5 * s, wakeAt: 5*s + heartbeatTimeout, expires: 11 * s, state: Fresh,
		},
		"watch that replaced a silent one": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				openWatch(tracker, 4*s, 5*s)
				tracker.Step(5 * s)
			},
			at: 5 * s, wakeAt: 5*s + heartbeatTimeout, expires: 11 * s, state: Fresh,
		},
	})
}

// The lease is short after an address change, because the node soon counts as notified of what the new discovery has. A
// list of the new address restores the usual lease. A list of an earlier address, or a further change, does not extend
// it.
func TestLeaseAfterAddressChange(t *testing.T) {
	checkHistories(t, map[string]history{
		"address change": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.AddressChanged(2 * s)
			},
			at: 6 * s, wakeAt: 0, expires: 6 * s, state: Expired,
		},
		"address change, then a list of the new address": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.AddressChanged(2 * s)
				openWatch(tracker, 2*s, 3*s)
			},
			at: 4 * s, wakeAt: 5*s + 300*ms, expires: 9 * s, state: Fresh,
		},
		"two address changes": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.Activity(1, 2*s)
				tracker.AddressChanged(2 * s)
				tracker.AddressChanged(4 * s)
			},
			at: 5 * s, wakeAt: 0, expires: 6 * s, state: Aging,
		},
		"list from the address before the last": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.AddressChanged(2 * s)
				tracker.StreamOpened(2*s, 0)
				tracker.AddressChanged(3 * s)
				tracker.ListComplete(1, 4*s)
			},
			at: 5 * s, wakeAt: 0, expires: 7 * s, state: Aging,
		},
		"heartbeat from an earlier address": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.AddressChanged(2 * s)
				tracker.Activity(1, 5*s)
			},
			at: 5 * s, wakeAt: 0, expires: 6 * s, state: Aging,
		},
	})
}

// Where an agent pushes lists, the node counts as notified as soon as the agent has a change: the lease ends soon after
// the watch, unless the agent is down.
func TestLeaseOfPushedLists(t *testing.T) {
	checkHistories(t, map[string]history{
		"no watch yet": {
			options: pushed,
			events:  func(tracker *Tracker) { tracker.StreamOpened(s, 0) },
			at:      s, wakeAt: s + hedgeDelayAfterEnd, expires: pushedGracePeriod, state: Expired,
		},
		"open watch": {
			options: pushed,
			events:  func(tracker *Tracker) { openWatch(tracker, s, s) },
			at:      2 * s, wakeAt: s + heartbeatTimeout, expires: 7 * s, state: Fresh,
		},
		"watch ended, grace period over": {
			options: pushed,
			events: func(tracker *Tracker) {
				openWatch(tracker, s, s)
				tracker.StreamEnded(1, 2*s)
			},
			at: 2*s + pushedGracePeriod, wakeAt: 0, expires: 2*s + pushedGracePeriod, state: Expired,
		},
		"watch ended, within the grace period": {
			options: pushed,
			events: func(tracker *Tracker) {
				openWatch(tracker, s, s)
				tracker.StreamEnded(1, 2*s)
			},
			at: 2 * s, wakeAt: 2*s + watchEndBackoff/10, expires: 2*s + pushedGracePeriod, state: Aging,
		},
		"unreachable agent": {
			options: pushed,
			events: func(tracker *Tracker) {
				watchUntil(tracker, s)
				tracker.StreamOpened(s, 0)
				tracker.Unreachable(2, s)
				tracker.StreamEnded(2, s)
			},
			at: s, wakeAt: s + maxBackoffPushedUnavailable/2, expires: 7 * s, state: Aging,
		},
		"address change": {
			options: pushed,
			events: func(tracker *Tracker) {
				openWatch(tracker, s, s)
				tracker.Activity(1, 4*s)
				tracker.AddressChanged(5 * s)
			},
			at: 8 * s, wakeAt: 0, expires: 9 * s, state: Aging,
		},
		"agent unreachable when the watch ends": {
			options: pushed,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				tracker.StreamOpened(2150*ms, 0)
				tracker.Unreachable(2, 2150*ms)
				tracker.StreamEnded(2, 2150*ms)
			},
			at: 3 * s, wakeAt: 0, expires: 8150 * ms, state: Aging,
		},
	})
}

// A list that is handed over in a hot restart keeps its age: a restart does not renew the lease.
func TestInheritedListKeepsItsAge(t *testing.T) {
	checkHistories(t, map[string]history{
		"list inherited at the age of 5 s": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.Inherit(0, 5*s, WatchEvidence)
				tracker.StreamOpened(0, 0)
			},
			at: s, wakeAt: hedgeDelayAfterEnd, expires: s, state: Expired,
		},
		"pushed list, inherited": {
			options: pushed,
			events: func(tracker *Tracker) {
				tracker.Inherit(0, 0, WatchEvidence)
				tracker.StreamOpened(0, 0)
			},
			at: 50 * ms, wakeAt: hedgeDelayAfterEnd, expires: pushedGracePeriod, state: Aging,
		},
	})
}
