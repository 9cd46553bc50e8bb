package endpointlease

import "time"

// The delay after a poll has failed or a watch has ended. An overloaded discovery spends part of its capacity on each
// rejection: 300 nodes that polled again within 0.8 s kept it from serving any of them for 15 s.
const (
	// watchEndBackoff is the delay after a watch has ended. It doubles with each failed poll since the last list. A
	// failed poll is counted before its delay is computed, so the delay is 150 ms after a watch has ended and 300 ms
	// after the first failed poll.
	watchEndBackoff = 150 * time.Millisecond
	// maxBackoff limits the delay: a node must find out within NotificationDeadline that discovery is back.
	maxBackoff = 2500 * time.Millisecond
	// maxBackoffDoublings keeps the delay from overflowing; maxBackoff is reached first.
	maxBackoffDoublings = 8
	// minBackoffFraction is the smallest fraction of the delay that a node may draw. Nodes whose watches ended together
	// draw different fractions, so that their polls are spread.
	minBackoffFraction = 0.1
	// maxBackoffUnavailable limits the delay while discovery is unavailable: each poll that finds it unavailable renews
	// the lease, and the next poll must be over before that lease expires.
	maxBackoffUnavailable = 1500 * time.Millisecond
	// overloadBackoffPerPoller raises maxBackoff, by the number of pollers, while discovery rejects polls immediately:
	// the pollers take turns.
	overloadBackoffPerPoller = 25 * time.Millisecond
	// maxBackoffPushedUnavailable limits the delay while an agent that pushes lists is unavailable: once the agent is
	// back, a node counts as notified immediately of the changes that the agent has.
	maxBackoffPushedUnavailable = 200 * time.Millisecond

	// malformedListsWithoutDelay is how many malformed lists cause no extra delay: after the first one the complete list
	// is polled at once, which repairs a single fault of a watch.
	malformedListsWithoutDelay = 1
	// maxMalformedBackoff limits the extra delay, which protects a discovery that writes malformed lists from being
	// swamped by polls for complete lists.
	maxMalformedBackoff = 2 * time.Second
	// malformedResetAge is how long a watch must be read without a fault before earlier malformed lists no longer count.
	malformedResetAge = 2 * maxMalformedBackoff
)

// backoff returns the delay before the next poll after a stream has ended. The jitter, from 0 to 1, selects a point
// between minBackoffFraction and all of the delay, or between half and all of it where a minimum delay matters.
func (t *Tracker) backoff(jitter float64) time.Duration {
	wait := min(exponentialDelay(watchEndBackoff, t.consecutiveFailures), t.maxBackoff())
	if t.Pushed && t.Unavailable() {
		return equalJitter(min(wait, maxBackoffPushedUnavailable), jitter)
	}
	if t.malformedLists > malformedListsWithoutDelay {
		return equalJitter(max(wait, min(exponentialDelay(watchEndBackoff, t.malformedLists), maxMalformedBackoff)), jitter)
	}
	return time.Duration((minBackoffFraction + (1-minBackoffFraction)*jitter) * float64(wait))
}

// maxBackoff returns the longest delay in discovery's present state.
func (t *Tracker) maxBackoff() time.Duration {
	switch {
	case t.Unavailable():
		return maxBackoffUnavailable
	case t.overloaded:
		return max(maxBackoff, time.Duration(t.Pollers)*overloadBackoffPerPoller)
	}
	return maxBackoff
}

// exponentialDelay returns the delay after a number of failures, before any limit is applied.
func exponentialDelay(first time.Duration, failures int) time.Duration {
	return first << min(failures, maxBackoffDoublings)
}

// equalJitter returns a duration between half of the delay and all of it.
func equalJitter(wait time.Duration, jitter float64) time.Duration {
	return time.Duration((1 + jitter) / 2 * float64(wait))
}
