package simwire

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Kind tells what a Message carries.
type Kind int

// Kinds of messages.
const (
	BatchStarted    Kind = iota // Now is set
	InstanceStarted             // a balancer begins anew; Instance, Seed and Settings are set
	InstanceKilled              // Instance is set
	EventReceived               // Instance and Event are set
	Ignored                     // known, but of no use to a balancer
	BatchEnded                  // a reply is due
)

// Message is one message of a batch.
type Message struct {
	Kind     Kind
	Instance int           // number of the balancer that it is for; -1 before any is named
	Now      time.Duration // clock time of the whole batch
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}

// LineError is an input that can't be read, and the line, from 1, at which reading stopped. The simulator and this program
// then speak different versions of the protocol, or the simulator was stopped inside a batch.
type LineError struct {
	Line int
	Err  error
}

// Error names the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// ValueError is a value of a message that can't be read.
type ValueError struct {
	Message string // its name
	Value   int    // from 1
	Problem string
}

// Error names the message, the value and the problem.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: value %d %s", e.Message, e.Value, e.Problem)
}
