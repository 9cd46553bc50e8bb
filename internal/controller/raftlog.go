package controller

import (
	"io"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// raftLogger makes a logger for raft, which writes to slog. Raft's warnings are news, the rest is for debugging.
func raftLogger(log *slog.Logger) hclog.Logger {
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "raft", Output: io.Discard, Level: hclog.Info})
	logger.RegisterSink(slogSink{log})
	return logger
}

type slogSink struct{ log *slog.Logger }

// Accept passes one line on.
func (s slogSink) Accept(name string, level hclog.Level, message string, args ...any) {
	switch {
	case level >= hclog.Error:
		s.log.Error(name+": "+message, args...)
	case level == hclog.Warn:
		s.log.Warn(name+": "+message, args...)
	case level == hclog.Info:
		s.log.Debug(name+": "+message, args...)
	}
}

// quietLogger says nothing.
func quietLogger() hclog.Logger { return hclog.NewNullLogger() }
