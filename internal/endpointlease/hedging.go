package endpointlease

import "time"

// Delays before a hedged poll, that is, before another poll is opened beside one that is not answered. The first list
// that arrives ends all other streams.
//
// A single node recovers from three lost polls in a row within NotificationDeadline. These are the latest times after the
// last line of a watch that falls silent:
//
//	2.8 s  the watch counts as silent (heartbeatTimeout 2.3 s, plus jitter 0.5 s): the first poll
//	5.5 s  the fourth poll, three times 0.9 s later (hedgeDelayAfterSilence 0.8 s, plus an eighth of it as jitter)
//	6.0 s  the answer to the fourth poll has arrived
//
// Nodes that share a discovery lose their watches together, and their hedged polls can keep a working discovery that
// handles polls one after another from serving any node. Such nodes make up for one lost poll in time. A node that loses
// more rejects requests until it has its list.
const (
	// hedgeDelayAfterSilence applies after a watch fell silent: at least 2.3 s of NotificationDeadline have already
	// passed.
	hedgeDelayAfterSilence = 800 * time.Millisecond
	// hedgeDelayAfterEnd applies after a watch ended or a poll was rejected: all nodes poll at once, and more polls would
	// only lengthen the queue at discovery.
	hedgeDelayAfterEnd = 2500 * time.Millisecond
	// hedgeDelayAfterLoss applies to the hedged polls that follow: a poll that is not answered within hedgeDelayAfterEnd
	// is lost, so the next one is due soon.
	hedgeDelayAfterLoss = 500 * time.Millisecond
	// quickHedgedPolls is how many hedged polls in a row use these delays. A discovery that has answered none of them is
	// slow, and is polled at increasing intervals.
	quickHedgedPolls = 3
	// maxHedgeDelay limits the delay, so that a node notices when discovery is back.
	maxHedgeDelay = 3200 * time.Millisecond
	// maxHedgeDelayDoublings keeps the delay from overflowing; maxHedgeDelay is reached first.
	maxHedgeDelayDoublings = 4
	// sharedHedgeDelay is the first delay where other nodes poll the same discovery: a shared discovery rejects a poll
	// after 2 s.
	sharedHedgeDelay = 2200 * time.Millisecond
	// maxSharedHedgeDelayDoublings lets the delay for a shared discovery reach maxHedgeDelay after one lost poll.
	maxSharedHedgeDelayDoublings = 1
	// hedgeDelayJitter is the largest fraction of the delay that is added as jitter, so that nodes do not poll in step.
	hedgeDelayJitter = 0.125

	// maxOpenPolls limits the load of one node on a slow discovery: this many unanswered polls, and as many streams to
	// earlier addresses.
	maxOpenPolls = 4
	// minPollDuration is how long a poll stays open at least: the slowest known discovery takes 7 s to answer.
	minPollDuration = 10 * time.Second
)

// stepHedgedPoll opens a hedged poll once the youngest open poll has waited long enough. If too many polls are open, the
// oldest one is dropped, but not before minPollDuration: a slow discovery answers the oldest poll first, so dropping it
// sooner would waste the work that discovery has done for it.
func (t *Tracker) stepHedgedPoll(open streamSummary, now time.Duration) Decision {
	// A hedged poll that is rejected while the first poll is unanswered is backed off as well: without this a node made
	// 640 polls a second.
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

// hedgedPollAt returns when another poll is opened beside a given one. A list that has begun to arrive has until its
// transfer deadline.
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
