package endpointlease

import (
	"slices"
	"time"
)

const (
	// heartbeatTimeout is how long a watch may stay without a line. It is longer than HeartbeatInterval, so that one late
	// line is not a failure, and short enough for a node to recover from three lost polls within NotificationDeadline.
	heartbeatTimeout = 2300 * time.Millisecond
	// heartbeatTimeoutJitter spreads the polls of nodes whose watches all fell silent at the same moment.
	heartbeatTimeoutJitter = 500 * time.Millisecond
)

// stream is a poll of discovery and the watch that the poll becomes. Its state follows from its fields:
//
//	polling       no list yet; connected says whether the connection is established
//	transferring  a list has begun (listBeganAt > 0), until it is complete or transferDeadline passes
//	watching      the first list is complete (firstListAt > 0), and no other one is arriving
//	silent        a watch past its heartbeatDeadline; it stays open, and is healthy again with its next line
//	removed       ended, or dropped by Step; its later events no longer change the schedule
//
// Only the Tracker's event methods change a stream.
type stream struct {
	id          int
	generation  int           // of the address that was polled
	openedAt    time.Duration // when the poll began
	lastByteAt  time.Duration
	listBeganAt time.Duration // of the list that is arriving; 0: none
	firstListAt time.Duration // when the first list was complete; 0: none yet
	jitter      float64       // from 0 to 1: the point within each jitter range at which this stream's timers fire
	connected   bool

	closedCleanly bool // closed by discovery, which was therefore up
}

// isWatch reports whether the poll was answered with a list, so that heartbeats are due.
func (s *stream) isWatch() bool { return s.firstListAt > 0 }

// heartbeatDeadline returns when a watch counts as silent. The connections of a machine that is cut off stay open, so
// only missing lines show that it is gone. The next poll is opened beside the silent watch, which is still read in case
// it resumes.
func (s *stream) heartbeatDeadline() time.Duration {
	return s.lastByteAt + heartbeatTimeout + time.Duration(s.jitter*float64(heartbeatTimeoutJitter))
}

// transferDeadline returns when a list that has begun must be complete, whatever bytes still arrive; never if none has
// begun.
func (s *stream) transferDeadline() time.Duration {
	if s.listBeganAt == 0 {
		return never
	}
	return s.listBeganAt + ListTransferTimeout
}

// find returns an open stream. A stream that was dropped may still report events: for such a stream open is false, and
// the stream returned is an empty one whose changes are discarded.
func (t *Tracker) find(id int) (s *stream, open bool) {
	for i := range t.streams {
		if t.streams[i].id == id {
			return &t.streams[i], true
		}
	}
	return &stream{}, false
}

// removeStream removes a stream and returns it. If it was the last watch, the time is kept as lastWatchEndedAt.
func (t *Tracker) removeStream(id int, now time.Duration) stream {
	found, _ := t.find(id)
	removed := *found
	t.streams = slices.DeleteFunc(t.streams, func(s stream) bool { return s.id == id })
	if removed.isWatch() && !t.hasWatch() {
		t.watchEnded(removed, now)
	}
	return removed
}

// hasWatch reports whether any watch is open, even one that is silent or belongs to an earlier address.
func (t *Tracker) hasWatch() bool {
	return slices.ContainsFunc(t.streams, func(s stream) bool { return s.isWatch() })
}

// healthyWatch returns the youngest watch of the present address that receives its heartbeats, or nil if there is none.
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
