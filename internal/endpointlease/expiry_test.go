package endpointlease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Nodes served again on lists that had expired, and sent to draining servers: after a period of silence, and after a poll
// that was rejected late. Whatever events happen, and in any order, only a list or a heartbeat from discovery may make an
// expired list usable again. There are two exceptions. A connection attempt that began within the lease and failed may do
// so, because a discovery that cannot be reached notifies no node. And where lists are polled and no stream is open, the
// next poll restarts MaxPollInterval.
func TestOnlyDiscoveryRenewsExpiredLease(t *testing.T) {
	const histories, events = 20_000, 40
	for seed := range uint64(histories) {
		h := newRandomHistory(seed)
		for range events {
			h.now += time.Duration(h.rng.IntN(3000)) * ms
			h.checkLease(t, seed, "time passes", false)
			event, renewalAllowed := h.applyRandomEvent()
			h.checkLease(t, seed, event, renewalAllowed)
		}
	}
}

// checkLease carries out what is due after an event, and fails the test if an expired list became usable without
// permission.
func (h *randomHistory) checkLease(t *testing.T, seed uint64, event string, renewalAllowed bool) {
	renewalAllowed = renewalAllowed || !h.tracker.Pushed && len(h.tracker.streams) == 0
	h.applyDecisions()
	state := h.tracker.State(h.now)
	if h.expired && state != Expired && !renewalAllowed {
		t.Fatalf("seed %d, %+v: after the event %q at %v the expired list is %v again, until %v", seed, h.tracker.Options, event,
			h.now, state, h.tracker.Expires())
	}
	h.expired = state == Expired
}

// randomHistory reports random events to a Tracker and carries out its decisions.
type randomHistory struct {
	rng     *rand.Rand
	tracker *Tracker
	now     time.Duration
	expired bool // whether the list was expired after the last event
}

// newRandomHistory starts in the state of a new process.
func newRandomHistory(seed uint64) *randomHistory {
	rng := rand.New(rand.NewPCG(seed, 0))
	h := &randomHistory{rng: rng, tracker: &Tracker{Options: []Options{polled, rarelyPolled, pushed}[rng.IntN(3)]}}
	h.tracker.HoldBootstrapList(0)
	h.tracker.RequestPoll()
	h.applyDecisions()
	return h
}

// applyDecisions carries out the Tracker's decisions until none is due.
func (h *randomHistory) applyDecisions() {
	for {
		switch decision := h.tracker.Step(h.now); decision.Action {
		case NoAction:
			h.tracker.AdvanceLease(h.now)
			return
		case OpenStream:
			h.tracker.StreamOpened(h.now, h.rng.Float64())
		case Probe:
			h.tracker.ProbeBegan(h.now)
		case AbortStalledStream:
			h.tracker.MalformedList(decision.StreamID, h.now)
			h.tracker.StreamEnded(decision.StreamID, h.now)
		}
	}
}

// applyRandomEvent reports a random event of an open stream, and returns whether the event may make an expired list
// usable.
func (h *randomHistory) applyRandomEvent() (event string, renewalAllowed bool) {
	t, now := h.tracker, h.now
	if h.rng.IntN(20) == 0 {
		t.AddressChanged(now)
		return "address change", false
	}
	if t.probe.open && h.rng.IntN(2) == 0 {
		return h.endProbe()
	}
	if len(t.streams) == 0 {
		return "nothing", false
	}
	s := t.streams[h.rng.IntN(len(t.streams))]
	event = h.drawEvent(s)
	switch event {
	case "connection":
		t.Connected(s.id)
	case "list begins":
		t.ListBegan(s.id, now)
	case "heartbeat":
		t.Activity(s.id, now)
		return event, true
	case "list":
		t.ListComplete(s.id, now)
		return event, true
	case "rejection":
		t.PollRejected(s.id, now)
		t.StreamEnded(s.id, now)
	case "unreachable":
		renewalAllowed = t.Pushed || s.openedAt < t.Expires() // an agent counts as down from the end of its watch
		t.Unreachable(s.id, now)
		t.StreamEnded(s.id, now)
	case "reset":
		t.StreamFailed(s.id)
		t.StreamEnded(s.id, now)
	}
	return event, renewalAllowed
}

// endProbe reports a random result of the open probe.
func (h *randomHistory) endProbe() (event string, renewalAllowed bool) {
	t := h.tracker
	renewalAllowed = t.Pushed || t.probe.began < t.Expires()
	result := ProbeResult(h.rng.IntN(3))
	t.ProbeEnded(h.now, result, h.rng.Float64())
	return []string{"inconclusive probe", "probe connected", "probe unreachable"}[result], renewalAllowed && result == ProbeUnreachable
}

// drawEvent draws an event that is possible in the state of a stream.
func (h *randomHistory) drawEvent(s stream) string {
	events := []string{"connection", "unreachable"}
	switch {
	case s.isWatch():
		events = []string{"reset", "heartbeat", "list"}
	case s.connected:
		events = []string{"reset", "rejection", "rejection", "list begins", "list"}
	}
	return events[h.rng.IntN(len(events))]
}
