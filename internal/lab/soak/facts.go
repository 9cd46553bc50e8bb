package soak

import (
	"sync"
	"time"
)

// Facts are all that was seen, by the one clock of a play.
type Observations struct {
	Drains         []DrainStart
	Deliveries     []Delivery
	Incarnations   []Incarnation
	AddressChanges []AddressChange
	Outages        []Span // of discovery
	Attempts       []*Attempt
	Requests       []*Request
	Complaints     []string // of nodes: broken invariants, panics, unexpected ends
}

// Span is from a time till another; an open one has no end yet.
type Span struct {
	From, To time.Duration
	Open     bool
}

// Drained is a server that began to drain, with the version of the list that has it.
type DrainStart struct {
	At      time.Duration
	Server  int
	Version int64
}

// Written is a list that discovery wrote to a node whole. One that is cut is a call that failed.
type Delivery struct {
	At      time.Duration
	Node    int
	Version int64
}

// Life is one process of a node.
type Incarnation struct {
	Node       int
	Started    time.Duration // its start
	Terminated time.Duration // to end; 0: never
	Killed     time.Duration // 0: never
}

// Moved is a SIGHUP that names another address of discovery.
type AddressChange struct {
	At   time.Duration
	Node int
}

// Arrival is a request at a server.
type Attempt struct {
	ID             string
	Node           int
	Server         int
	At             time.Duration
	Budget         time.Duration // as the request says
	Executed       bool          // it was not turned down
	Finished       time.Duration // when the server was done, or its connection had ended; 0: never
	ConnectionLost bool          // its connection had ended before
}

// Asked is a request of a client.
type Request struct {
	ID                string
	Node              int
	NonIdempotent     bool
	At                time.Duration
	Deadline          time.Duration
	ClientGone        time.Duration // when its client left; 0: it stayed
	Finished          time.Duration // when it had its answer, or knew that there is none
	Status            int           // 0: none
	RetryAfter        bool          // the answer says when to come back
	Err               string
	NewConnection     bool // it was on a connection of its own
	ConnectionRefused bool // no connection came up
}

// record collects facts. Its methods may be called side by side.
type recorder struct {
	started time.Time

	mu           sync.Mutex
	observations Observations
}

// now is the play's clock.
func (r *recorder) now() time.Duration { return time.Since(r.started) }

// note adds facts.
func (r *recorder) record(add func(f *Observations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.observations)
}
