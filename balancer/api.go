// Package balancer decides where a load balancer sends each request, when it tries again and
// when it gives up. It does no I/O: the host feeds events to a Balancer and carries out the
// actions it returns. This file is the whole interface. The decisions:
//
//	balancer.go     state, events, timers
//	endpoints.go    the list of servers, and which of them each pool of classes uses first
//	request.go      a request's way from its arrival to its final answer
//	queue.go        requests that wait for room or for their turn
//	pick.go         the choice among two groups of servers
//	eligibility.go  which servers may be drawn: scope, room, slow start
//	outlier.go      outlier detection, ejection, trials
//	retry.go        further attempts and their budget
//	admission.go    the window of own calls in flight
//	faultinjection.go rehearsals
//	accesslist.go   which clients are let in
//	adminoverride.go servers that operators take out of use
//
// A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which must
// never go back, and its only randomness is the seed given to New, so the same events always
// give the same actions. Balancers share nothing. Memory is held for each request until it is
// answered and its attempts have ended, and for each server until it has left the list and its
// attempts have ended.
package balancer

import (
	"net/netip"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// The zero Effect is the careful one.
const (
	NonIdempotent     Effect = iota // must never run twice
	IdempotentWithKey               // the servers of one scope discard repeats for a while
	Idempotent                      // may run any number of times
)

// Scope names the servers that discard the repeats of a keyed request.
type Scope int

// Scopes, from the narrowest.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name             string        `json:"Name"`
	Effect           Effect        `json:"Effect"`
	DedupScope       Scope         `json:"Scope"`     // for Keyed
	DedupWindow      time.Duration `json:"Window"`    // for Keyed: how long repeats are discarded, from the first send
	LatencyObjective time.Duration `json:"Aim"`       // answers within it earn full worth
	Deadline         time.Duration `json:"Deadline"`  // how long a client waits over all its tries
	LateCredit       float64       `json:"LateShare"` // share of the worth that an answer after the aim earns
	PriorityWeight   float64       `json:"Worth"`
	Stream           bool          `json:"Stream"`
	OrderedByKey     bool          `json:"InOrder"`   // requests with one key run one at a time, in the order of arrival
	AllowedZones     []string      `json:"OnlyZones"` // zones open to the class; nil: all
	AllowedKinds     []string      `json:"OnlyKinds"` // kinds of machine open to the class; nil: all
}

// Settings hold for the requests that come under them; a Retune brings others.
type Settings struct {
	Classes          []Class `json:"Classes"`
	Replicas         int     `json:"Balancers"`   // copies that place calls on this tier
	ReplicaIndex     int     `json:"Self"`        // this copy's number among them, from 0
	Zone             string  `json:"Zone"`        // this copy's zone; "": unknown, then no server is nearer than another
	Tier             int     `json:"Tier"`        // the tier sent to, 0 being the clients' first
	TotalValueWeight float64 `json:"WholeWeight"` // how much the whole of the worth counts when shedding
	WorstClassWeight float64 `json:"ClassWeight"` // how much the worst-served class counts when shedding

	ClientsMarkRetries bool `json:"MarksRepeats"` // clients mark their repeats; else short deadlines tell them

	MaxAttempts     int           `json:"MaxAttempts"`
	PollDiscovery   bool          `json:"AskDiscovery"`  // the list follows only a Subscribe
	MaxPollInterval time.Duration `json:"AskWithin"`     // an unsubscribed copy must ask at least this often
	Tick            time.Duration `json:"Tick"`          // events come no more often than this
	MaxRetryAfter   time.Duration `json:"MaxRetryAfter"` // longest advice that clients heed
	KeyQuietPeriod  time.Duration `json:"OrderSettle"`   // how long a key rests after an attempt that may still run

	SlowStartMinShare float64       `json:"ColdFrom"`     // share of its capacity that a fresh server has at least
	SlowStartDuration time.Duration `json:"WarmAfter"`    // time after which it has all of it
	OverloadMultiple  float64       `json:"FallMultiple"` // a fresh server sent more than this times its capacity falls over; 0: unknown

	FaultInjections []FaultInjection `json:"Drills"`    // rehearsals that can be started; nil: none
	AccessList      *AccessList      `json:"Addresses"` // whose requests are let in; nil: everybody's
}

