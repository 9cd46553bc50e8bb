package endpointlease

import "time"

// How long a poll without an answer is waited for before another is opened beside it (a hedged request). The first list
// that comes ends all of them.
//
// A node alone recovers from three lost polls in a row within NotificationDeadline. At the latest, after the last line of
// a watch that falls silent:
//
//	2.8 s  the watch counts as silent (heartbeatTimeout 2.3 s, its jitter 0.5 s): the first poll
//	5.5 s  the fourth poll, three times 0.9 s later (parallelDelayAfterSilence 0.8 s, its jitter an eighth)
//	6.0 s  its answer has come
//
// Nodes that share a discovery lose their watches together, and parallel polls keep a discovery that works through its polls
// in turn from serving anybody: there one lost poll is made up for in time, and a node that loses more rejects requests until
// it has its list.
const (
	// hedgeDelayAfterSilence: where a watch fell silent, 2.3 s and more of NotificationDeadline have gone.
	hedgeDelayAfterSilence = 800 * time.Millisecond
	// hedgeDelayAfterEnd: where a watch ended or a poll was rejected, all nodes poll at once, and more polls would only
	// lengthen the queue at discovery.
	hedgeDelayAfterEnd = 2500 * time.Millisecond
	// hedgeDelayAfterLoss: what discovery has not answered after parallelDelayAfterEnd is lost, so the next is due soon.
	hedgeDelayAfterLoss = 500 * time.Millisecond
	// quickHedgedPolls is how many times in a row these delays hold. A discovery that has answered none of so many polls
	// is slow, and is polled ever more slowly.
	quickHedgedPolls = 3
	// maxHedgeDelay bounds the delay: a discovery that is back must be found.
	maxHedgeDelay = 3200 * time.Millisecond
	// maxHedgeDelayDoublings keeps the delay from overflowing; maxParallelDelay is reached before.
	maxHedgeDelayDoublings = 4
	// sharedHedgeDelay is the first delay where other nodes poll the same discovery: it rejects a poll after 2 s.
	sharedHedgeDelay = 2200 * time.Millisecond
	// maxSharedHedgeDelayDoublings: after one lost poll a shared discovery is polled at maxParallelDelay.
	maxSharedHedgeDelayDoublings = 1
	// hedgeDelayJitter is the part of the delay by which nodes differ, so that they don't poll in step.
	hedgeDelayJitter = 0.125

	// maxOpenPolls bounds what one node costs a slow discovery: so many polls without an answer, and as many streams to
	// earlier addresses.
	maxOpenPolls = 4
	// minPollDuration is how long a poll stays open at least: the slowest discovery known takes 7 s for an answer.
	minPollDuration = 10 * time.Second
)

// stepHedgedPoll opens a poll beside those that are open once the youngest has waited long enough. Of too many the oldest
// gives way, after minPollTime: a slow discovery answers it first, so that dropping it sooner would lose its work.
func (t *Tracker) stepHedgedPoll(open streamSummary, now time.Duration) Decision {
	// A poll that was rejected beside one that nobody answers is backed off as well: without that a node made 640 polls a
	// second.
	at := max(t.hedgedPollAt(open.youngestPoll), t.nextPollAt)
	full := open.polls == maxOpenPolls
	if full {
		at = max(at, open.oldestPoll.openedAt+minPollDuration)
	}
	switch {
	case now < at:
		return Decision{WakeAt: min(open.transferDeadline, at)}
	case full:
		return t.drop(open.oldestPoll, now)
	}
	t.hedgedPolls++
	return Decision{Action: OpenStream}
}

// hedgedPollAt is when a poll has another opened beside it. A list that has begun to arrive is waited for.
func (t *Tracker) hedgedPollAt(s *stream) time.Duration {
	if s.listBeganAt > 0 {
		return s.transferDeadline()
	}
	delay := hedgeDelayAfterLoss
	switch {
	case t.Pollers > 1:
		delay = min(sharedHedgeDelay<<min(t.hedgedPolls, maxSharedHedgeDelayDoublings), maxHedgeDelay)
	case t.hedgedPolls >= quickHedgedPolls:
		doublings := t.hedgedPolls - quickHedgedPolls + 1
		delay = min(hedgeDelayAfterSilence<<min(doublings, maxHedgeDelayDoublings), maxHedgeDelay)
	case t.afterSilentWatch:
		delay = hedgeDelayAfterSilence
	case t.hedgedPolls == 0:
		delay = hedgeDelayAfterEnd
	}
	return s.openedAt + time.Duration((1+hedgeDelayJitter*s.jitter)*float64(delay))
}
