package endpointlease

import (
	"testing"
	"time"
)

// A discovery that is down cannot notify any node: each poll that finds it down renews the lease, whether discovery
// refuses connections or a proxy in front of it rejects polls after a wait.
func TestUnavailableDiscoveryRenewsTheLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"unreachable discovery": {
			options: polled,
			events: func(tracker *Tracker) {
				watchUntil(tracker, s)
				tracker.StreamOpened(1100*ms, 0)
				tracker.Unreachable(2, 1100*ms)
				tracker.StreamEnded(2, 1100*ms)
			},
			at: 6 * s, wakeAt: 0, expires: 7100 * ms, state: Aging,
		},
		"unreachable for a minute": {
			options: polled,
			events: func(tracker *Tracker) {
				watchUntil(tracker, s)
				pollUnreachable(tracker, s, 60*s)
			},
			at: 60 * s, wakeAt: 0, expires: 65800 * ms, state: Aging,
		},
		"unreachable, and polling has stopped": {
			options: polled,
			events: func(tracker *Tracker) {
				watchUntil(tracker, s)
				pollUnreachable(tracker, s, 60*s)
			},
			at: 65800 * ms, wakeAt: 0, expires: 65800 * ms, state: Expired,
		},
		"reachable again": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(s, 0)
				tracker.Unreachable(1, 40*s)
				tracker.StreamEnded(1, 40*s)
				openWatch(tracker, 50*s, 51*s)
			},
			at: 52 * s, wakeAt: 53*s + 300*ms, expires: 57 * s, state: Fresh,
		},
		"down behind a proxy: late rejections after the watch has ended": {
			options: polled,
			events:  func(tracker *Tracker) { endWatchThenRejectLate(tracker, 0, 3*s, 6*s) },
			at:      7 * s, wakeAt: 8100*ms + watchEndBackoff*4/10, expires: 12 * s, state: Aging,
		},
		"immediate rejection after late ones": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s, 6*s)
				tracker.StreamOpened(9*s, 0)
				tracker.PollRejected(4, 9*s+ms)
				tracker.StreamEnded(4, 9*s+ms)
			},
			at: 11 * s, wakeAt: 0, expires: 12 * s, state: Aging,
		},
	})
}

// A discovery that is slow or overloaded may have a change that the node has not received: only a list or a heartbeat
// renews the lease. If anything else did, the node would send to draining endpoints, as in the incident of 2 December
// 2026.
func TestSlowDiscoveryDoesNotRenewLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"poll reset": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0)
				tracker.StreamOpened(3*s, 0)
				tracker.StreamFailed(2)
				tracker.StreamEnded(2, 5*s)
			},
			at: 5 * s, wakeAt: 5*s + watchEndBackoff*2/10, expires: 7 * s, state: Aging,
		},
		"several polls reset": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0)
				tracker.StreamOpened(3*s, 0)
				tracker.StreamFailed(2)
				tracker.StreamEnded(2, 5*s)
				tracker.StreamOpened(5*s, 0)
				tracker.StreamFailed(3)
				tracker.StreamEnded(3, 7*s)
			},
			at: 8 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"immediate rejections by an overloaded discovery": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s, 6*s)
				rejectImmediately(tracker, 9*s)
			},
			at: 11 * s, wakeAt: 0, expires: 12 * s, state: Aging,
		},
		"late rejections while a silent watch is open": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				for at := 4 * s; at < 7*s; at += s {
					rejectPoll(tracker, at, at+900*ms+200*ms)
				}
			},
			at: 8 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"late rejections after an address change": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.AddressChanged(2 * s)
				tracker.StreamEnded(1, 3*s)
				rejectPoll(tracker, 3*s, 5*s)
				rejectPoll(tracker, 5*s, 7*s)
			},
			at: 8 * s, wakeAt: 0, expires: 6 * s, state: Expired,
		},
		"unreachable only after the lease expired": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				rejectImmediately(tracker, 3*s)
				tracker.StreamOpened(7500*ms, 0)
				tracker.Unreachable(3, 7500*ms)
				tracker.StreamEnded(3, 7500*ms)
			},
			at: 9 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"slow, then unreachable": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				tracker.StreamOpened(2100*ms, 0)
				tracker.Connected(2)
				tracker.StreamFailed(2)
				tracker.StreamEnded(2, 5*s)
				pollUnreachable(tracker, 5*s, 9*s)
			},
			at: 7 * s, wakeAt: 7120 * ms, expires: 7 * s, state: Expired,
		},
	})
}

// A discovery that rejected polls after a wait was reached and may have had a change, unless the rejections show an
// outage. Guards against a fault in which nodes forgot this: connections that were refused later renewed the lease,
// without end if refusals and late rejections alternated.
func TestRefusalAfterLateRejectionDoesNotRenewLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"in a new process": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				rejectPoll(tracker, 100*ms, 2100*ms)
				pollUnreachable(tracker, 2200*ms, 9*s)
			},
			at: 9 * s, wakeAt: 0, expires: neverHeld, state: Expired,
		},
		"while a silent watch is open": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				rejectPoll(tracker, 3400*ms, 5400*ms)
				pollUnreachable(tracker, 5500*ms, 9*s)
			},
			at: 9 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"refusals before and after": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				pollUnreachable(tracker, 100*ms, s)
				rejectPoll(tracker, 1500*ms, 3500*ms)
				pollUnreachable(tracker, 4*s, 9*s)
			},
			at: 9 * s, wakeAt: 0, expires: neverHeld, state: Expired,
		},
	})
}

