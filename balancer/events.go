package balancer

import (
	"net/netip"
	"time"
)

// ServerState is the state of a server as discovery reports it.
type ServerState int

// Server states, as discovery reports them. A server that is listed as Ready is in service unless an operator
// has disabled it. The type server describes all states of a server within a Balancer.
const (
	Ready    ServerState = iota // accepts new requests
	Draining                    // finishes its open requests and accepts no others
	Removed                     // no longer on the list
)

// Server is an entry of the endpoint list.
type Server struct {
	ID        string        `json:"ID"`
	Zone      string        `json:"Zone"`
	Kind      string        `json:"Kind"`
	Cell      int           `json:"Cell"`
	State     ServerState   `json:"State"`
	StartTime time.Duration `json:"Boot"` // clock time of its last start; 0: long ago
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes. Overloaded, Unreachable and NotSent prove that the attempt never ran.
const (
	Success        Outcome = iota // answered
	Failure                       // answered with an error
	Overloaded                    // rejected by the server
	TimedOut                      // no answer within its timeout
	Unreachable                   // no connection could be made
	ConnectionLost                // the connection was lost before the answer was complete
	Canceled                      // abandoned by the host, for example because the client disconnected
	NotSent                       // abandoned by the host before anything was sent
)

// NeverRan reports whether an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == Unreachable || o == NotSent }

// Event is something that happened. It has one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate carries the endpoint list or a change of it.
	EndpointUpdate struct {
		Complete bool // the whole list: other servers are removed; if false, only changed entries
		Cached   bool // stored before a restart, possibly out of date
		Servers  []Server
	}
	// WatchFailed reports that a Subscribe failed, or that the watch that it started has ended.
	WatchFailed struct{}
	// LeaseChanged reports that the lease on the endpoint list has expired or is valid again. See lease.go
	// for the effect.
	LeaseChanged struct{ Expired bool }
	// Request is a request of a client. The Balancer must give it one final answer by Deadline.
	Request struct {
		ID              string
		Class           string        // a class that is not in the settings is treated as NonIdempotent
		Deadline        time.Duration // clock time
		ClientRetry     bool          // the client marked it as a retry
		Key             uint64        // requests with the same key are about the same object; set if HasKey
		HasKey          bool
		Client          netip.Addr // address of the client; needed if an AccessList is set
		SettingsVersion int        // number of SettingsChanged events that its ingress had seen
		// Accepted has the settings under which the ingress accepted the request, whatever SettingsVersion is.
		// nil: those in force, or those before the last change, if that came after SettingsVersion.
		Accepted     *AcceptedSettings
		StreamedBody bool // its body is forwarded as it arrives; attempts are timed from its end
	}
	// AttemptEnded reports the end of one attempt.
	AttemptEnded struct {
		ID          string
		Attempt     int // from 0
		Server      string
		Outcome     Outcome
		Latency     time.Duration // of a stream: from the last byte sent to the first received
		RequestDone bool          // the request has its final answer
	}
	// ResponseStarted reports that a streamed response has begun. The client has part of it, so the request
	// can be neither retried nor rejected.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientGone reports that the client has disconnected. Its request needs no final answer any more.
	ClientGone struct{ ID string }
	// TimerFired reports that a timer set by SetTimer has fired.
	TimerFired struct{ Token string }
	// StartFaultInjection starts the fault injection of this name, or restarts its duration if it is active.
	StartFaultInjection struct{ Name string }
	// ShutdownBegun reports that the node is about to stop. It ends all fault injections permanently, and
	// every request gets its final answer by AnswerBy.
	ShutdownBegun struct {
		AnswerBy time.Duration // clock time; 0: the deadlines of the requests stay as they are
	}
	// AdminOverride disables a server or enables it again, as an operator has instructed.
	AdminOverride struct {
		Server   string
		Disabled bool
	}
	// SettingsChanged replaces the settings for the requests that arrive from now on.
	SettingsChanged struct{ Settings Settings }
)

func (EndpointUpdate) event()      {}
func (WatchFailed) event()         {}
func (LeaseChanged) event()        {}
func (Request) event()             {}
func (AttemptEnded) event()        {}
func (ResponseStarted) event()     {}
func (ClientGone) event()          {}
func (TimerFired) event()          {}
func (StartFaultInjection) event() {}
func (ShutdownBegun) event()       {}
func (AdminOverride) event()       {}
func (SettingsChanged) event()     {}
