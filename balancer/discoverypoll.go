// Polls of discovery, for hosts whose discovery sends an endpoint list only after a Subscribe.
//
// That is the simulator. In service internal/endpointlease schedules the polls of discovery, and the first
// Subscribe is all that counts: it lets the first poll begin, and those that follow change nothing.

package balancer

import "time"

const (
	// pollsPerInterval is how many polls must fit into MaxPollInterval, so that a failed one can be
	// followed by others within it.
	pollsPerInterval = 4
	// firstPollDivisor: the first wait is at most this part of the longest one.
	firstPollDivisor = 16
	// maxPollBackoff is how many times the wait doubles: from the first wait to the longest.
	maxPollBackoff = 4
)

// schedulePoll plans a Subscribe, where PollDiscovery is set. Input: the number of failures in a row.
// Output: a timer at a random time between now and a wait that doubles with each failure, up to a part of
// MaxPollInterval. The jitter keeps replicas that lost discovery together from all coming back to it
// together, which would overload it again.
func (b *Balancer) schedulePoll() {
	if !b.settings.PollDiscovery {
		return
	}
	longest := b.settings.MaxPollInterval / pollsPerInterval
	wait := min(longest, longest/firstPollDivisor<<min(b.pollFailures, maxPollBackoff))
	b.nextPoll = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(SetTimer{At: b.nextPoll, Token: pollTimer})
}

// handleWatchFailed plans the next poll after one that failed.
func (b *Balancer) handleWatchFailed() {
	b.pollFailures++
	b.schedulePoll()
}

// handlePollTimer polls discovery if that is due: an earlier timer may belong to a poll that was planned
// anew.
func (b *Balancer) handlePollTimer() {
	if b.nextPoll > 0 && b.isDue(b.nextPoll) {
		b.nextPoll = 0
		b.emit(Subscribe{})
	}
}
