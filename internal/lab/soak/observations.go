package soak

import (
	"sync"
	"time"
)

// Observations are all that was seen in a run. Times are of one clock and count from the run's begin.
type Observations struct {
	Drains         []DrainStart
	Deliveries     []Delivery
	Incarnations   []Incarnation
	AddressChanges []AddressChange
	Outages        []Span // of discovery
	Stalls         []Span // in which the rig's own process did not come to run
	Floods         []FloodSpan
	Series         int // of signals that were sent
	Attempts       []*Attempt
	Requests       []*Request
	SecondAnswers  map[string]time.Duration // by ID of a request: how long after its answer the latest second one was written
	NodeErrors     []string                 // of nodes: broken invariants, panics, unexpected ends
}

// Span is from a time to another; an open one has no end yet.
type Span struct {
	From, To time.Duration
	Open     bool
}

// FloodSpan is a time in which a crowd holds connections to a node.
type FloodSpan struct {
	Node     int
	From, To time.Duration
}

// DrainStart is a server that began to drain, with the version of the endpoint list that has it.
type DrainStart struct {
	At      time.Duration
	Server  int
	Version int64
}

// Delivery is a list that discovery wrote to a node completely. One that is truncated is a call that failed.
type Delivery struct {
	At      time.Duration
	Node    int
	Version int64
}

// Incarnation is one process of a node.
type Incarnation struct {
	Node       int
	Started    time.Duration
	Ready      time.Duration // when it said so; 0: not yet
	Terminated time.Duration // when it was sent its first SIGTERM; 0: never
	Killed     time.Duration // when it was sent SIGKILL; 0: never
	Exited     time.Duration // when it had ended; 0: not yet
}

// AddressChange is a SIGHUP that names another address of discovery.
type AddressChange struct {
	At   time.Duration
	Node int
}

// Attempt is a request's arrival at a server.
type Attempt struct {
	ID             string
	Node           int
	Server         int
	HeadRead       time.Duration // when the server had read its head
	At             time.Duration // when the server began to handle it
	Budget         time.Duration // what is left until the deadline, as the attempt says
	Executed       bool          // it was not rejected
	Finished       time.Duration // when the server was done, or its connection had ended; 0: never
	ConnectionLost bool          // its connection had ended before
}

// Request is a client's request and what became of it.
type Request struct {
	ID                string
	Node              int
	NonIdempotent     bool
	At                time.Duration // when its client began to send it
	Written           time.Duration // when its last byte was written; 0: it was not, or that is not known
	Deadline          time.Duration // counts from its last byte
	ClientGone        time.Duration // when its client canceled; 0: it waited
	Finished          time.Duration // when it had its answer, or knew that there is none
	Status            int           // 0: none
	RetryAfter        bool          // the answer says when to come back
	SecondAnswerOf    string        // the ID of the request that the answer was a second one to; "": it was none
	WrongBody         string        // of a 200 that no server wrote for this request; "": none
	Err               string
	NewConnection     bool // it was the first one on its connection
	ConnectionRefused bool // no connection came up
	Unread            bool // its node ended the connection and had not read all of it
}

// recordSecondAnswer notes how late a second answer to a request was written.
func (o *Observations) recordSecondAnswer(id string, lateness time.Duration) {
	if o.SecondAnswers == nil {
		o.SecondAnswers = map[string]time.Duration{}
	}
	o.SecondAnswers[id] = max(o.SecondAnswers[id], lateness)
}

// recorder collects observations. Its methods may be called from any goroutine.
type recorder struct {
	started time.Time

	mu           sync.Mutex
	observations Observations
}

// now is the run's clock.
func (r *recorder) now() time.Duration { return time.Since(r.started) }

// record changes the observations under the lock.
func (r *recorder) record(change func(*Observations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.observations)
}
