// Polls of discovery, for hosts whose discovery sends an endpoint list only after a Subscribe.
//
// Only the simulator is such a host. In a node, internal/endpointlease schedules the polls of discovery: the
// first Subscribe allows it to begin its first poll, and later ones have no effect.

package balancer

import "time"

const (
	// pollsPerInterval is how many polls must fit into MaxPollInterval, so that other polls can follow a
	// failed one within that interval.
	pollsPerInterval = 4
	// firstPollDivisor: the first wait is at most the longest wait divided by this.
	firstPollDivisor = 16
	// maxPollBackoff is how many times the wait doubles, from the first wait to the longest.
	maxPollBackoff = 4
)

// schedulePoll schedules a Subscribe if PollDiscovery is set. Input: the number of consecutive failures.
// Output: a timer at a random time between now and a wait that doubles with each failure, up to a part of
// MaxPollInterval. The jitter keeps replicas that lost discovery at the same time from all returning to it at
// the same time, which would overload it again.
func (b *Balancer) schedulePoll() {
	if !b.settings.PollDiscovery {
		return
	}
	longest := b.settings.MaxPollInterval / pollsPerInterval
	wait := min(longest, longest/firstPollDivisor<<min(b.pollFailures, maxPollBackoff))
	b.nextPoll = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(SetTimer{At: b.nextPoll, Token: pollTimer})
}

// handleWatchFailed schedules the next poll after a failed one.
func (b *Balancer) handleWatchFailed() {
	b.pollFailures++
	b.schedulePoll()
}

// handlePollTimer polls discovery if a poll is due. A timer that fires earlier belongs to a poll that was
// rescheduled.
func (b *Balancer) handlePollTimer() {
	if b.nextPoll > 0 && b.isDue(b.nextPoll) {
		b.nextPoll = 0
		b.emit(Subscribe{})
	}
}
