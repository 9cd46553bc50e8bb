package controller

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// raftLogger makes a logger for raft that writes to slog. Raft's warnings and errors keep their level, the rest becomes
// debug output.
func raftLogger(log *slog.Logger) hclog.Logger {
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Info})
	logger.RegisterSink(&slogSink{log: log, lastLogged: map[string]*messageRepetition{}})
	return logger
}

// repeatLogInterval is how often the same message of raft is logged: raft logs several a second for each controller
// that is away.
const repeatLogInterval = 10 * time.Second

// slogSink writes raft's messages to slog.
type slogSink struct {
	log *slog.Logger

	lock       sync.Mutex
	lastLogged map[string]*messageRepetition // by the message, of which raft has a few dozen
}

// messageRepetition counts how often a message was suppressed since it was last logged.
type messageRepetition struct {
	loggedAt   time.Time
	suppressed int
}

// Accept logs a message, unless the same one, with any arguments, was logged within repeatLogInterval. The next one
// says in said_before how many were suppressed.
func (s *slogSink) Accept(name string, level hclog.Level, message string, args ...any) {
	if level < hclog.Info {
		return
	}
	suppressed, suppress := s.countRepetition(message, time.Now())
	if suppress {
		return
	}
	if suppressed > 0 {
		args = append(args[:len(args):len(args)], "said_before", suppressed)
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

// countRepetition says how many messages of this text were suppressed before this one, or that this one is to be.
func (s *slogSink) countRepetition(message string, now time.Time) (suppressed int, suppress bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.lastLogged[message]
	if r == nil {
		s.lastLogged[message] = &messageRepetition{loggedAt: now}
		return 0, false
	}
	if now.Sub(r.loggedAt) < repeatLogInterval {
		r.suppressed++
		return 0, true
	}
	suppressed = r.suppressed
	*r = messageRepetition{loggedAt: now}
	return suppressed, false
}

// discardLogger logs nothing.
func discardLogger() hclog.Logger { return hclog.NewNullLogger() }
