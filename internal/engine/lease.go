package engine

import (
	"math"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Lease says until when the endpoint list is valid.
type Lease struct {
	Until time.Time // must have a monotonic clock reading
}

// noExpiry is the expiry of a lease that no endpoint source has set.
const noExpiry = time.Duration(math.MaxInt64)

// leaseDeadline holds the expiry of the current lease on the endpoint list. It prevents sends that are based on an expired
// list: discovery may have announced long ago that a server is draining, without this node receiving the update. Such sends
// violate the invariant "drain".
//
// The balancer is notified when the lease expires. But attempts that it started earlier may still wait for a connection,
// and the event loop may be busy. Therefore Senders read the lease themselves, immediately before they write. Any goroutine
// may use it.
type leaseDeadline struct {
	expiry  atomic.Int64  // on the engine's clock
	changed chan struct{} // wakes the event loop; buffers one value, so that RenewLease does not block
}

// newLeaseDeadline returns a lease that does not expire until an endpoint source sets an expiry.
func newLeaseDeadline() *leaseDeadline {
	l := &leaseDeadline{changed: make(chan struct{}, 1)}
	l.expiry.Store(int64(noExpiry))
	return l
}

// expiresAt returns when the lease expires, on the engine's clock. A nil lease never expires.
func (l *leaseDeadline) expiresAt() time.Duration {
	if l == nil {
		return noExpiry
	}
	return time.Duration(l.expiry.Load())
}

// expired reports whether the lease has expired at the time now of the engine's clock.
func (l *leaseDeadline) expired(now time.Duration) bool { return now >= l.expiresAt() }

// RenewLease sets the time until which the endpoint list is valid. It doesn't block. It takes effect immediately for all
// attempts that have not been sent.
func (e *Engine) RenewLease(l Lease) {
	e.lease.expiry.Store(int64(e.Clock.FromTime(l.Until)))
	select {
	case e.lease.changed <- struct{}{}:
	default:
	}
}

// checkLease notifies the balancer if the lease has expired, or is valid again, since it was last notified.
func (e *Engine) checkLease() {
	expired := e.lease.expired(e.Clock.Now())
	if expired == e.leaseExpired {
		return
	}
	e.leaseExpired = expired
	e.decide(balancer.LeaseChanged{Expired: expired})
}
