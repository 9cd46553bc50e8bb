package endpointlease

import (
	"testing"
	"time"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

// Each row is a history of events on the first streams that are opened, and what the Tracker then says: when Step is due
// again, when the lease expires, and the state of the list.
func TestLeaseAndScheduleAfterEvents(t *testing.T) {
	polled, pushed := Options{MaxPollInterval: 10 * s}, Options{Pushed: true, MaxPollInterval: 10 * s}
	rarelyPolled := Options{MaxPollInterval: 60 * s}
	for name, row := range map[string]struct {
		options Options
		history func(tracker *Tracker)
		at      time.Duration // the time of what follows
		wakeAt  time.Duration // 0: there is something to do
		expires time.Duration
		state   State
	}{
		"a new process has polled nothing":               {polled, func(tracker *Tracker) {}, s, never, 6 * s, Aging},
		"a poll without an answer":                       {polled, func(tracker *Tracker) { tracker.StreamOpened(s, 0) }, s + parallelDelayAfterEnd - 1, s + parallelDelayAfterEnd, 6 * s, Aging},
		"a poll without an answer has another beside it": {polled, func(tracker *Tracker) { tracker.StreamOpened(s, 0) }, s + parallelDelayAfterEnd, 0, 6 * s, Aging},
		"the parallel poll is later by the jitter":       {polled, func(tracker *Tracker) { tracker.StreamOpened(s, 1) }, s + parallelDelayAfterEnd, s + parallelDelayAfterEnd*9/8, 6 * s, Aging},
		"the parallel poll is sooner after a silent watch": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.Step(4 * s)
			tracker.StreamOpened(4*s, 0)
		}, 4 * s, 4*s + parallelDelayAfterSilence, 7 * s, Aging},
		"a watch with heartbeats": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.Activity(1, 3*s)
		}, 5 * s, 5*s + 300*ms, 9 * s, Fresh},
		"a watch that missed a heartbeat":              {polled, func(tracker *Tracker) { tracker.StreamOpened(0, 1); tracker.ListComplete(1, s) }, 3*s + 700*ms, 3*s + 800*ms, 7 * s, Aging},
		"a watch silent for the notification deadline": {polled, func(tracker *Tracker) { tracker.StreamOpened(0, 0); tracker.ListComplete(1, s) }, 7 * s, 0, 7 * s, Expired},
		"the head of an answer and no list": {polled, func(tracker *Tracker) { tracker.StreamOpened(0, 0); tracker.Activity(1, 500*ms) }, 700 * ms, parallelDelayAfterEnd, 6 * s,
			Aging},
		"a list that begins and is never complete": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 1)
			tracker.ListBegan(1, s)
			for at := 2 * s; at <= 5*s; at += s {
				tracker.Activity(1, at)
			}
		}, 5 * s, s + ListTransferTimeout, 6 * s, Aging},
		"a poll that failed": {rarelyPolled, func(tracker *Tracker) { tracker.StreamOpened(s, 0); tracker.StreamEnded(1, 2*s) }, 2 * s, 2*s + firstBackoff/5, 6 * s, Aging},
		"a poll that failed after a list": {rarelyPolled, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.ListComplete(1, s)
			tracker.StreamEnded(1, 2*s)
			tracker.StreamOpened(3*s, 0)
			tracker.StreamEnded(2, 3*s)
		}, 5 * s, 0, 7 * s, Aging},
		"a watch that ended": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.ListComplete(1, 2*s)
			tracker.StreamEnded(1, 3*s)
		}, 3 * s, 3*s + firstBackoff/10, 8 * s, Aging},
		"a shorter poll interval": {Options{MaxPollInterval: 2 * s}, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.ListComplete(1, 2*s)
			tracker.StreamEnded(1, 3*s)
		}, 3 * s, 3*s + firstBackoff/10, 3 * s, Expired},
		"a poll requested by the module":      {polled, func(tracker *Tracker) { tracker.RequestPoll() }, s, 0, 6 * s, Aging},
		"a poll requested while one is open":  {polled, func(tracker *Tracker) { tracker.StreamOpened(s, 0); tracker.RequestPoll() }, s, s + parallelDelayAfterEnd, 6 * s, Aging},
		"an unreachable discovery":            {polled, func(tracker *Tracker) { tracker.StreamOpened(s, 0); tracker.Unreachable(1); tracker.StreamEnded(1, s) }, 6 * s, 0, 7 * s, Aging},
		"unreachable for a minute":            {polled, func(tracker *Tracker) { pollUnreachable(tracker, s, 60*s) }, 60 * s, 0, 65 * s, Aging},
		"unreachable, and polls have stopped": {polled, func(tracker *Tracker) { pollUnreachable(tracker, s, 60*s) }, 65 * s, 0, 65 * s, Expired},
		"reachable again": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.Unreachable(1)
			tracker.StreamEnded(1, 40*s)
			tracker.StreamOpened(50*s, 0)
			tracker.ListComplete(2, 51*s)
		}, 52 * s, 53*s + 300*ms, 57 * s, Fresh},
		"an address change": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.DiscoveryChanged(2 * s)
		}, 6 * s, 0, 6 * s, Expired},
		"an address change, and the list of the new address": {polled, func(tracker *Tracker) {
			tracker.DiscoveryChanged(2 * s)
			tracker.StreamOpened(2*s, 0)
			tracker.ListComplete(1, 3*s)
		}, 4 * s, 5*s + 300*ms, 9 * s, Fresh},
		"pushed, no watch yet": {pushed, func(tracker *Tracker) { tracker.StreamOpened(s, 0) }, s, s + parallelDelayAfterEnd, pushedGrace, Expired},
		"pushed, a watch":      {pushed, func(tracker *Tracker) { tracker.StreamOpened(s, 0); tracker.ListComplete(1, s) }, 2 * s, s + heartbeatTimeout, 7 * s, Fresh},
		"pushed, the grace after a watch is over": {pushed, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.ListComplete(1, s)
			tracker.StreamEnded(1, 2*s)
		}, 2*s + pushedGrace, 0, 2*s + pushedGrace, Expired},
		"pushed, a watch that ended": {pushed, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.ListComplete(1, s)
			tracker.StreamEnded(1, 2*s)
		}, 2 * s, 2*s + firstBackoff/10, 2*s + pushedGrace, Aging},
		"pushed, an unreachable agent": {pushed, func(tracker *Tracker) { tracker.StreamOpened(s, 0); tracker.Unreachable(1); tracker.StreamEnded(1, s) }, s, s + maxBackoffPushedUnavailable/2, 7 * s, Aging},
		"pushed, an address change": {pushed, func(tracker *Tracker) {
			tracker.StreamOpened(s, 0)
			tracker.ListComplete(1, s)
			tracker.Activity(1, 4*s)
			tracker.DiscoveryChanged(5 * s)
		}, 8 * s, 0, 9 * s, Aging},
		"down behind a proxy: late rejections after the watch ended": {polled, func(tracker *Tracker) { watchEndsThenRejectedLate(tracker, 0, 3*s, 6*s) }, 7 * s, 8100*ms + firstBackoff*4/10, 12 * s, Aging},
		"an immediate rejection after late ones": {polled, func(tracker *Tracker) {
			watchEndsThenRejectedLate(tracker, 0, 3*s, 6*s)
			tracker.StreamOpened(9*s, 0)
			tracker.PollRejected(4, 9*s+ms)
			tracker.StreamEnded(4, 9*s+ms)
		}, 11 * s, 0, 12 * s, Aging},
		"a poll that is reset": {polled, func(tracker *Tracker) {
			watchEndsThenRejectedLate(tracker, 0)
			tracker.StreamOpened(3*s, 0)
			tracker.StreamFailed(2)
			tracker.StreamEnded(2, 5*s)
		}, 5 * s, 5*s + firstBackoff*2/10, 7 * s, Aging},
		"polls that are reset renew no lease": {polled, func(tracker *Tracker) {
			watchEndsThenRejectedLate(tracker, 0)
			tracker.StreamOpened(3*s, 0)
			tracker.StreamFailed(2)
			tracker.StreamEnded(2, 5*s)
			tracker.StreamOpened(5*s, 0)
			tracker.StreamFailed(3)
			tracker.StreamEnded(3, 7*s)
		}, 8 * s, 0, 7 * s, Expired},
		"immediate rejections are of an overloaded discovery": {polled, func(tracker *Tracker) { watchEndsThenRejectedLate(tracker, 0, 3*s, 6*s); rejectAtOnce(tracker, 9*s) }, 11 * s, 0, 12 * s, Aging},
		"late rejections beside a silent watch renew no lease": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			for at := 4 * s; at < 7*s; at += s {
				rejectPoll(tracker, at, at+900*ms+200*ms)
			}
		}, 8 * s, 0, 7 * s, Expired},
		"late rejections after an address change renew no lease": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.DiscoveryChanged(2 * s)
			tracker.StreamEnded(1, 3*s)
			rejectPoll(tracker, 3*s, 5*s)
			rejectPoll(tracker, 5*s, 7*s)
		}, 8 * s, 0, 6 * s, Expired},
		"unreachable only after the lease expired": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.StreamEnded(1, 2*s)
			rejectAtOnce(tracker, 3*s)
			tracker.StreamOpened(7500*ms, 0)
			tracker.Unreachable(3)
			tracker.StreamEnded(3, 7500*ms)
		}, 9 * s, 0, 7 * s, Expired},
		"pushed, unreachable as the watch ends": {pushed, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.StreamEnded(1, 2*s)
			tracker.StreamOpened(2150*ms, 0)
			tracker.Unreachable(2)
			tracker.StreamEnded(2, 2150*ms)
		}, 3 * s, 0, 8150 * ms, Aging},
		"slow, then unreachable: the lease keeps its end": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.StreamEnded(1, 2*s)
			tracker.StreamOpened(2100*ms, 0)
			tracker.Connected(2)
			tracker.StreamFailed(2)
			tracker.StreamEnded(2, 5*s)
			pollUnreachable(tracker, 5*s, 9*s)
		}, 7 * s, 7120 * ms, 7 * s, Expired},
		"a list inherited 5 s old":  {polled, func(tracker *Tracker) { tracker.InheritAge(0, 5*s); tracker.StreamOpened(0, 0) }, s, parallelDelayAfterEnd, s, Expired},
		"pushed, an inherited list": {pushed, func(tracker *Tracker) { tracker.InheritAge(0, 0); tracker.StreamOpened(0, 0) }, 50 * ms, parallelDelayAfterEnd, pushedGrace, Aging},
		"two address changes": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.Activity(1, 2*s)
			tracker.DiscoveryChanged(2 * s)
			tracker.DiscoveryChanged(4 * s)
		}, 5 * s, 0, 6 * s, Aging},
		"a list from the address before the last": {polled, func(tracker *Tracker) {
			tracker.DiscoveryChanged(2 * s)
			tracker.StreamOpened(2*s, 0)
			tracker.DiscoveryChanged(3 * s)
			tracker.ListComplete(1, 4*s)
		}, 5 * s, 0, 7 * s, Aging},
		"a heartbeat from an earlier address": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.DiscoveryChanged(2 * s)
			tracker.Activity(1, 5*s)
		}, 5 * s, 0, 6 * s, Aging},
		"a second malformed list":                       {polled, func(tracker *Tracker) { bringMalformed(tracker, 2, s) }, s, s + 2*firstBackoff, 6 * s, Aging},
		"a second malformed list, and a poll requested": {polled, func(tracker *Tracker) { bringMalformed(tracker, 2, s); tracker.RequestPoll() }, s, s + 2*firstBackoff, 6 * s, Aging},
		"a complete list without a watch":               {polled, func(tracker *Tracker) { tracker.StreamOpened(s, 0); tracker.PollAnswered(1, 2*s) }, 2 * s, 0, 8 * s, Aging},
		"a silent watch that is heard again": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.StreamOpened(4*s, 0)
			tracker.Activity(1, 5*s)
			tracker.Step(5 * s)
		}, 5 * s, 5*s + heartbeatTimeout, 11 * s, Fresh},
		"the watch that replaced a silent one": {polled, func(tracker *Tracker) {
			tracker.StreamOpened(0, 0)
			tracker.ListComplete(1, s)
			tracker.StreamOpened(4*s, 0)
			tracker.ListComplete(2, 5*s)
			tracker.Step(5 * s)
		}, 5 * s, 5*s + heartbeatTimeout, 11 * s, Fresh},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{Options: row.options}
			row.history(tracker)
			decision := tracker.Step(row.at)
			if due := row.wakeAt == 0; due != (decision.Action != NoAction) || decision.WakeAt != row.wakeAt {
				t.Errorf("decides %+v, want to wake at %v", decision, row.wakeAt)
			}
			if expires, state := tracker.Expires(), tracker.State(row.at); expires != row.expires || state != row.state {
				t.Errorf("expires at %v, is %v; want %v, %v", expires, state, row.expires, row.state)
			}
		})
	}
}

