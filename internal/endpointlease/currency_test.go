package endpointlease

import (
	"testing"
	"time"
)

// refusePoll makes a poll that is refused at once.
func refusePoll(tracker *Tracker, at time.Duration) {
	id := tracker.StreamOpened(at, 0)
	tracker.Unreachable(id, at)
	tracker.StreamEnded(id, at)
}

// An outage must not extend the lease of a list that may have missed a change before the outage. Guards against a lease that
// took the absence of a sign of such a change for proof that there was none.
func TestOutageDoesNotExtendTheLeaseOfADoubtfulList(t *testing.T) {
	for name, c := range map[string]struct {
		events func(tracker *Tracker)
		doubt  Doubt
	}{
		"nothing before the outage": {func(tracker *Tracker) { watchUntil(tracker, s) }, NoDoubt},
		"list never confirmed":      {func(tracker *Tracker) { tracker.HoldBootstrapList(s) }, NeverConfirmed},
		"watch silent before its end": {func(tracker *Tracker) {
			openWatch(tracker, 0, 0)
			tracker.StreamEnded(1, 3*s)
		}, Unobserved},
		"watch silent and open": {func(tracker *Tracker) { openWatch(tracker, 0, 0) }, Unobserved},
		"list begun before the watch ended": {func(tracker *Tracker) {
			openWatch(tracker, 0, 0)
			tracker.ListBegan(1, s)
			tracker.StreamEnded(1, s)
		}, Reached},
		"unreadable list": {func(tracker *Tracker) {
			openWatch(tracker, 0, 0)
			tracker.MalformedList(1, s)
			tracker.StreamEnded(1, s)
		}, Reached},
		"probe connected after the watch ended": {func(tracker *Tracker) {
			watchUntil(tracker, s)
			probeAt(tracker, s, ProbeConnected)
		}, Reached},
		"watch of an earlier address": {func(tracker *Tracker) {
			openWatch(tracker, 0, 0)
			tracker.AddressChanged(500 * ms)
			tracker.StreamEnded(1, s)
		}, NewAddress},
		"return between two probes": {func(tracker *Tracker) {
			watchUntil(tracker, 0)
			pollUnreachable(tracker, 0, 900*ms)
			probeAt(tracker, s, ProbeConnected)
		}, Reached},
		"discovery not observed for a while": {func(tracker *Tracker) {
			watchUntil(tracker, 0)
			pollUnreachable(tracker, 0, 400*ms)
		}, Unobserved},
		"address change during the outage": {func(tracker *Tracker) {
			watchUntil(tracker, 0)
			pollUnreachable(tracker, 0, 900*ms)
			tracker.AddressChanged(s)
		}, NoDoubt},
		"inherited without evidence":     {func(tracker *Tracker) { tracker.Inherit(s, 0, NoEvidence) }, Unobserved},
		"inherited with a watch":         {func(tracker *Tracker) { tracker.Inherit(s, 0, WatchEvidence) }, NoDoubt},
		"inherited in a provable outage": {func(tracker *Tracker) { tracker.Inherit(s, 2*s, UnreachableEvidence) }, NoDoubt},
		"inherited, then not observed":   {func(tracker *Tracker) { tracker.Inherit(0, 0, WatchEvidence) }, Unobserved},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{Options: polled}
			c.events(tracker)
			before := tracker.Expires()
			refusePoll(tracker, 1100*ms)
			if tracker.Doubt() != c.doubt {
				t.Errorf("doubt %v, want %v", tracker.Doubt(), c.doubt)
			}
			want := 1100*ms + NotificationDeadline
			if c.doubt != NoDoubt {
				want = max(before, neverHeld)
			}
			if got := tracker.Expires(); got != want {
				t.Errorf("the lease ends at %v, want %v", got, want)
			}
		})
	}
}

// A poll to an address that the configuration no longer names is refused because discovery has moved. It once renewed the
// lease beyond the deadline after an address change.
func TestRefusalAtAnEarlierAddressIsNoOutage(t *testing.T) {
	tracker := &Tracker{Options: polled}
	openWatch(tracker, 0, 0)
	id := tracker.StreamOpened(s, 0)
	tracker.AddressChanged(1100 * ms)
	tracker.Unreachable(id, 1200*ms)
	tracker.StreamEnded(id, 1200*ms)
	if expires := tracker.Expires(); tracker.Unavailable() || expires != 1100*ms+NotificationDeadlineAfterChange {
		t.Errorf("unavailable %v, the lease ends at %v", tracker.Unavailable(), expires)
	}
}

