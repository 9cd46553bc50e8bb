package controller

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// raftLogger returns a logger for raft that writes to slog. Warnings and errors keep their level, informational
// messages become debug messages, and all others are discarded.
func raftLogger(log *slog.Logger) hclog.Logger {
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Info})
	logger.RegisterSink(&slogSink{log: log, lastLogged: map[string]*messageRepetition{}})
	return logger
}

// repeatLogInterval is the least time between two log lines with the same message of raft, which logs several a second
// for each unreachable controller.
const repeatLogInterval = 10 * time.Second

// slogSink writes raft's messages to slog.
type slogSink struct {
	log *slog.Logger

	lock       sync.Mutex
	lastLogged map[string]*messageRepetition // by message; raft has a few dozen different ones
}

// messageRepetition counts how often a message was suppressed since it was last logged.
type messageRepetition struct {
	loggedAt   time.Time
	suppressed int
}

// Accept logs a message, unless the same message, with any arguments, was logged within repeatLogInterval. The next
// line with this message has the number of suppressed ones as said_before.
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

// countRepetition reports whether a message is to be suppressed. If not, suppressed is the number of messages with the
// same text that were suppressed since the last one was logged.
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

// discardLogger returns a logger that discards all messages.
func discardLogger() hclog.Logger { return hclog.NewNullLogger() }
