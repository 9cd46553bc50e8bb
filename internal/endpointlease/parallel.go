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
	// parallelDelayAfterSilence: where a watch fell silent, 2.3 s and more of NotificationDeadline have gone.
	parallelDelayAfterSilence = 800 * time.Millisecond
	// parallelDelayAfterEnd: where a watch ended or a poll was rejected, all nodes poll at once, and more polls would only
	// lengthen the queue at discovery.
	parallelDelayAfterEnd = 2500 * time.Millisecond
	// parallelDelayAfterLoss: what discovery has not answered after parallelDelayAfterEnd is lost, so the next is due soon.
	parallelDelayAfterLoss = 500 * time.Millisecond
	// quickParallelPolls is how many times in a row these delays hold. A discovery that has answered none of so many polls
	// is slow, and is polled ever more slowly.
	quickParallelPolls = 3
	// maxParallelDelay bounds the delay: a discovery that is back must be found.
	maxParallelDelay = 3200 * time.Millisecond
	// maxParallelDelayDoublings keeps the delay from overflowing; maxParallelDelay is reached before.
	maxParallelDelayDoublings = 4
	// parallelDelayShared is the first delay where other nodes poll the same discovery: it rejects a poll after 2 s.
	parallelDelayShared = 2200 * time.Millisecond
	// maxSharedDelayDoublings: after one lost poll a shared discovery is polled at maxParallelDelay.
	maxSharedDelayDoublings = 1
	// parallelDelayJitter is the part of the delay by which nodes differ, so that they don't poll in step.
	parallelDelayJitter = 0.125

	// maxOpenPolls bounds what one node costs a slow discovery: so many polls without an answer, and as many streams to
	// earlier addresses.
	maxOpenPolls = 4
	// minPollTime is how long a poll stays open at least: the slowest discovery known takes 7 s for an answer.
	minPollTime = 10 * time.Second
)

// stepParallelPoll opens a poll beside those that are open once the youngest has waited long enough. Of too many the oldest
// gives way, after minPollTime: a slow discovery answers it first, so that dropping it sooner would lose its work.
func (t *Tracker) stepParallelPoll(open openStreams, now time.Duration) Decision {
	// A poll that was rejected beside one that nobody answers is backed off as well: without that a node made 640 polls a
	// second.
	at := max(t.parallelPollAt(open.youngestPoll), t.nextPollAt)
	full := open.polls == maxOpenPolls
	if full {
		at = max(at, open.oldestPoll.openedAt+minPollTime)
	}
	switch {
	case now < at:
		return Decision{WakeAt: min(open.transferDeadline, at)}
	case full:
		return t.drop(open.oldestPoll, now)
	}
	t.parallelPolls++
	return Decision{Action: OpenStream}
}

// parallelPollAt is when a poll has another opened beside it. A list that has begun to arrive is waited for.
func (t *Tracker) parallelPollAt(s *stream) time.Duration {
	if s.listBeganAt > 0 {
		return s.transferDeadline()
	}
	delay := parallelDelayAfterLoss
	switch {
	case t.Pollers > 1:
		delay = min(parallelDelayShared<<min(t.parallelPolls, maxSharedDelayDoublings), maxParallelDelay)
	case t.parallelPolls >= quickParallelPolls:
		doublings := t.parallelPolls - quickParallelPolls + 1
		delay = min(parallelDelayAfterSilence<<min(doublings, maxParallelDelayDoublings), maxParallelDelay)
	case t.afterSilentWatch:
		delay = parallelDelayAfterSilence
	case t.parallelPolls == 0:
		delay = parallelDelayAfterEnd
	}
	return s.openedAt + time.Duration((1+parallelDelayJitter*s.jitter)*float64(delay))
}