// The evidence that is handed over must be no more than what the process has, and no less.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		events func(tracker *Tracker)
		want   Evidence
	}{
		"new process":                 {func(tracker *Tracker) { tracker.HoldBootstrapList(0) }, NoEvidence},
		"watch with heartbeats":       {func(tracker *Tracker) { openWatch(tracker, 0, s) }, WatchEvidence},
		"silent watch":                {func(tracker *Tracker) { openWatch(tracker, -2*s, -2*s) }, NoEvidence},
		"list that arrives":           {func(tracker *Tracker) { openWatch(tracker, 0, s); tracker.ListBegan(1, s) }, NoEvidence},
		"outage after a watch":        {func(tracker *Tracker) { watchUntil(tracker, s); refusePoll(tracker, s) }, UnreachableEvidence},
		"outage after a silent watch": {func(tracker *Tracker) { openWatch(tracker, -2*s, -2*s); refusePoll(tracker, s) }, NoEvidence},
		"outage in a new process":     {func(tracker *Tracker) { tracker.HoldBootstrapList(0); refusePoll(tracker, s) }, NoEvidence},
		"return of discovery": {func(tracker *Tracker) {
			watchUntil(tracker, s)
			refusePoll(tracker, s)
			probeAt(tracker, s, ProbeConnected)
		}, NoEvidence},
		"late rejection after a watch": {func(tracker *Tracker) { watchUntil(tracker, 0); rejectPoll(tracker, 0, s+100*ms) }, ProxyEvidence},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{Options: polled}
			c.events(tracker)
			if got := tracker.Evidence(s + 200*ms); got != c.want {
				t.Errorf("evidence %q, want %q", got, c.want)
			}
		})
	}
}

// Probes follow each other closely in an outage.
func TestProbesInAnOutage(t *testing.T) {
	tracker := &Tracker{Options: Options{MaxPollInterval: 10 * s, Pollers: 100}}
	watchUntil(tracker, s)
	for at := s; at < 5*s; {
		switch decision := tracker.Step(at); decision.Action {
		case OpenStream:
			refusePoll(tracker, at)
		case Probe:
			probeAt(tracker, at, ProbeUnreachable)
		default:
			if decision.WakeAt > at+probeInterval {
				t.Fatalf("at %v the next step is due at %v", at, decision.WakeAt)
			}
			at = decision.WakeAt
		}
	}
	if probeAt(tracker, 5*s, ProbeConnected); tracker.Unavailable() {
		t.Error("discovery is still unavailable")
	}
}

// All nodes find out at the same moment that discovery is back. Those that reject requests poll first, and none polls together
// with all others: a discovery that handles polls one after another served the first list of a node 10 s later than it could.
func TestFirstPollsAfterAnOutageAreSpread(t *testing.T) {
	for _, c := range []struct {
		expired          bool
		pollers          int
		earliest, latest time.Duration
	}{
		{true, 1, 0, 5 * ms},
		{true, 100, 0, 500 * ms},
		{true, 900, 0, maxBackoffUnavailable},
		{false, 1, 0, 5 * ms},
		{false, 100, maxBackoffUnavailable / 2, maxBackoffUnavailable},
	} {
		for jitter, want := range map[float64]time.Duration{0: c.earliest, 1: c.latest} {
			tracker := &Tracker{Options: Options{MaxPollInterval: 10 * s, Pollers: c.pollers}}
			if tracker.HoldBootstrapList(0); !c.expired {
				watchUntil(tracker, 0)
			}
			refusePoll(tracker, 0)
			tracker.ProbeBegan(s / 10)
			tracker.ProbeEnded(s/10, ProbeConnected, jitter)
			if got := tracker.nextPollAt - s/10; got != want {
				t.Errorf("%+v, jitter %v: the first poll is %v after the return", c, jitter, got)
			}
		}
	}
}
