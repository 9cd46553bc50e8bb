package simwire

import (
	"math"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// absentValue stands for a value that is not given.
const absentValue = "-"

// maxMilliseconds bounds times on the wire: some thirty years, which a time.Duration holds.
const maxMilliseconds = 1e12

// outcomes are the ends of attempts on the wire.
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
	message string // its name
	values  []string
	err     error // a *ValueError
}

func newFields(message, values string) *fields {
	return &fields{message: message, values: strings.Split(values, "\t")}
}

// fail keeps the first problem.
func (f *fields) fail(i int, problem string) {
	if f.err == nil {
		f.err = &ValueError{Message: f.message, Value: i + 1, Problem: problem}
	}
}

// optionalText is a text, "" if it is absent.
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
		f.fail(i, "is no whole number")
	}
	return v
}

// optionalInteger is an integer, 0 if it is absent.
func (f *fields) optionalInteger(i int) int {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// uint64 is a number of 64 bits, which the simulator writes with or without a sign.
func (f *fields) uint64(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is no whole number")
	}
	return uint64(v)
}

// optionalUint64 is a number of 64 bits, 0 if it is absent.
func (f *fields) optionalUint64(i int) uint64 {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.uint64(i)
}

func (f *fields) milliseconds(i int) time.Duration {
	v, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxMilliseconds {
		f.fail(i, "is no time in milliseconds")
		return 0
	}
	return fromMilliseconds(v)
}

// optionalMilliseconds is a time, 0 if it is absent.
func (f *fields) optionalMilliseconds(i int) time.Duration {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.milliseconds(i)
}

func (f *fields) outcome(i int) balancer.Outcome {
	o, ok := outcomes[f.text(i)]
	if !ok {
		f.fail(i, "is no ending")
	}
	return o
}

// server is the endpoint of a list's item.
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
	f.fail(i, "is no state")
	return balancer.Ready
}

// fromMilliseconds rounds to the nanosecond.
func fromMilliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}
