package simwire

import (
	"math"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// absentValue is written in place of a value that is not given.
const absentValue = "-"

// maxMilliseconds limits times on the wire to about thirty years, which fit into a time.Duration.
const maxMilliseconds = 1e12

// outcomes maps the names of outcomes on the wire.
var outcomes = map[string]balancer.Outcome{
	"success":     balancer.Success,
	"failure":     balancer.Failure,
	"overloaded":  balancer.Overloaded,
	"timed_out":   balancer.TimedOut,
	"unreachable": balancer.Unreachable,
	"broken":      balancer.ConnectionLost,
	"withdrawn":   balancer.Canceled,
	"void":        balancer.NotSent,
}

// fields reads the values of one message, numbered from 0, and keeps the first error.
type fields struct {
	message string // name of the message
	values  []string
	err     error // a *ValueError, or nil
}

func newFields(message, values string) *fields {
	return &fields{message: message, values: strings.Split(values, "\t")}
}

// fail records a problem with value i, unless there has been an earlier problem.
func (f *fields) fail(i int, problem string) {
	if f.err == nil {
		f.err = &ValueError{Message: f.message, Value: i + 1, Problem: problem}
	}
}

// optionalText returns a text, or "" if it is absent.
func (f *fields) optionalText(i int) string {
	if i >= len(f.values) || f.values[i] == absentValue {
		return ""
	}
	return f.values[i]
}

func (f *fields) text(i int) string {
	s := f.optionalText(i)
	if s == "" {
		f.fail(i, "is missing")
	}
	return s
}

func (f *fields) integer(i int) int {
	v, err := strconv.Atoi(f.text(i))
	if err != nil {
		f.fail(i, "is not an integer")
	}
	return v
}

// optionalInteger returns an integer, or 0 if it is absent.
func (f *fields) optionalInteger(i int) int {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// uint64 returns a 64-bit number, which the simulator writes as a signed or an unsigned integer.
func (f *fields) uint64(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is not an integer")
	}
	return uint64(v)
}

// optionalUint64 returns a 64-bit number, or 0 if it is absent.
func (f *fields) optionalUint64(i int) uint64 {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.uint64(i)
}

func (f *fields) milliseconds(i int) time.Duration {
	v, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxMilliseconds {
		f.fail(i, "is not a time in milliseconds")
		return 0
	}
	return fromMilliseconds(v)
}

// optionalMilliseconds returns a time, or 0 if it is absent.
func (f *fields) optionalMilliseconds(i int) time.Duration {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.milliseconds(i)
}

func (f *fields) outcome(i int) balancer.Outcome {
	o, ok := outcomes[f.text(i)]
	if !ok {
		f.fail(i, "is not an outcome")
	}
	return o
}

// server returns the server that an entry of an endpoint list describes.
func (f *fields) server() balancer.Server {
	return balancer.Server{
		ID:        f.text(0),
		Zone:      f.text(1),
		Kind:      f.optionalText(2),
		Cell:      f.integer(3),
		StartTime: f.optionalMilliseconds(6),
		State:     f.serverState(4),
	}
}

func (f *fields) serverState(i int) balancer.ServerState {
	switch f.integer(i) {
	case stateReady:
		return balancer.Ready
	case stateDraining:
		return balancer.Draining
	case stateRemoved:
		return balancer.Removed
	}
	f.fail(i, "is not a server state")
	return balancer.Ready
}

// fromMilliseconds converts a time in milliseconds, rounded to the nanosecond.
func fromMilliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}
