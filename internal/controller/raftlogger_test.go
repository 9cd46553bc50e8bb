package controller

import (
	"testing"
	"time"
)

// A controller is away, and raft logs the same message several times a second. One in ten seconds is passed on, with
// the number of those that were suppressed.
func TestRaftLoggerSuppressesRepetitions(t *testing.T) {
	s := &slogSink{lastLogged: map[string]*repetition{}}
	for _, c := range []struct {
		message string
		after   time.Duration
		leftOut int
		again   bool
	}{
		{"failed to heartbeat to", 0, 0, false},
		{"failed to heartbeat to", time.Second, 0, true},
		{"heartbeat timeout reached", time.Second, 0, false},
		{"failed to heartbeat to", 2 * time.Second, 0, true},
		{"failed to heartbeat to", repeatLogInterval, 2, false},
		{"failed to heartbeat to", 2 * repeatLogInterval, 0, false},
	} {
		if leftOut, again := s.countRepetition(c.message, noon.Add(c.after)); leftOut != c.leftOut || again != c.again {
			t.Errorf("%q after %v: %d left out, again %v", c.message, c.after, leftOut, again)
		}
	}
}
