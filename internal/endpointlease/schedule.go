package endpointlease

import "time"

// Action is what a Decision wants done.
type Action int

const (
	// NoAction: nothing before Decision.WakeAt.
	NoAction Action = iota
	// OpenStream: begin a poll, and note it with StreamOpened.
	OpenStream
	// DropStream: end the stream, which the Tracker has forgotten. It is not needed any more, or gives way to another.
	DropStream
	// AbortStalledStream: end the stream as failed. A list has begun on it and is not complete in time.
	AbortStalledStream
)

// Decision is what Step wants done.
type Decision struct {
	Action   Action
	StreamID int           // of DropStream and AbortStalledStream
	WakeAt   time.Duration // of NoAction: when to call Step again if no event comes before
}

// Step says what to do at a time. The caller carries it out and calls Step again until there is NoAction. In order:
//
//  1. A list that is not complete within ListTransferTimeout ends its stream.
//  2. While a watch keeps its heartbeat, it is the only stream: all others are dropped.
//  3. Of streams to earlier addresses at most maxOpenPolls are kept.
//  4. While polls are open, another is opened beside them after parallelPollAt, maxOpenPolls at most.
//  5. Else discovery is polled at nextPollAt; where lists are polled, the first time only after RequestPoll.
func (t *Tracker) Step(now time.Duration) Decision {
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

// streamSummary is what Step needs to know of the streams.
type streamSummary struct {
	stalled          *stream       // a list on it is past its transferDeadline
	transferDeadline time.Duration // the next one of any list that is arriving
	polls            int           // of the present address, without a list
	oldestPoll       *stream
	youngestPoll     *stream
	earlier          int // of earlier addresses
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

// keepOnly drops all streams but a watch that keeps its heartbeat: each further one costs discovery work for nobody.
func (t *Tracker) keepOnly(watch *stream, wakeAt, now time.Duration) Decision {
	for i := range t.streams {
		if t.streams[i].id != watch.id {
			return t.drop(&t.streams[i], now)
		}
	}
	return Decision{WakeAt: wakeAt}
}

// stepFirstPoll polls discovery where no poll is open. A watch may be, that is silent or of an earlier address.
func (t *Tracker) stepFirstPoll(open streamSummary, now time.Duration) Decision {
	at := t.nextPollAt
	if !t.Pushed && !t.pollingStarted {
		at = never // until RequestPoll
	}
	if now < at {
		return Decision{WakeAt: min(open.transferDeadline, at)}
	}
	t.afterSilentWatch = t.hasWatch() && t.consecutiveFailures == 0
	return Decision{Action: OpenStream}
}

func (t *Tracker) drop(s *stream, now time.Duration) Decision {
	id := s.id // forget moves the streams behind s
	t.removeStream(id, now)
	return Decision{Action: DropStream, StreamID: id}
}
