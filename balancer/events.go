package balancer

import (
	"net/netip"
	"time"
)

// ServerState is what discovery says of a server.
type ServerState int

// Server states, as discovery knows them. A server that is listed as Ready is in service unless an operator
// has disabled it; all states of a server within a Balancer are at the type server.
const (
	Ready    ServerState = iota // takes new requests
	Draining                    // finishes what it has
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

// Outcome says how an attempt ended.
type Outcome int

// Outcomes. Overloaded, Unreachable and NotSent prove that the attempt never ran.
const (
	Success        Outcome = iota // answered
	Failure                       // answered with an error
	Overloaded                    // rejected by the server
	TimedOut                      // no answer within its time-out
	Unreachable                   // no connection
	ConnectionLost                // the connection was lost before the answer was complete
	Canceled                      // given up by the host, as when the client has gone
	NotSent                       // given up by the host before anything was sent
)

// NeverRan says that an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == Unreachable || o == NotSent }

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate brings the endpoint list or a change of it.
	EndpointUpdate struct {
		Complete bool // the whole list: servers that it lacks are removed; else only changed entries
		Cached   bool // kept from before a restart, possibly out of date
		Servers  []Server
	}
	// WatchFailed says that a Subscribe failed or that the watch which it began has ended.
	WatchFailed struct{}
	// LeaseChanged says that the lease on the endpoint list has expired, or is in force again. lease.go says
	// what that means.
	LeaseChanged struct{ Expired bool }
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID              string
		Class           string        // one that is not in the settings is taken as NonIdempotent
		Deadline        time.Duration // clock time
		ClientRetry     bool          // the client marked it as a retry
		Key             uint64        // what it is about, where HasKey
		HasKey          bool
		Client          netip.Addr // where it comes from, where an AccessList is set
		SettingsVersion int        // count of SettingsChanged that its ingress had seen
		StreamedBody    bool       // its body is forwarded as it comes: attempts are timed from its last byte
	}
	// AttemptEnded ends one attempt.
	AttemptEnded struct {
		ID          string
		Attempt     int // from 0
		Server      string
		Outcome     Outcome
		Latency     time.Duration // of a stream: from the last byte sent to the first received
		RequestDone bool          // the request has its final answer
	}
	// ResponseStarted says that a streamed response has begun: the client has part of it, so that the
	// request can neither be tried again nor rejected.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientGone says that the client has gone; no answer is owed any more.
	ClientGone struct{ ID string }
	// TimerFired is a SetTimer come due.
	TimerFired struct{ Token string }
	// StartFaultInjection starts the fault injection of this name, or its time anew.
	StartFaultInjection struct{ Name string }
	// EndFaultInjections ends all fault injections for good, because the node is about to stop. It has no other
	// effect, and hosts that have no fault injections need not give it.
	EndFaultInjections struct{}
	// AdminOverride disables a server or enables it again, as an operator said.
	AdminOverride struct {
		Server   string
		Disabled bool
	}
	// SettingsChanged brings other settings, for the requests that come from now on.
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
func (EndFaultInjections) event()  {}
func (AdminOverride) event()       {}
func (SettingsChanged) event()     {}
