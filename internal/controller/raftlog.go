package controller

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// raftLogger makes a logger for raft, which writes to slog. Raft's warnings are news, the rest is for debugging.
func raftLogger(log *slog.Logger) hclog.Logger {
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Info})
	logger.RegisterSink(&slogSink{log: log, lastLogged: map[string]*repetition{}})
	return logger
}

// repeatLogInterval is how often raft may say the same thing: it does so several times a second while a controller is away.
const repeatLogInterval = 10 * time.Second

// slogSink passes raft's lines on.
type slogSink struct {
	log *slog.Logger

	lock       sync.Mutex
	lastLogged map[string]*repetition // by the line's text, of which raft has a few dozen
}

// repetition counts how often a line was left out since it was last passed on.
type repetition struct {
	loggedAt   time.Time
	suppressed int
}

// Accept passes one line on, unless raft has said the same a moment ago about whatever it may be.
func (s *slogSink) Accept(name string, level hclog.Level, message string, args ...any) {
	if level < hclog.Info {
		return
	}
	leftOut, again := s.countRepetition(message, time.Now())
	if again {
		return
	}
	if leftOut > 0 {
		args = append(args[:len(args):len(args)], "said_before", leftOut)
	}
	switch level {
	case hclog.Error:
		s.log.Error(name+": "+message, args...)
	case hclog.Warn:
		s.log.Warn(name+": "+message, args...)
	default:
		s.log.Debug(name+": "+message, args...)
	}
}

// countRepetition says how many lines of this text were left out before this one, or that this one is to be left out.
func (s *slogSink) countRepetition(message string, now time.Time) (leftOut int, again bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.lastLogged[message]
	if r == nil {
		s.lastLogged[message] = &repetition{loggedAt: now}
		return 0, false
	}
	if now.Sub(r.loggedAt) < repeatLogInterval {
		r.suppressed++
		return 0, true
	}
	leftOut = r.suppressed
	*r = repetition{loggedAt: now}
	return leftOut, false
}

// discardLogger says nothing.
func discardLogger() hclog.Logger { return hclog.NewNullLogger() }