// watchEndsThenRejectedLate opens a watch that ends, and after it polls that are rejected 2.1 s after they began.
func watchEndsThenRejectedLate(tracker *Tracker, at time.Duration, polls ...time.Duration) {
	tracker.StreamOpened(at, 0)
	tracker.ListComplete(1, s)
	tracker.StreamEnded(1, 2*s)
	for _, at := range polls {
		rejectPoll(tracker, at, at+2100*ms)
	}
}

// pollUnreachable polls every 2 s a discovery that refuses connections.
func pollUnreachable(tracker *Tracker, from, until time.Duration) {
	for at := from; at < until; at += 2 * s {
		id := tracker.StreamOpened(at, 0)
		tracker.Unreachable(id)
		tracker.StreamEnded(id, at)
	}
}

// rejectPoll begins a poll that is rejected at a time.
func rejectPoll(tracker *Tracker, from, at time.Duration) {
	id := tracker.StreamOpened(from, 0)
	tracker.Connected(id)
	tracker.PollRejected(id, at)
	tracker.StreamEnded(id, at)
}

// rejectAtOnce makes a poll that is rejected immediately.
func rejectAtOnce(tracker *Tracker, at time.Duration) { rejectPoll(tracker, at, at+ms) }

// bringMalformed makes so many polls in a row whose answers can't be read.
func bringMalformed(tracker *Tracker, n int, at time.Duration) {
	for range n {
		id := tracker.StreamOpened(at, 0)
		tracker.MalformedList(id, at)
		tracker.StreamEnded(id, at)
	}
}

