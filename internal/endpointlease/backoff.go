package endpointlease

import "time"

// The wait after a poll that failed or a watch that ended. An overloaded discovery spends on each rejection some of what
// it could serve: 300 nodes that polled again within 0.8 s kept it from serving any of them for 15 s.
const (
	// watchEndBackoff is the wait after a watch's end. It doubles with each poll that failed since the last list, and a failed
	// poll counts before its wait is computed: 150 ms after a watch's end, 300 ms after the first failed poll.
	watchEndBackoff = 150 * time.Millisecond
	// maxBackoff bounds the wait: a node must find within NotificationDeadline that discovery is back.
	maxBackoff = 2500 * time.Millisecond
	// maxBackoffDoublings keeps the wait from overflowing; maxBackoff is reached before.
	maxBackoffDoublings = 8
	// minBackoffFraction is the least part of the wait that a node draws: nodes whose watches ended together poll apart.
	minBackoffFraction = 0.1
	// maxBackoffUnavailable bounds the wait while discovery is unavailable: a poll that finds it so renews the lease, and the
	// next one must be over before that lease expires.
	maxBackoffUnavailable = 1500 * time.Millisecond
	// overloadBackoffPerPoller raises maxBackoff where discovery rejects polls at once: all pollers take turns.
	overloadBackoffPerPoller = 25 * time.Millisecond
	// maxBackoffPushedUnavailable is the bound where lists are pushed: once the agent is back, a node counts as notified at
	// once of what the agent has.
	maxBackoffPushedUnavailable = 200 * time.Millisecond

	// malformedListsWithoutDelay is how many malformed lists cost no further wait: after the first the complete list is polled at
	// once, for a single fault of a watch is mended by it.
	malformedListsWithoutDelay = 1
	// maxMalformedBackoff: a discovery that writes what can't be read must not be swamped by polls for complete lists.
	maxMalformedBackoff = 2 * time.Second
	// malformedResetAge is how long a watch has to be read without fault for earlier malformed lists to be forgotten.
	malformedResetAge = 2 * maxMalformedBackoff
)

// backoff is the wait before the next poll after a stream has ended. The jitter, from 0 to 1, says where in the range this
// node acts: from minBackoffShare to all of the wait, and from half of it where the least wait matters.
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

// maxBackoff is the longest wait for a discovery in its present state.
func (t *Tracker) maxBackoff() time.Duration {
	switch {
	case t.Unavailable():
		return maxBackoffUnavailable
	case t.overloaded:
		return max(maxBackoff, time.Duration(t.Pollers)*overloadBackoffPerPoller)
	}
	return maxBackoff
}

// exponentialDelay is the wait after so many failures, without a limit.
func exponentialDelay(first time.Duration, failures int) time.Duration {
	return first << min(failures, maxBackoffDoublings)
}

// equalJitter is between half of the wait and all of it.
func equalJitter(wait time.Duration, jitter float64) time.Duration {
	return time.Duration((1 + jitter) / 2 * float64(wait))
}
