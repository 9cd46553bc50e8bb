package soak

import (
	"sync"
	"time"
)

// Observations holds everything that was observed in a run. All times are on one clock, which starts with the run.
type Observations struct {
	Drains         []DrainStart
	Deliveries     []Delivery
	Watches        []*Watch
	Incarnations   []Incarnation
	AddressChanges []AddressChange
	Outages        []Span // of discovery
	Stalls         []Span // in which the soak process itself was not scheduled
	Floods         []FloodSpan
	Series         int // number of signal series that were sent
	Attempts       []*Attempt
	Requests       []*Request
	LongAnswers    map[string]bool          // by request ID: a server has begun an answer of more than 64 KiB
	SecondAnswers  map[string]time.Duration // by request ID: the longest delay between an answer and its second answer
	NodeErrors     []string                 // broken invariants, panics and unexpected exits of nodes
}

// Span is an interval of time. An open span has no end yet.
type Span struct {
	From, To time.Duration
	Open     bool
}

// FloodSpan is an interval in which a connection flood holds connections to a node.
type FloodSpan struct {
	Node     int
	From, To time.Duration
}

// DrainStart records that a server began to drain, and the version of the endpoint list that marks it as draining.
type DrainStart struct {
	At      time.Duration
	Server  int
	Version int64
}

// Delivery is a list that discovery wrote to a node completely. Truncated lists are not recorded.
type Delivery struct {
	At      time.Duration
	Node    int
	Version int64
}

// Watch is a watch of a node, from its first list on.
type Watch struct {
	Node     int
	From     time.Duration
	To       time.Duration // 0: it is open
	SilentAt time.Duration // when it stopped delivering; 0: never
}

// fixWatches replaces the watches by copies, which do not change when the watches end with the run.
func fixWatches(o *Observations) {
	for i, watch := range o.Watches {
		fixed := *watch
		o.Watches[i] = &fixed
	}
}

// Incarnation is one process of a node.
type Incarnation struct {
	Node       int
	Started    time.Duration
	Ready      time.Duration // when it reported ready; 0: not yet
	Terminated time.Duration // when it was sent its first SIGTERM; 0: never
	Killed     time.Duration // when it was sent SIGKILL; 0: never
	Exited     time.Duration // when it had exited; 0: not yet
}

// AddressChange is a change of a node's discovery address, which SIGHUP announces.
type AddressChange struct {
	At   time.Duration
	Node int
}

// Attempt is the arrival of a request at a server.
type Attempt struct {
	ID             string
	Node           int
	Server         int
	HeadRead       time.Duration // when the server had read the head
	At             time.Duration // when the server began to handle it
	Budget         time.Duration // time until the deadline that the attempt states
	Executed       bool          // the server did not reject it
	Finished       time.Duration // when the server was done or the connection was closed; 0: never
	ConnectionLost bool          // the connection was closed before the server was done
}

// Request is a request of a client and its result.
type Request struct {
	ID                string
	Node              int
	NonIdempotent     bool
	At                time.Duration // when its client began to send it
	Written           time.Duration // when its last byte was written; 0: not written, or not known
	Deadline          time.Duration // counted from Written, or from At if it was not written
	ClientGone        time.Duration // when its client canceled; 0: never
	FirstByte         time.Duration // when its client had the head of the answer; 0: never
	Finished          time.Duration // when its client had the answer, or an error
	Status            int           // 0: no answer
	RetryAfter        bool          // the answer has a Retry-After header
	SecondAnswerOf    string        // ID of the request whose second answer this request received; "": none
	WrongBody         string        // quoted body of a 200 that no server wrote for this request; "": none
	Err               string
	NewConnection     bool // it was the first request on its connection
	ConnectionRefused bool // the connection could not be established
	Unread            bool // its node closed the connection before it had read the whole request
	Upload            bool // its body is long, or comes in pieces
	LongAnswer        bool // its answer has more than 64 KiB: only the first bytes are due at the deadline

	body slowBody // of an upload
}

// recordSecondAnswer records the delay of a second answer to a request.
func (o *Observations) recordSecondAnswer(id string, lateness time.Duration) {
	if o.SecondAnswers == nil {
		o.SecondAnswers = map[string]time.Duration{}
	}
	o.SecondAnswers[id] = max(o.SecondAnswers[id], lateness)
}

// recordLongAnswer records that a server begins a long answer to a request.
func (o *Observations) recordLongAnswer(id string) {
	if o.LongAnswers == nil {
		o.LongAnswers = map[string]bool{}
	}
	o.LongAnswers[id] = true
}

// recorder collects observations. It is safe for concurrent use.
type recorder struct {
	started time.Time

	mu           sync.Mutex
	observations Observations
}

// now returns the time on the clock of the run.
func (r *recorder) now() time.Duration { return time.Since(r.started) }

// record applies a change to the observations under the lock.
func (r *recorder) record(change func(*Observations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.observations)
}