// runSchedule carries out what the Tracker decides until a time, and hands each poll that it opens to onPoll.
func runSchedule(tracker *Tracker, from, until time.Duration, jitter float64, onPoll func(id int, at time.Duration)) {
	for at := from; at < until; {
		switch decision := tracker.Step(at); decision.Action {
		case NoAction:
			at = decision.WakeAt
		case OpenStream:
			onPoll(tracker.StreamOpened(at, jitter), at)
		case AbortStalledStream:
			tracker.StreamEnded(decision.StreamID, at)
		}
	}
}

// A watch falls silent, and the next three polls are lost: refused, left without an answer, or with the head of an answer
// and no list. If the fourth went out too late, the lease would expire at a discovery that is healthy again. So whatever the
// jitter, it goes out with half a second left before the notification deadline, counted from the last line of the watch.
func TestFourthPollIsInTimeAfterThreeLostOnes(t *testing.T) {
	for _, options := range []Options{{MaxPollInterval: 60 * s}, {Pushed: true}} {
		for jitter := 0.0; jitter <= 1; jitter += 0.1 {
			for name, fault := range map[string]func(tracker *Tracker, id int, at time.Duration){
				"refused":   func(tracker *Tracker, id int, at time.Duration) { tracker.StreamEnded(id, at) },
				"no answer": func(*Tracker, int, time.Duration) {},
				"a head":    func(tracker *Tracker, id int, at time.Duration) { tracker.Activity(id, at) },
			} {
				tracker := &Tracker{Options: options}
				tracker.StreamOpened(0, jitter)
				tracker.ListComplete(1, s)
				var polls []time.Duration
				runSchedule(tracker, s, 20*s, jitter, func(id int, at time.Duration) {
					polls = append(polls, at)
					fault(tracker, id, at)
				})
				if len(polls) < 4 || polls[3] > s+NotificationDeadline-500*ms {
					t.Errorf("%+v, %s, jitter %v: polls at %v", options, name, jitter, polls)
				}
			}
		}
	}
}