// ServerState is what discovery says of a server.
type ServerState int

// Server states.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is an entry of the discovery list.
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

// Endings. Overloaded, Unreachable and Void prove that the attempt never ran.
const (
	Success Outcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionLost
	Canceled
	NotSent
)

// NeverRan says that the ending proves that the attempt never ran.
func (e Outcome) NeverRan() bool { return e == Overloaded || e == Unreachable || e == NotSent }

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate brings news from discovery. Full: the complete list, absent servers are gone.
	// Otherwise only changed entries.
	EndpointUpdate struct {
		Complete bool
		Cached   bool // last held before a restart, possibly out of date
		Servers  []Server
	}
	// WatchFailed says that a Subscribe failed or that the subscription broke.
	WatchFailed struct{}
	// EndpointLease says that the list has expired: a server may have left of which nobody told. Until it may be relied on again
	// nothing is sent, and what can't be sent is answered at once.
	EndpointLease struct{ Expired bool }
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID              string
		Class           string
		Deadline        time.Duration // clock time
		ClientRetry     bool          // the client marked it as a repeat
		Key             uint64        // what it is about, where HasKey
		HasKey          bool
		Client          netip.Addr // whose it is, where Addresses are set
		SettingsVersion int        // Retunes that its front knew of
		StreamedBody    bool       // its body is passed on as it comes: its attempts' time runs from the last byte
	}
	// AttemptEnded ends one attempt. Ended: the request has its final answer.
	AttemptEnded struct {
		ID          string
		Attempt     int
		Server      string
		Outcome     Outcome
		Latency     time.Duration
		RequestDone bool
	}
	// ResponseStarted says that a streamed answer has begun: the attempt is the client's from here on.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientGone says that the client left; nothing more is owed.
	ClientGone struct{ ID string }
	// TimerFired is a Wake come due.
	TimerFired struct{ Token string }
	// StartFaultInjection starts the drill of this name, or starts its time anew.
	StartFaultInjection struct{ Name string }
	// ShuttingDown says that the node is about to stop: drills end.
	ShuttingDown struct{}
	// AdminOverride takes a server out of use or puts it back, by an operator's word.
	AdminOverride struct {
		Server   string
		Disabled bool
	}
	// SettingsChanged brings other settings, for the requests that come from now on.
	SettingsChanged struct{ Settings Settings }
)

func (EndpointUpdate) event()      {}
func (WatchFailed) event()         {}
func (EndpointLease) event()       {}
func (Request) event()             {}
func (AttemptEnded) event()        {}
func (ResponseStarted) event()     {}
func (ClientGone) event()          {}
func (TimerFired) event()          {}
func (StartFaultInjection) event() {}
func (ShuttingDown) event()        {}
func (AdminOverride) event()       {}
func (SettingsChanged) event()     {}

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout.
	Send struct {
		ID, Server string
		Timeout    time.Duration
	}
	// Reject is a final answer that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// Deny is the final answer to a request whose client is not let in, whatever else has its id.
	Deny struct{ ID string }
	// SetTimer asks for a Timer with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the list and its changes.
	Subscribe struct{}
	// FaultInjected marks a request as part of a drill.
	FaultInjected struct{ ID, FaultInjection string }
	// Abort is a drill's final answer, before any attempt.
	Abort struct {
		ID         string
		Status     int           // 503, which promises that a retry does no harm, or 500
		RetryAfter time.Duration // advice; 0: none
	}
)

func (Send) action()          {}
func (Reject) action()        {}
func (Fail) action()          {}
func (Deny) action()          {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}
func (FaultInjected) action() {}
func (Abort) action()         {}
