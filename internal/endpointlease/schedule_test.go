package endpointlease

import (
	"testing"
	"time"
)

// When the next poll is due, and when a hedged poll is: a poll that is answered too late, or not at all, must not cost
// the node its lease.
func TestPollSchedule(t *testing.T) {
	checkHistories(t, map[string]history{
		"new process, nothing polled": {
			options: polled,
			events:  func(tracker *Tracker) {},
			at:      s, wakeAt: never, expires: 6 * s, state: Aging,
		},
		"unanswered poll, before the hedged poll is due": {
			options: polled,
			events:  func(tracker *Tracker) { tracker.StreamOpened(s, 0) },
			at:      s + hedgeDelayAfterEnd - 1, wakeAt: s + hedgeDelayAfterEnd, expires: 6 * s, state: Aging,
		},
		"unanswered poll, hedged poll due": {
			options: polled,
			events:  func(tracker *Tracker) { tracker.StreamOpened(s, 0) },
			at:      s + hedgeDelayAfterEnd, wakeAt: 0, expires: 6 * s, state: Aging,
		},
		"hedged poll delayed by jitter": {
			options: polled,
			events:  func(tracker *Tracker) { tracker.StreamOpened(s, 1) },
			at:      s + hedgeDelayAfterEnd, wakeAt: s + hedgeDelayAfterEnd*9/8, expires: 6 * s, state: Aging,
		},
		"hedged poll due sooner after a silent watch": {
			options: polled,
			events: func(tracker *Tracker) {
				openWatch(tracker, 0, s)
				tracker.Step(4 * s)
				tracker.StreamOpened(4*s, 0)
			},
			at: 4 * s, wakeAt: 4*s + hedgeDelayAfterSilence, expires: 7 * s, state: Aging,
		},
		"failed poll": {
			options: rarelyPolled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(s, 0)
				tracker.StreamEnded(1, 2*s)
			},
			at: 2 * s, wakeAt: 2*s + watchEndBackoff/5, expires: 6 * s, state: Aging,
		},
		"failed poll after a list": {
			options: rarelyPolled,
			events: func(tracker *Tracker) {
				openWatch(tracker, s, s)
				tracker.StreamEnded(1, 2*s)
				tracker.StreamOpened(3*s, 0)
				tracker.StreamEnded(2, 3*s)
			},
			at: 5 * s, wakeAt: 0, expires: 7 * s, state: Aging,
		},
		"poll requested by the decision module": {
			options: polled,
			events:  func(tracker *Tracker) { tracker.RequestPoll() },
			at:      s, wakeAt: 0, expires: 6 * s, state: Aging,
		},
		"poll requested while one is open": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(s, 0)
				tracker.RequestPoll()
			},
			at: s, wakeAt: s + hedgeDelayAfterEnd, expires: 6 * s, state: Aging,
		},
		"complete list without a watch": {
			options: polled,
			events: func(tracker *Tracker) {
				tracker.StreamOpened(s, 0)
				tracker.PollAnswered(1, 2*s)
			},
			at: 2 * s, wakeAt: 0, expires: 8 * s, state: Aging,
		},
	})
}

// After a malformed list the complete list is polled immediately, after further ones with backoff.
func TestMalformedListBackoff(t *testing.T) {
	checkHistories(t, map[string]history{
		"second malformed list": {
			options: polled,
			events:  func(tracker *Tracker) { receiveMalformedLists(tracker, 2, s) },
			at:      s, wakeAt: s + 2*watchEndBackoff, expires: 6 * s, state: Aging,
		},
		"second malformed list, then a requested poll": {
			options: polled,
			events: func(tracker *Tracker) {
				receiveMalformedLists(tracker, 2, s)
				tracker.RequestPoll()
			},
			at: s, wakeAt: s + 2*watchEndBackoff, expires: 6 * s, state: Aging,
		},
	})
}

// runSchedule carries out the Tracker's decisions until a given time, and calls onPoll with each poll that it opens.
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

// A watch falls silent, and the next three polls are lost: refused, left unanswered, or answered with a head and no list.
// If the fourth poll started too late, the lease would expire although discovery is healthy again. Whatever the jitter,
// it must start at least half a second before the notification deadline, counted from the last line of the watch.
func TestFourthPollMeetsDeadlineAfterThreeLostPolls(t *testing.T) {
	for _, options := range []Options{{MaxPollInterval: 60 * s}, {Pushed: true}} {
		for jitter := 0.0; jitter <= 1; jitter += 0.1 {
			for name, fault := range map[string]func(tracker *Tracker, id int, at time.Duration){
				"refused":   func(tracker *Tracker, id int, at time.Duration) { tracker.StreamEnded(id, at) },
				"no answer": func(*Tracker, int, time.Duration) {},
				"head only": func(tracker *Tracker, id int, at time.Duration) { tracker.Activity(id, at) },
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

// A discovery that is always slow answers no poll for many seconds. Abandoning polls early would waste the work that it
// has done for them, and many hedged polls would make it slower still. So a node without an answer polls at increasing
// intervals up to a limit, few polls are open at once, each stays open long enough, and one answer resets the interval.
func TestUnansweredPollsReducePollRate(t *testing.T) {
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
	if n := len(polls); polls[1]-polls[0] != hedgeDelayAfterEnd || polls[n-1]-polls[n-2] != maxHedgeDelay || n > 25 || longest < 10*s {
		t.Errorf("polls at %v, the longest was open for %v", polls, longest)
	}
	last := tracker.StreamOpened(60*s, 0)
	tracker.StreamEnded(last, 60*s) // a rejection counts as an answer
	tracker.AddressChanged(61 * s)
	tracker.StreamOpened(61*s, 0)
	if at := tracker.hedgedPollAt(&tracker.streams[len(tracker.streams)-1]); at != 61*s+hedgeDelayAfterEnd {
		t.Errorf("after an answer the hedged poll is due at %v", at)
	}
}

// One poll hangs, and the hedged polls are rejected immediately. A node that did not back off between them made 640 polls
// a second. So rejected polls are backed off just as if no other poll were open.
func TestRejectedPollsBackOffWhileOnePollHangs(t *testing.T) {
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