// A discovery that is slow by nature answers no poll for many seconds. Polls that were given up early would lose the work
// that it has done for them, and many parallel polls would make it slower still. So an unanswered node polls ever more
// slowly, up to a limit, few polls are open at once, each stays open for long enough, and one answer ends the slow pace.
func TestUnansweredPollsSlowDown(t *testing.T) {
	tracker := &Tracker{Options: Options{Pushed: true}}
	open, polls, longest, openedAt := 0, []time.Duration(nil), time.Duration(0), map[int]time.Duration{}
	for at := time.Duration(0); at < 60*s; {
		switch decision := tracker.Step(at); decision.Action {
		case NoAction:
			at = decision.WakeAt
		case OpenStream:
			if open++; open > maxOpenPolls {
				t.Fatalf("%d polls are open at %v", open, at)
			}
			polls = append(polls, at)
			openedAt[tracker.StreamOpened(at, 0)] = at
		case DropStream:
			open--
			longest = max(longest, at-openedAt[decision.StreamID])
		}
	}
	if n := len(polls); polls[1]-polls[0] != parallelDelayAfterEnd || polls[n-1]-polls[n-2] != maxParallelDelay || n > 25 || longest < 10*s {
		t.Errorf("polls at %v, the longest open for %v", polls, longest)
	}
	last := tracker.StreamOpened(60*s, 0)
	tracker.StreamEnded(last, 60*s) // a rejection is an answer
	tracker.DiscoveryChanged(61 * s)
	tracker.StreamOpened(61*s, 0)
	if at := tracker.parallelPollAt(&tracker.streams[len(tracker.streams)-1]); at != 61*s+parallelDelayAfterEnd {
		t.Errorf("after an answer a poll has another beside it at %v", at)
	}
}

// One poll hangs, and those opened beside it are rejected at once. A node that did not back off between them made 640
// polls a second. So they wait as they would alone.
func TestRejectedPollsBesideAHungOneBackOff(t *testing.T) {
	for _, options := range []Options{{MaxPollInterval: 60 * s}, {Pushed: true}} {
		tracker, polls := &Tracker{Options: options}, 0
		tracker.StreamOpened(0, 0.5)
		runSchedule(tracker, 0, 30*s, 0.5, func(id int, at time.Duration) {
			if polls++; polls > 100 {
				t.Fatalf("%d polls by %v", polls, at)
			}
			tracker.StreamEnded(id, at)
		})
		if polls > 40 {
			t.Errorf("%+v: %d polls in 30 s", options, polls)
		}
	}
}
