package engine

import (
	"net/netip"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

// Call is one request of a front's client. The front fills the exported fields and hands it in once.
type Call struct {
	Request      balancer.Request
	Tenant       string
	Budget       time.Duration // as the client gave it
	BodyTimeout  time.Duration // of a bulk call: the longest that its body may take
	Tags         metrics.Tags
	Retryable    bool // its class allows that it runs more than once
	AccessDenied bool // the lists keep its client out; of its request there is only the id
	Payload      any  // what the sender needs of it; the engine does not look at it
	// ClientGone, if it is there, says that the client of a bulk call has left before that can be read off its body.
	ClientGone func() bool

	closed atomic.Bool  // answered or given up by the client: nothing more may be sent for it
	left   atomic.Int64 // when its client has gone, by the engine's clock; the loop may not know yet; 0: it has not
	reply  chan Answer  // takes the one final answer without blocking

	attempts   int // the loop's own, as is the rest
	most       int // of them, by the settings that it came with
	out        int
	mayHaveRun bool // one of those that have ended
}

// Close marks the call as over and says whether it was open.
func (c *Call) Close() bool { return !c.closed.Swap(true) }

// Closed says that the call has its answer or its client left: nothing more may be sent for it.
func (c *Call) Closed() bool { return c.closed.Load() }

// Verdict is what a final answer says.
type Verdict int

const (
	// Served: an attempt succeeded, and Reply has what came back.
	Served Verdict = iota
	// Rejected: it did not run, or its class allows another run. The client may come back after RetryAfter.
	Rejected
	// Failed: it may have run and can't be sent again, or its time is over. Its client must not send it again.
	Failed
	// Denied: the address lists keep its client out.
	Denied
	// DuplicateID: another open call has its id.
	DuplicateID
	// Aborted: a drill ended it with Status.
	Aborted
)

// unavailable is the status with which a drill refuses; the module has these statuses as HTTP's.
const unavailable = 503

// Answer is the final answer to a call.
type Answer struct {
	Verdict    Verdict
	Status     int // of an aborted call, as its drill has it
	RetryAfter time.Duration
	Reply      any // what the sender got
}

// Target is a server at one address, from one start of it to the next.
type Target struct {
	ID   string
	Addr string
	Boot time.Duration

	stopped atomic.Int64 // when, by the engine's clock; 0: it is not
	calls   int          // that are out there; the loop's own
}

// StopSending marks a server as one that gets nothing new from a time on.
func (t *Target) StopSending(now time.Duration) { t.stopped.CompareAndSwap(0, int64(now)) }

// Stopped says that the server drains or is gone: nothing new may go to it.
func (t *Target) Stopped() bool { return t.stopped.Load() != 0 }

// Attempt is one send of a call.
type Attempt struct {
	Call     *Call
	Number   int
	Target   *Target
	Deadline time.Duration // of a bulk call: no more than a bound; its time runs from its body's last byte
	Timeout  time.Duration // how long the module waits for it
	Started  time.Duration

	begun bool   // a streamed answer is the client's; the loop's own
	lease *lease // on the list that the target is from; nil: it has no end
	guard *invariants.Guard
}

// MaySend says whether the attempt may still leave at a time. A sender asks right before it writes.
func (a *Attempt) MaySend(now time.Duration) bool {
	c := a.Call
	if a.lease.expired(now) || c.Closed() || c.left.Load() != 0 || a.Target.Stopped() || now >= a.Deadline {
		return false
	}
	return !c.Request.StreamedBody || c.ClientGone == nil || !c.ClientGone()
}

// Sent notes when the first byte of an attempt was written, and how long its server was told that the node waits; 0:
// nothing that counts from there. What is wrong with that is counted.
func (a *Attempt) Sent(began, told time.Duration) {
	c := a.Call
	a.guard.Note(invariants.Send{Began: began, Stopped: time.Duration(a.Target.stopped.Load()), ListExpires: a.lease.until(),
		ClientGone: time.Duration(c.left.Load()), Deadline: c.Request.Deadline, AnnouncedTimeout: told}.Check(),
		"id", c.Request.ID, "server", a.Target.ID, "attempt", a.Number)
}

// Result is how an attempt ended.
type Result struct {
	Attempt *Attempt
	Outcome balancer.Outcome
	Reply   any           // of a success; goes into the answer
	Latency time.Duration // of a stream, till its first message; 0: till now

	// For the log: why there is no answer, and what the attempt's connection had behind it.
	Err                           error
	ConnectionUses                int
	ConnectionAge, ConnectionIdle time.Duration
}

// Sender carries attempts to servers and hands each one's Result to Engine.Ended, once. No method may block.
type Sender interface {
	Start(*Attempt)
	// Retire ends what is kept for a target that gets nothing new.
	Retire(*Target)
}

// Endpoint is a server of a list and where it is reached.
type Endpoint struct {
	balancer.Server
	Addr string `json:"Addr"`
}

// Update is what a source has to tell: a list or its changes, or that it failed.
type Update struct {
	Version   int64 // as the source counts; the engine does not look at it
	Endpoints []Endpoint
	Complete  bool // the boxes are all that there are
	Cached    bool // they are from an earlier life of the node
	Failed    bool // an asked watch failed or ended
}

// FaultInjectionStart is a drill to start, and whose wish that is, where that is known.
type FaultInjectionStart struct {
	Name   string
	Client netip.Addr
}
