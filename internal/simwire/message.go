package simwire

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Kind says which fields of a Message are set.
type Kind int

// Kinds of messages.
const (
	BatchStarted    Kind = iota // Now is set
	InstanceStarted             // a new balancer starts; Instance, Seed and Settings are set
	InstanceKilled              // Instance is set
	EventReceived               // Instance and Event are set
	Ignored                     // a known message that balancers do not use
	BatchEnded                  // a reply is due
)

// Message is one message of a batch.
type Message struct {
	Kind     Kind
	Instance int           // number of the balancer that the message is for; -1 before any is selected
	Now      time.Duration // clock time of the whole batch
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}

// LineError reports input that can't be read. Its cause is that the simulator and this program use different versions
// of the protocol, or that the simulator was stopped inside a batch.
type LineError struct {
	Line int // line at which reading stopped, from 1
	Err  error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// ValueError reports a value of a message that can't be read.
type ValueError struct {
	Message string // name of the message
	Value   int    // number of the value, from 1
	Problem string
}

// Error returns the message's name, the value's number and the problem.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: value %d %s", e.Message, e.Value, e.Problem)
}
