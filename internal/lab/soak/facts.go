package soak

import (
	"sync"
	"time"
)

// Facts are all that was seen, by the one clock of a play.
type Facts struct {
	Drains    []Drained
	Written   []Written
	Lives     []Life
	Moves     []Moved
	Downs     []Span // of discovery
	Arrivals  []*Arrival
	Asked     []*Asked
	Complaint []string // of nodes: broken invariants, panics, unexpected ends
}

// Span is from a time till another; an open one has no end yet.
type Span struct {
	From, To time.Duration
	Open     bool
}

// Drained is a server that began to drain, with the version of the list that has it.
type Drained struct {
	At      time.Duration
	Server  int
	Version int64
}

// Written is a list that discovery wrote to a node whole. One that is cut is a call that failed.
type Written struct {
	At      time.Duration
	Node    int
	Version int64
}

// Life is one process of a node.
type Life struct {
	Node   int
	From   time.Duration // its start
	Told   time.Duration // to end; 0: never
	Killed time.Duration // 0: never
}

// Moved is a SIGHUP that names another address of discovery.
type Moved struct {
	At   time.Duration
	Node int
}

// Arrival is a request at a server.
type Arrival struct {
	ID      string
	Node    int
	Server  int
	At      time.Duration
	Left    time.Duration // as the request says
	Ran     bool          // it was not turned down
	Over    time.Duration // when the server was done, or its connection had ended; 0: never
	Dropped bool          // its connection had ended before
}

// Asked is a request of a client.
type Asked struct {
	ID       string
	Node     int
	Unsafe   bool
	At       time.Duration
	Deadline time.Duration
	Left     time.Duration // when its client left; 0: it stayed
	Over     time.Duration // when it had its answer, or knew that there is none
	Status   int           // 0: none
	Advice   bool          // the answer says when to come back
	Err      string
	Fresh    bool // it was on a connection of its own
	Refused  bool // no connection came up
}

// record collects facts. Its methods may be called side by side.
type record struct {
	began time.Time

	mu    sync.Mutex
	facts Facts
}

// now is the play's clock.
func (r *record) now() time.Duration { return time.Since(r.began) }

// note adds facts.
func (r *record) note(add func(f *Facts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.facts)
}
