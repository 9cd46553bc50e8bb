package engine

import (
	"math"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Lease says until when the list of servers may be relied on.
type Lease struct {
	Until     time.Time // with a reading of the monotonic clock
	Unbounded bool      // there is no end: the source is away, and has nothing that counts
}

// lease is the one that is in force. Senders ask for it right before they write, whatever the loop is busy with.
type lease struct {
	end     *atomic.Int64 // a time of the engine's clock
	renewed chan struct{} // takes a wish to look again without blocking
}

// newLease makes one without an end: it is in force until a source says otherwise.
func newLease() lease {
	l := lease{end: new(atomic.Int64), renewed: make(chan struct{}, 1)}
	l.end.Store(math.MaxInt64)
	return l
}

// until is when it ends; nil has no end.
func (l *lease) until() time.Duration {
	if l == nil {
		return math.MaxInt64
	}
	return time.Duration(l.end.Load())
}

// expired says that the list may not be relied on at a time.
func (l *lease) expired(now time.Duration) bool { return now >= l.until() }

// RenewLease says until when the list may be relied on. It does not block, and holds at once for what has not been written.
func (e *Engine) RenewLease(l Lease) {
	until := time.Duration(math.MaxInt64)
	if !l.Unbounded {
		until = e.Clock.Of(l.Until)
	}
	e.lease.end.Store(int64(until))
	select {
	case e.lease.renewed <- struct{}{}:
	default:
	}
}

// checkLease tells the module when the list has expired, and when it may be relied on again.
func (e *Engine) checkLease() {
	expired := e.lease.expired(e.Clock.Now())
	if expired == e.expired {
		return
	}
	e.expired = expired
	e.decide(balancer.EndpointLease{Expired: expired})
}
