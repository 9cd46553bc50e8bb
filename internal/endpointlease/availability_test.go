package endpointlease

import "testing"

// A discovery that is down can notify nobody: each poll that finds it so renews the lease, whether it refuses connections or a
// proxy before it rejects polls after a wait.
func TestUnavailableDiscoveryRenewsTheLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"an unreachable discovery": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(s, 0)
				tracker.Unreachable(1)
				tracker.StreamEnded(1, s)
			},
			at: 6 * s, wakeAt: 0, expires: 7 * s, state: Aging,
		},
		"unreachable for a minute": {
			options: polled,
			events:  func(tracker *Tracker) { pollUnreachable(tracker, s, 60*s) },
			at:      60 * s, wakeAt: 0, expires: 65 * s, state: Aging,
		},
		"unreachable, and polls have stopped": {
			options: polled,
			events:  func(tracker *Tracker) { pollUnreachable(tracker, s, 60*s) },
			at:      65 * s, wakeAt: 0, expires: 65 * s, state: Expired,
		},
		"reachable again": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(s, 0)
				tracker.Unreachable(1)
				tracker.StreamEnded(1, 40*s)
				openWatch(tracker, 50*s, 51*s)
			},
			at: 52 * s, wakeAt: 53*s + 300*ms, expires: 57 * s, state: Fresh,
		},
		"down behind a proxy: late rejections after the watch ended": {
			options: polled,
			events:  func(tracker *Tracker) { endWatchThenRejectLate(tracker, 0, 3*s, 6*s) },
			at:      7 * s, wakeAt: 8100*ms + watchEndBackoff*4/10, expires: 12 * s, state: Aging,
		},
		"an immediate rejection after late ones": {
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

// A discovery that is slow or overloaded may have a change that the node does not know: nothing renews the lease but a list or
// a heartbeat. Renewed, the node would send to endpoints that drain, as in the incident of 2 December 2026.
func TestSlowDiscoveryDoesNotRenewLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"a poll that is reset": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0)
				tracker.StreamOpened(3*s, 0)
				tracker.StreamFailed(2)
				tracker.StreamEnded(2, 5*s)
			},
			at: 5 * s, wakeAt: 5*s + watchEndBackoff*2/10, expires: 7 * s, state: Aging,
		},
		"polls that are reset renew no lease": {
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
		"immediate rejections are of an overloaded discovery": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s, 6*s)
				rejectImmediately(tracker, 9*s)
			},
			at: 11 * s, wakeAt: 0, expires: 12 * s, state: Aging,
		},
		"late rejections beside a silent watch renew no lease": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				for at := 4 * s; at < 7*s; at += s {
					rejectPoll(tracker, at, at+900*ms+200*ms)
				}
			},
			at: 8 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"late rejections after an address change renew no lease": {
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
				tracker.Unreachable(3)
				tracker.StreamEnded(3, 7500*ms)
			},
			at: 9 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"slow, then unreachable: the lease keeps its end": {
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

// A discovery that rejected polls after a wait, and is no proof of an outage, was reached and may have had a change. Nodes forgot
// that: as it refused connections later the lease was renewed, in turn with further rejections without an end.
func TestRefusalAfterLateRejectionDoesNotRenewLease(t *testing.T) {
	checkHistories(t, map[string]history{
		"in a new process": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				rejectPoll(tracker, 100*ms, 2100*ms)
				pollUnreachable(tracker, 2200*ms, 9*s)
			},
			at: 9 * s, wakeAt: 0, expires: 3 * s, state: Expired,
		},
		"beside a silent watch": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				rejectPoll(tracker, 3400*ms, 5400*ms)
				pollUnreachable(tracker, 5500*ms, 9*s)
			},
			at: 9 * s, wakeAt: 0, expires: 7 * s, state: Expired,
		},
		"refused before and after": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				pollUnreachable(tracker, 100*ms, s)
				rejectPoll(tracker, 1500*ms, 3500*ms)
				pollUnreachable(tracker, 4*s, 9*s)
			},
			at: 9 * s, wakeAt: 0, expires: 6100 * ms, state: Expired,
		},
	})
}

