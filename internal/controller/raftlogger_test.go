package controller

import (
	"testing"
	"time"
)

// A controller is unreachable, and raft logs the same message several times a second. One message in ten seconds is
// logged, with the number of suppressed ones.
func TestRaftLoggerSuppressesRepetitions(t *testing.T) {
	s := &slogSink{lastLogged: map[string]*messageRepetition{}}
	for _, c := range []struct {
		message    string
		after      time.Duration
		suppressed int
		suppress   bool
	}{
		{"failed to heartbeat to", 0, 0, false},
		{"failed to heartbeat to", time.Second, 0, true},
		{"heartbeat timeout reached", time.Second, 0, false},
		{"failed to heartbeat to", 2 * time.Second, 0, true},
		{"failed to heartbeat to", repeatLogInterval, 2, false},
		{"failed to heartbeat to", 2 * repeatLogInterval, 0, false},
	} {
		if suppressed, suppress := s.countRepetition(c.message, noon.Add(c.after)); suppressed != c.suppressed || suppress != c.suppress {
			t.Errorf("%q after %v: %d suppressed, suppress %v", c.message, c.after, suppressed, suppress)
		}
	}
}
