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
	Unsafe Effect = iota // must never run twice
	Keyed                // the servers of one scope discard repeats for a while
	Safe                 // may run any number of times
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
	Name      string        `json:"Name"`
	Effect    Effect        `json:"Effect"`
	Scope     Scope         `json:"Scope"`     // for Keyed
	Window    time.Duration `json:"Window"`    // for Keyed: how long repeats are discarded, from the first send
	Aim       time.Duration `json:"Aim"`       // answers within it earn full worth
	Deadline  time.Duration `json:"Deadline"`  // how long a client waits over all its tries
	LateShare float64       `json:"LateShare"` // share of the worth that an answer after the aim earns
	Worth     float64       `json:"Worth"`
	Stream    bool          `json:"Stream"`
	InOrder   bool          `json:"InOrder"`   // requests with one key run one at a time, in the order of arrival
	OnlyZones []string      `json:"OnlyZones"` // zones open to the class; nil: all
	OnlyKinds []string      `json:"OnlyKinds"` // kinds of machine open to the class; nil: all
}

// Settings hold for the requests that come under them; a Retune brings others.
type Settings struct {
	Classes     []Class `json:"Classes"`
	Balancers   int     `json:"Balancers"`   // copies that place calls on this tier
	Self        int     `json:"Self"`        // this copy's number among them, from 0
	Zone        string  `json:"Zone"`        // this copy's zone; "": unknown, then no server is nearer than another
	Tier        int     `json:"Tier"`        // the tier sent to, 0 being the clients' first
	WholeWeight float64 `json:"WholeWeight"` // how much the whole of the worth counts when shedding
	ClassWeight float64 `json:"ClassWeight"` // how much the worst-served class counts when shedding

	MarksRepeats bool `json:"MarksRepeats"` // clients mark their repeats; else short deadlines tell them

	MaxAttempts   int           `json:"MaxAttempts"`
	AskDiscovery  bool          `json:"AskDiscovery"`  // the list follows only a Subscribe
	AskWithin     time.Duration `json:"AskWithin"`     // an unsubscribed copy must ask at least this often
	Tick          time.Duration `json:"Tick"`          // events come no more often than this
	MaxRetryAfter time.Duration `json:"MaxRetryAfter"` // longest advice that clients heed
	OrderSettle   time.Duration `json:"OrderSettle"`   // how long a key rests after an attempt that may still run

	ColdFrom     float64       `json:"ColdFrom"`     // share of its capacity that a fresh server has at least
	WarmAfter    time.Duration `json:"WarmAfter"`    // time after which it has all of it
	FallMultiple float64       `json:"FallMultiple"` // a fresh server sent more than this times its capacity falls over; 0: unknown

	Drills    []Drill    `json:"Drills"`    // rehearsals that can be started; nil: none
	Addresses *Addresses `json:"Addresses"` // whose requests are let in; nil: everybody's
}

// ServerState is what discovery says of a server.
type ServerState int

// Server states.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is an entry of the discovery list.
type Server struct {
	ID    string        `json:"ID"`
	Zone  string        `json:"Zone"`
	Kind  string        `json:"Kind"`
	Cell  int           `json:"Cell"`
	State ServerState   `json:"State"`
	Boot  time.Duration `json:"Boot"` // clock time of its last start; 0: long ago
}

// Ending says how an attempt ended.
type Ending int

// Endings. Overloaded, Unreachable and Void prove that the attempt never ran.
const (
	Success Ending = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	Broken
	Withdrawn
	Void
)

// NeverRan says that the ending proves that the attempt never ran.
func (e Ending) NeverRan() bool { return e == Overloaded || e == Unreachable || e == Void }

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// ServerList brings news from discovery. Full: the complete list, absent servers are gone.
	// Otherwise only changed entries.
	ServerList struct {
		Full    bool
		Cached  bool // last held before a restart, possibly out of date
		Servers []Server
	}
	// ListFailed says that a Subscribe failed or that the subscription broke.
	ListFailed struct{}
	// ListLease says that the list has expired: a server may have left of which nobody told. Until it may be relied on again
	// nothing is sent, and what can't be sent is answered at once.
	ListLease struct{ Expired bool }
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID       string
		Class    string
		Deadline time.Duration // clock time
		Repeat   bool          // the client marked it as a repeat
		Key      uint64        // what it is about, where HasKey
		HasKey   bool
		Client   netip.Addr // whose it is, where Addresses are set
		Rules    int        // Retunes that its front knew of
		Bulk     bool       // its body is passed on as it comes: its attempts' time runs from the last byte
	}
	// Outcome ends one attempt. Ended: the request has its final answer.
	Outcome struct {
		ID      string
		Attempt int
		Server  string
		Ending  Ending
		Latency time.Duration
		Ended   bool
	}
	// Started says that a streamed answer has begun: the attempt is the client's from here on.
	Started struct {
		ID      string
		Attempt int
	}
	// ClientGone says that the client left; nothing more is owed.
	ClientGone struct{ ID string }
	// Timer is a Wake come due.
	Timer struct{ Token string }
	// DrillStart starts the drill of this name, or starts its time anew.
	DrillStart struct{ Name string }
	// Leaving says that the node is about to stop: drills end.
	Leaving struct{}
	// Hand takes a server out of use or puts it back, by an operator's word.
	Hand struct {
		Server string
		Out    bool
	}
	// Retune brings other settings, for the requests that come from now on.
	Retune struct{ Settings Settings }
)

func (ServerList) event() {}
func (ListFailed) event() {}
func (ListLease) event()  {}
func (Request) event()    {}
func (Outcome) event()    {}
func (Started) event()    {}
func (ClientGone) event() {}
func (Timer) event()      {}
func (DrillStart) event() {}
func (Leaving) event()    {}
func (Hand) event()       {}
func (Retune) event()     {}

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout.
	Send struct {
		ID, Server string
		Timeout    time.Duration
	}
	// Refuse is a final answer that promises that a retry does no harm.
	Refuse struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// Deny is the final answer to a request whose client is not let in, whatever else has its id.
	Deny struct{ ID string }
	// Wake asks for a Timer with this token at the clock time At.
	Wake struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the list and its changes.
	Subscribe struct{}
	// Drilled marks a request as part of a drill.
	Drilled struct{ ID, Drill string }
	// Abort is a drill's final answer, before any attempt.
	Abort struct {
		ID         string
		Status     int           // 503, which promises that a retry does no harm, or 500
		RetryAfter time.Duration // advice; 0: none
	}
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Deny) action()      {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Drilled) action()   {}
func (Abort) action()     {}