// A late rejection is no proof of an outage that a node may serve through: it brings no expired list back, and shows nothing
// where discovery closed the watch, or where that had fallen silent before it ended: discovery may have had a change then.
func TestLateRejectionDoesNotRenewLeaseWithoutOutage(t *testing.T) {
	checkHistories(t, map[string]history{
		"pushed, after the grace of the watch": {
			options: pushed,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 2150*ms, 4150*ms)
			},
			at: 4150 * ms, wakeAt: 4150*ms + watchEndBackoff*2/10, expires: 2*s + pushedGracePeriod, state: Expired,
		},
		"of a poll that was begun within the lease": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 6500*ms, 8500*ms)
			},
			at: 8500 * ms, wakeAt: 8500*ms + watchEndBackoff*2/10, expires: 7 * s, state: Expired,
		},
		"discovery had closed the watch": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.StreamClosed(1)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 2100*ms, 4100*ms)
			},
			at: 4100 * ms, wakeAt: 4100*ms + watchEndBackoff*2/10, expires: 7 * s, state: Aging,
		},
		"the watch had fallen silent": {
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

// A discovery that was down behind a proxy may have been back for a moment, with a change that it could not send: what comes
// instead of a rejection, or stays open beside one, shows it. The next rejection renews no lease then.
func TestRecoveryBetweenOutagesPreventsRenewal(t *testing.T) {
	checkHistories(t, map[string]history{
		"a poll is reset": {
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
		"a poll that was opened before still waits": {
			options: polled,
			events: func(tracker *Tracker) {
				endWatchThenRejectLate(tracker, 0, 3*s)
				tracker.StreamOpened(5500*ms, 0)
				tracker.Connected(3)
				rejectPoll(tracker, 6*s, 8*s)
			},
			at: 8 * s, wakeAt: 8*s + watchEndBackoff*4/10, expires: 9 * s, state: Aging,
		},
		"a poll that was opened later waits": {
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

// A new process has no watch that ended: a poll that is rejected after a wait shows no outage there, for a discovery with more
// pollers than it can serve does the same. Its list, of unknown age, counts as confirmed for less than one from discovery.
func TestNewProcessDoesNotTreatRejectionAsOutage(t *testing.T) {
	checkHistories(t, map[string]history{
		"late rejections": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				rejectPoll(tracker, 100*ms, 2100*ms)
				rejectPoll(tracker, 2200*ms, 4200*ms)
			},
			at: 4200 * ms, wakeAt: 4200*ms + watchEndBackoff*4/10, expires: 3 * s, state: Expired,
		},
		"discovery refuses connections": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				pollUnreachable(tracker, 100*ms, 2*s)
			},
			at: 4 * s, wakeAt: 0, expires: 6100 * ms, state: Aging,
		},
		"late rejections after a watch of its own": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				openWatch(tracker, 100*ms, 200*ms)
				tracker.StreamEnded(1, 2*s)
				rejectPoll(tracker, 3*s, 5100*ms)
			},
			at: 5100 * ms, wakeAt: 5100*ms + watchEndBackoff*2/10, expires: 9 * s, state: Aging,
		},
		"a list that another process handed over": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.HoldBootstrapList(0)
				tracker.InheritAge(0, s)
				rejectPoll(tracker, 100*ms, 2100*ms)
			},
			at: 2100 * ms, wakeAt: 2100*ms + watchEndBackoff*2/10, expires: 5 * s, state: Aging,
		},
	})
}

// What was known of discovery is of the address that it had: where the configuration names another one, the node counts as
// notified of what that has 4 s later, whatever became of the address before.
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
		"silent for long: the list had expired": {
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

// A discovery that rejects polls after a wait is not silent: the node must not count it as unresponsive, and serve again on a list
// that has expired.
func TestRepeatedLateRejectionsDoNotRenewExpiredLease(t *testing.T) {
	tracker := &Tracker{Options: polled}
	tracker.HoldBootstrapList(0)
	for at := s; at < 14*s; at += 2500 * ms {
		rejectPoll(tracker, at, at+2*s)
		tracker.AdvanceLease(at + 2*s)
	}
	if got := tracker.AdvanceLease(14 * s); got.State != Expired {
		t.Errorf("the list is %v again, until %v", got.State, got.Expires)
	}
}
