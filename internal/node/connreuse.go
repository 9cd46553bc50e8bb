package node

import (
	"cmp"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// Nothing in an HTTP/1.1 response names its request. It belongs to the request that is out on its connection, if nothing
// else was on its way there: a server that writes a second response breaks that. So a connection stays idle for a while after
// a response, and is looked at right before it is written to; what came meanwhile is unsolicited.
//
// A second response that comes later than minReuseDelay may be taken for that of the next request, and the own response of
// that request for that of the one behind, and so on, without end. A response is in doubt, therefore, if it came on a reused
// connection within maxSecondResponseDelay of the response before, and its connection is then not reused until its request
// is over. Why this holds, whatever the times of a server are:
//
//   - A second response that is taken for another request's comes within maxSecondResponseDelay of the first, so it is in doubt.
//   - The own response to the request that was given it comes while that request is not over, and meets an idle connection,
//     which is closed for it.
//   - So a connection that is reused has no response outstanding but second ones to the request before.
//
// It does not hold for a second response that is later still, for a server that answers requests that are over, nor for a
// pool that has all the connections it may have (chooseInDoubt).
const (
	// minReuseDelay is from a response to the next request on its connection, at least. Most second responses come within
	// some milliseconds.
	minReuseDelay = 20 * time.Millisecond

	// maxSecondResponseDelay is from a response to a second one that must send no other astray, at most: 100 ms, and 50 ms
	// for a node or server that is held up. A connection that has been idle for so long counts as proven, and is taken first.
	maxSecondResponseDelay = 150 * time.Millisecond

	// minDoubtDuration is from a request to the next one behind a response in doubt, at least: a server may go on with a request
	// whose client waits only briefly.
	minDoubtDuration = time.Second

	// fullPoolReuseFactor times the mean time of its server, from its request on, is when a connection in doubt is reused
	// nevertheless, where there may be no further connection.
	fullPoolReuseFactor = 3

	// reuseWaitDivisor sets how long an attempt may wait until a connection may be reused, as a part of its time.
	reuseWaitDivisor = 4

	// responseTimeWeight is the weight of a new response in the mean time of a server.
	responseTimeWeight = 0.1
)

// targetHistory is what the pool keeps of a server, until the server gets nothing new. Guarded by connPool.mu.
type targetHistory struct {
	meanResponseTime time.Duration // from a request's last byte to its response, or to the first of one that is streamed; 0: none has come
	suspectedUntil   time.Duration // clock time
	hasWaiter        bool          // an attempt waits until a connection may be reused
}

// historyOf returns the history of a target. That of one which gets nothing new is not kept. The caller holds p.mu.
func (p *connPool) historyOf(target *engine.Target) *targetHistory {
	h := p.histories[target]
	if h == nil {
		h = &targetHistory{}
		if !target.Stopped() {
			p.histories[target] = h
		}
	}
	return h
}

// addResponseTime takes up how long a response took.
func (h *targetHistory) addResponseTime(responseTime time.Duration) {
	if h.meanResponseTime == 0 {
		h.meanResponseTime = responseTime
		return
	}
	h.meanResponseTime += time.Duration(responseTimeWeight * float64(responseTime-h.meanResponseTime))
}

// reuseDelay is from a response of a server to the next request on its connection: so long that the next response is not
// likely to be in doubt, which would cost more than a new connection does.
func (h *targetHistory) reuseDelay() time.Duration {
	return max(maxSecondResponseDelay-h.meanResponseTime, minReuseDelay)
}

// acquireIdle takes an idle connection to the attempt's target, and returns how long until it may be reused. It returns nil
// if there is none, or that would be too long. One that breaks from here on is noticed by markRequestSent. The
// caller holds p.mu.
func (p *connPool) acquireIdle(att *engine.Attempt, deadline time.Time) (c *upstreamConn, wait time.Duration) {
	idle := p.idleByTarget[att.Target]
	if len(idle) == 0 {
		return nil, 0
	}
	now := p.clock.Now()
	if c = chooseIdle(idle, now); now < c.safeAt {
		if c, wait = p.chooseNotYetSafe(c, att, now); c == nil {
			return nil, 0
		}
	}
	p.removeIdle(c)
	c.deadline = deadline
	c.SetDeadline(deadline)
	c.requestDeadline = att.Call.Request.Deadline
	return c, wait
}

// chooseIdle chooses the proven connection that was used last, which is the least likely to be closed by its server just
// now; else the one that may be used first.
func chooseIdle(idle []*upstreamConn, now time.Duration) *upstreamConn {
	for _, c := range slices.Backward(idle) {
		if now >= c.safeAt {
			return c
		}
	}
	return slices.MinFunc(idle, func(a, b *upstreamConn) int { return cmp.Compare(a.reusableAt, b.reusableAt) })
}

// chooseNotYetSafe returns the first connection that may be used, where none is proven, and how long until then; nil if that
// would be too long, and one in doubt is no choice either. The caller holds p.mu.
func (p *connPool) chooseNotYetSafe(first *upstreamConn, att *engine.Attempt, now time.Duration) (c *upstreamConn, wait time.Duration) {
	if att.Call.Request.StreamedBody {
		return nil, 0
	}
	if wait = max(first.reusableAt-now, 0); wait == 0 {
		return first, 0
	}
	history := p.historyOf(att.Target)
	if history.hasWaiter || wait > minReuseDelay || wait > (att.Deadline-now)/reuseWaitDivisor {
		return p.chooseInDoubt(att.Target, now), 0
	}
	history.hasWaiter = true
	return first, wait
}

// chooseInDoubt returns the connection to a target whose response is the least in doubt, where the pool has all the
// connections that it may have: another one would be closed for a new one. It returns nil if the pool has room, or the doubt
// is too fresh. The caller holds p.mu.
func (p *connPool) chooseInDoubt(target *engine.Target, now time.Duration) *upstreamConn {
	history := p.historyOf(target)
	if len(p.conns)+p.dialing < p.maxConns || history.meanResponseTime == 0 || p.isSuspectLocked(target) {
		return nil
	}
	c := slices.MinFunc(p.idleByTarget[target], func(a, b *upstreamConn) int { return cmp.Compare(a.sentAt, b.sentAt) })
	if now < c.releasedAt+minReuseDelay || now < c.sentAt+fullPoolReuseFactor*history.meanResponseTime {
		return nil
	}
	return c
}

// waitForReuse waits for a connection of acquireIdle.
func (p *connPool) waitForReuse(c *upstreamConn, wait time.Duration) {
	if wait == 0 {
		return
	}
	<-time.After(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyOf(c.target).hasWaiter = false
}

// scheduleReuse notes that the response to a connection's request has come, and sets when the connection may be reused. The
// caller holds p.mu.
func (p *connPool) scheduleReuse(c *upstreamConn) {
	now := p.clock.Now()
	inDoubt := c.uses > 1 && c.responseReadAt < c.releasedAt+maxSecondResponseDelay
	history := p.historyOf(c.target)
	history.addResponseTime(c.responseReadAt - c.sentAt)
	c.releasedAt, c.reusableAt, c.safeAt = now, now+history.reuseDelay(), now+maxSecondResponseDelay
	if p.isSuspectLocked(c.target) {
		c.postponeReuse(now + suspectReuseDelay)
	}
	if inDoubt {
		p.count(metrics.EarlyResponses)
		c.postponeReuse(max(c.requestDeadline, c.sentAt+minDoubtDuration))
	}
}

// postponeReuse sets the earliest time at which a connection may be reused.
func (c *upstreamConn) postponeReuse(until time.Duration) {
	c.reusableAt = max(c.reusableAt, until)
	c.safeAt = max(c.safeAt, c.reusableAt)
}
