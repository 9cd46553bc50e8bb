package endpointlease

import (
	"slices"
	"time"
)

const (
	// heartbeatTimeout is how long a watch may bring nothing. It is longer than HeartbeatInterval, so that one late line is
	// no failure, and short enough for three lost polls within NotificationDeadline.
	heartbeatTimeout = 2300 * time.Millisecond
	// heartbeatTimeoutJitter spreads the polls of nodes whose watches all fell silent at one moment.
	heartbeatTimeoutJitter = 500 * time.Millisecond
)

// stream is a poll of discovery and the watch that it becomes. Its states follow from its fields:
//
//	polling       no list yet: connected says whether the connection has come up
//	transferring  a list has begun (listBeganAt > 0), until it is complete or transferDeadline passes
//	watching      the first list is complete (firstListAt > 0) and no other is arriving
//	silent        a watch past its heartbeatDeadline: it stays open, and is healthy again with its next line
//	forgotten     ended, or dropped by Step: its events change nothing any more
//
// Only the Tracker's event methods change a stream.
type stream struct {
	id          int
	generation  int           // of the address that was polled
	openedAt    time.Duration // when the poll began
	lastByteAt  time.Duration
	listBeganAt time.Duration // of the list that is arriving; 0: none is
	firstListAt time.Duration // when the first list was complete; 0: none was
	jitter      float64       // from 0 to 1: when this node acts within the time that all nodes share
	connected   bool

	closedCleanly bool // by discovery, which was up then
}

// isWatch says whether the poll was answered with a list, so that heartbeats are due.
func (s *stream) isWatch() bool { return s.firstListAt > 0 }

// heartbeatDeadline is when a watch counts as silent. A machine that is cut off leaves its connections open: only the
// missing lines show it. The next poll is opened beside the silent watch, which is heard if it speaks again.
func (s *stream) heartbeatDeadline() time.Duration {
	return s.lastByteAt + heartbeatTimeout + time.Duration(s.jitter*float64(heartbeatTimeoutJitter))
}

// transferDeadline is when a list that has begun must be complete, whatever bytes still come; never if none has begun.
func (s *stream) transferDeadline() time.Duration {
	if s.listBeganAt == 0 {
		return never
	}
	return s.listBeganAt + ListTransferTimeout
}

// find returns an open stream. One that was dropped may still report: for it open is false, and the stream returned is
// an empty one whose changes nobody reads.
func (t *Tracker) find(id int) (s *stream, open bool) {
	for i := range t.streams {
		if t.streams[i].id == id {
			return &t.streams[i], true
		}
	}
	return &stream{}, false
}

// removeStream removes a stream. Where it was the last watch, the node is without one from now on.
func (t *Tracker) removeStream(id int, now time.Duration) stream {
	found, _ := t.find(id)
	removed := *found
	t.streams = slices.DeleteFunc(t.streams, func(s stream) bool { return s.id == id })
	if removed.isWatch() && !t.hasWatch() {
		t.lastWatchEndedAt = now
	}
	return removed
}

// hasWatch says whether any watch is open, even if it is silent or of an earlier address.
func (t *Tracker) hasWatch() bool {
	return slices.ContainsFunc(t.streams, func(s stream) bool { return s.isWatch() })
}

// healthyWatch is the youngest watch of the present address that keeps its heartbeat; nil: there is none.
func (t *Tracker) healthyWatch(now time.Duration) *stream {
	var youngest *stream
	for i := range t.streams {
		s := &t.streams[i]
		if s.generation == t.generation && s.isWatch() && now < s.heartbeatDeadline() {
			youngest = s
		}
	}
	return youngest
}
