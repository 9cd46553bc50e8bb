package endpointlease

import "time"

// Action is what the caller of Step has to do.
type Action int

const (
	// NoAction: nothing is due before Decision.WakeAt.
	NoAction Action = iota
	// OpenStream: begin a poll, and report it with StreamOpened.
	OpenStream
	// DropStream: end a stream that is no longer needed or has to make room for another. The Tracker has already removed
	// it.
	DropStream
	// AbortStalledStream: end a stream as failed, because a list on it was not complete in time.
	AbortStalledStream
	// Probe: connect to discovery without sending anything, and report it with ProbeBegan and ProbeEnded.
	Probe
)

// Decision is the result of Step.
type Decision struct {
	Action   Action
	StreamID int           // for DropStream and AbortStalledStream
	WakeAt   time.Duration // for NoAction: when to call Step again if no event happens before
}

// Step returns what to do at a given time. The caller carries it out and calls Step again until it returns NoAction. The
// rules, in order of precedence:
//
//  1. A stream whose list is not complete within ListTransferTimeout is aborted.
//  2. While a watch receives its heartbeats, it is the only stream: all others are dropped.
//  3. At most maxOpenPolls streams to earlier addresses are kept.
//  4. While polls are open, a hedged poll is opened at hedgedPollAt, up to maxOpenPolls polls.
//  5. Otherwise discovery is polled at nextPollAt. Where lists are polled, the first poll also waits for RequestPoll.
//  6. If nothing else is due, the connection is probed when wantProbe says so.
func (t *Tracker) Step(now time.Duration) Decision { return t.stepProbe(t.stepStreams(now), now) }

// stepStreams applies the rules on streams.
func (t *Tracker) stepStreams(now time.Duration) Decision {
	open := t.summarizeStreams(now)
	watch := t.healthyWatch(now)
	switch {
	case open.stalled != nil:
		return Decision{Action: AbortStalledStream, StreamID: open.stalled.id}
	case watch != nil:
		return t.keepOnly(watch, min(open.transferDeadline, watch.heartbeatDeadline()), now)
	case open.earlier > maxOpenPolls:
		return t.drop(open.oldestEarlier, now)
	case open.polls > 0:
		return t.stepHedgedPoll(open, now)
	}
	return t.stepFirstPoll(open, now)
}

// streamSummary is what Step needs to know about the open streams.
type streamSummary struct {
	stalled          *stream       // its list is past the transferDeadline
	transferDeadline time.Duration // the earliest one of all lists that are arriving
	polls            int           // number of polls of the present address without a list
	oldestPoll       *stream
	youngestPoll     *stream
	earlier          int // number of streams to earlier addresses
	oldestEarlier    *stream
}

func (t *Tracker) summarizeStreams(now time.Duration) streamSummary {
	open := streamSummary{transferDeadline: never}
	for i := range t.streams {
		s := &t.streams[i]
		if now >= s.transferDeadline() {
			open.stalled = s
			return open
		}
		open.transferDeadline = min(open.transferDeadline, s.transferDeadline())
		switch {
		case s.generation != t.generation:
			if open.earlier++; open.earlier == 1 {
				open.oldestEarlier = s
			}
		case !s.isWatch():
			if open.polls++; open.polls == 1 {
				open.oldestPoll = s
			}
			open.youngestPoll = s
		}
	}
	return open
}

// keepOnly drops all streams but a watch that receives its heartbeats: further streams only cost discovery work.
func (t *Tracker) keepOnly(watch *stream, wakeAt, now time.Duration) Decision {
	for i := range t.streams {
		if t.streams[i].id != watch.id {
			return t.drop(&t.streams[i], now)
		}
	}
	return Decision{WakeAt: wakeAt}
}

// stepFirstPoll polls discovery while no poll is open. A watch may be open that is silent or belongs to an earlier
// address.
func (t *Tracker) stepFirstPoll(open streamSummary, now time.Duration) Decision {
	at := t.nextPollAt
	if !t.Pushed && !t.pollingStarted {
		at = never // wait for RequestPoll
	}
	if now < at {
		return Decision{WakeAt: min(open.transferDeadline, at)}
	}
	t.afterSilentWatch = t.hasWatch() && t.consecutiveFailures == 0
	return Decision{Action: OpenStream}
}

func (t *Tracker) drop(s *stream, now time.Duration) Decision {
	id := s.id // removeStream shifts the streams after s, so that s then points to another one
	t.removeStream(id, now)
	return Decision{Action: DropStream, StreamID: id}
}