// A late rejection does not prove an outage during which a node may serve. It does not make an expired list usable again,
// and proves nothing if discovery closed the watch or if the watch had fallen silent before it ended: discovery may have
// had a change then.
func TestLateRejectionDoesNotRenewLeaseWithoutOutage(t *testing.T) {
	checkHistories(t, map[string]history{
		"pushed, after the watch's grace period": {
			options: pushed,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 2150*ms, 4150*ms)
			},
			at: 4150 * ms, wakeAt: 4150*ms + watchEndBackoff*2/10, expires: 2*s + pushedGracePeriod, state: Expired,
		},
		"poll begun within the lease": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 6500*ms, 8500*ms)
			},
			at: 8500 * ms, wakeAt: 8500*ms + watchEndBackoff*2/10, expires: 7 * s, state: Expired,
		},
		"watch closed by discovery": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamClosed(1)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 2100*ms, 4100*ms)
			},
			at: 4100 * ms, wakeAt: 4100*ms + watchEndBackoff*2/10, expires: 7 * s, state: Aging,
		},
		"watch silent before it ended": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 4*s)
				rejectPoll(tracker, 4100*ms, 6100*ms)
			},
			at: 6100 * ms, wakeAt: 6100*ms + watchEndBackoff*2/10, expires: 7 * s, state: Aging,
		},
	})
}

// A discovery that was down behind a proxy may have recovered for a moment and had a change that it could not send. A
// poll that is reset instead of rejected, or that stays open while another one is rejected, shows this. After that, the
// next rejection does not renew the lease.
func TestRecoveryBetweenOutagesPreventsRenewal(t *testing.T) {
	checkHistories(t, map[string]history{
		"poll reset": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s)
				tracker.StreamOpened(5500*ms, 0)
				tracker.Connected(3)
				tracker.StreamFailed(3)
				tracker.StreamEnded(3, 6*s)
				rejectPoll(tracker, 6*s, 8*s)
			},
			at: 8 * s, wakeAt: 8*s + watchEndBackoff*8/10, expires: 9 * s, state: Aging,
		},
		"earlier poll still waiting": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s)
				tracker.StreamOpened(5500*ms, 0)
				tracker.Connected(3)
				rejectPoll(tracker, 6*s, 8*s)
			},
			at: 8 * s, wakeAt: 8*s + watchEndBackoff*4/10, expires: 9 * s, state: Aging,
		},
		"later poll still waiting": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s)
				tracker.StreamOpened(5500*ms, 0)
				tracker.Connected(3)
				tracker.Connected(tracker.StreamOpened(7*s, 0))
				tracker.PollRejected(3, 7600*ms)
				tracker.StreamEnded(3, 7600*ms)
			},
			at: 8 * s, wakeAt: 9500 * ms, expires: 11500 * ms, state: Aging,
		},
	})
}

// neverHeld is the end of the lease of a list that a process was given at 0 s and that an outage must not extend.
const neverHeld = time.Duration(1)

// The list of a new process has an unknown age, and no lease before discovery sends a list, whether polls are rejected or
// connections are refused: a server may have begun to drain long before the process started.
func TestNewProcessDoesNotTreatRejectionAsOutage(t *testing.T) {
	checkHistories(t, map[string]history{
		"late rejections": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				rejectPoll(tracker, 100*ms, 2100*ms)
				rejectPoll(tracker, 2200*ms, 4200*ms)
			},
			at: 4200 * ms, wakeAt: 4200*ms + watchEndBackoff*4/10, expires: 0, state: Expired,
		},
		"discovery refuses connections": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				pollUnreachable(tracker, 100*ms, 2*s)
			},
			at: 4 * s, wakeAt: 0, expires: neverHeld, state: Expired,
		},
		"late rejections after the process had a watch": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				openWatch(tracker, 100*ms, 200*ms)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 3*s, 5100*ms)
			},
			at: 5100 * ms, wakeAt: 5100*ms + watchEndBackoff*2/10, expires: 9 * s, state: Aging,
		},
		"list handed over by another process": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				tracker.Inherit(0, s, WatchEvidence)
				rejectPoll(tracker, 100*ms, 2100*ms)
			},
			at: 2100 * ms, wakeAt: 2100*ms + watchEndBackoff*2/10, expires: 5 * s, state: Aging,
		},
	})
}

// What was known about discovery applies to its previous address. When the configuration names another address, the node
// counts as notified 4 s later of what that discovery has, whatever the state of the previous one.
func TestAddressChangeDiscardsOutage(t *testing.T) {
	checkHistories(t, map[string]history{
		"down behind a proxy": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 3*s, 4100*ms)
				tracker.AddressChanged(4200 * ms)
				tracker.Connected(tracker.StreamOpened(4200*ms, 0))
			},
			at: 4500 * ms, wakeAt: 6700 * ms, expires: 8200 * ms, state: Aging,
		},
		"silent until the list expired": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.AdvanceLease(17 * s)
				tracker.AddressChanged(18 * s)
				tracker.Connected(tracker.StreamOpened(18*s, 0))
			},
			at: 18 * s, wakeAt: 20500 * ms, expires: 7 * s, state: Expired,
		},
	})
}

// A discovery that rejects polls after a wait is not silent: the node must not treat it as unresponsive and serve again
// on a list that has expired.
func TestRepeatedLateRejectionsDoNotRenewExpiredLease(t *testing.T) {
	tracker := &Tracker{Options: polled}
	tracker.HoldBootstrapList(0)
	for at := s; at < 14*s; at += 2500 * ms {
		rejectPoll(tracker, at, at+2*s)
		tracker.AdvanceLease(at + 2*s)
	}
	if got := tracker.AdvanceLease(14 * s); got.State != Expired {
		t.Errorf("the expired list is %v again, until %v", got.State, got.Expires)
	}
}
