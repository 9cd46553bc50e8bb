package engine

import (
	"math"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Lease says until when the endpoint list may be relied on.
type Lease struct {
	Until time.Time // with a reading of the monotonic clock
}

// noExpiry is when a lease expires that no source of lists has set.
const noExpiry = time.Duration(math.MaxInt64)

// leaseDeadline is when the lease in force ends. It guards against sends that rest on an expired list: discovery may long have
// announced that a server drains, and this node not have heard of it. Such sends show as broken invariants "drain". The
// balancer is notified when the lease expires, but attempts that it decided on earlier may still wait for a connection, and
// the loop may be busy; so senders read the lease themselves, right before they write. Any goroutine may use it.
type leaseDeadline struct {
	expiry  atomic.Int64  // by the engine's clock
	changed chan struct{} // wakes the loop; buffers one, so that RenewLease need not block
}

// newLeaseDeadline makes a lease without an end, in force until a source says otherwise.
func newLeaseDeadline() *leaseDeadline {
	l := &leaseDeadline{changed: make(chan struct{}, 1)}
	l.expiry.Store(int64(noExpiry))
	return l
}

// expiresAt is when the lease expires, by the engine's clock. A nil lease has no end.
func (l *leaseDeadline) expiresAt() time.Duration {
	if l == nil {
		return noExpiry
	}
	return time.Duration(l.expiry.Load())
}

// expired says that the list may not be relied on at a time of the engine's clock.
func (l *leaseDeadline) expired(now time.Duration) bool { return now >= l.expiresAt() }

// RenewLease says until when the endpoint list may be relied on. It doesn't block, and holds at once for all that has not
// been written.
func (e *Engine) RenewLease(l Lease) {
	e.lease.expiry.Store(int64(e.Clock.FromTime(l.Until)))
	select {
	case e.lease.changed <- struct{}{}:
	default:
	}
}

// checkLease notifies the balancer when the lease has expired, and when it is in force again.
func (e *Engine) checkLease() {
	expired := e.lease.expired(e.Clock.Now())
	if expired == e.leaseExpired {
		return
	}
	e.leaseExpired = expired
	e.decide(balancer.LeaseChanged{Expired: expired})
}
