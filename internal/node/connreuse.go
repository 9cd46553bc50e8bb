package node

import (
	"cmp"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// An HTTP/1.1 response does not name its request. The pool matches it to the request that was sent last on its
// connection. If a server writes a second response to the same request, the next match is wrong. Therefore a connection
// stays idle for a while after a response (the reuse delay), and is checked again right before the next request is written:
// bytes that arrived meanwhile are unsolicited, and the connection is closed.
//
// A second response that arrives later than minReuseDelay may be matched to the next request. The real response to that
// request would then be matched to the request after it, and so on without end. Therefore a response that arrives on a
// reused connection within maxSecondResponseDelay of the previous response is in doubt: its connection is not reused
// before its request's deadline, nor before minDoubtDuration has passed. This prevents such a chain, whatever the
// server's response times are:
//
//   - A second response that is matched to the next request arrives within maxSecondResponseDelay of the first, so it
//     is in doubt.
//   - The real response to that next request arrives before that request's deadline, on an idle connection, which is
//     then closed because of unsolicited bytes.
//   - So the only responses that can still arrive on a connection that is reused are second responses to its last
//     request.
//
// There is no such guarantee for a second response that arrives later than maxSecondResponseDelay, for a server that
// responds to a request only after that time, or for a pool at its connection limit (chooseInDoubt).
//
// A connection is called safe if it may be reused and has been idle for so long that no second response is expected on
// it any more.
const (
	// minReuseDelay is the minimum time from a response to the next request on its connection. Most second responses
	// arrive within a few milliseconds.
	minReuseDelay = 20 * time.Millisecond

	// maxSecondResponseDelay is the longest delay of a second response, after the first, against which the pool protects
	// the following requests: 100 ms, plus 50 ms for a delayed node or server.
	maxSecondResponseDelay = 150 * time.Millisecond

	// minDoubtDuration is the minimum time from a request whose response is in doubt to the next request on the
	// connection. The request's deadline alone may be too short: a server may keep working on a request after it.
	minDoubtDuration = time.Second

	// fullPoolReuseFactor applies to a pool at its connection limit: a connection whose response is in doubt may be
	// reused once this many mean response times of its server have passed since its request was sent.
	fullPoolReuseFactor = 3

	// reuseWaitDivisor limits an attempt's wait for a connection to become reusable to a quarter of the attempt's
	// remaining time.
	reuseWaitDivisor = 4

	// responseTimeWeight is the weight of a new response in the moving average of a server's response times.
	responseTimeWeight = 0.1
)

// targetHistory is what the pool remembers of a server until the server gets no new requests. connPool.mu guards it.
type targetHistory struct {
	meanResponseTime time.Duration // moving average of the times from sentAt to responseReadAt; 0: no response yet
	suspectedUntil   time.Duration // clock time
	hasWaiter        bool          // an attempt waits for a connection to become reusable
}

// historyOf returns the history of a target. If there is none, it returns a new one, which it stores unless the target
// gets no new requests. The caller holds p.mu.
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

// addResponseTime updates the mean response time.
func (h *targetHistory) addResponseTime(responseTime time.Duration) {
	if h.meanResponseTime == 0 {
		h.meanResponseTime = responseTime
		return
	}
	h.meanResponseTime += time.Duration(responseTimeWeight * float64(responseTime-h.meanResponseTime))
}

// reuseDelay returns the time from a response of a server to the next request on its connection. It is long enough
// that the next response is unlikely to be in doubt: a response in doubt costs more than a new connection.
func (h *targetHistory) reuseDelay() time.Duration {
	return max(maxSecondResponseDelay-h.meanResponseTime, minReuseDelay)
}

// acquireIdle takes an idle connection to the attempt's target, and returns the time until it may be reused. It returns
// nil if there is no idle connection, or the wait would be too long. If the connection breaks afterwards, beginRequest
// detects it. The caller holds p.mu.
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

// chooseIdle returns the most recently used of the connections that are safe to reuse, since its server is the least
// likely to be closing it. If none is safe, it returns the connection that may be reused earliest.
func chooseIdle(idle []*upstreamConn, now time.Duration) *upstreamConn {
	for _, c := range slices.Backward(idle) {
		if now >= c.safeAt {
			return c
		}
	}
	return slices.MinFunc(idle, func(a, b *upstreamConn) int { return cmp.Compare(a.reusableAt, b.reusableAt) })
}

// chooseNotYetSafe chooses a connection if none is safe to reuse yet. The argument first is the connection that may be
// reused earliest. chooseNotYetSafe returns first and the time until it may be reused. If that wait would be too long, or
// another attempt already waits for a connection to the target, it returns the result of chooseInDoubt. It returns nil
// for a streamed request, whose response may arrive before its last byte is sent. The caller holds p.mu.
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

// chooseInDoubt returns the idle connection to a target on which the last request was sent the longest ago, although the
// response to that request may be in doubt. It does so only at the connection limit, where a new connection would
// replace another one. It returns nil if the target is under suspicion, if its mean response time is unknown, or if the
// request or its response is too recent. The caller holds p.mu.
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

// waitForReuse waits until a connection returned by acquireIdle may be reused.
func (p *connPool) waitForReuse(c *upstreamConn, wait time.Duration) {
	if wait == 0 {
		return
	}
	<-time.After(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyOf(c.target).hasWaiter = false
}

// scheduleReuse sets when a connection may be reused after a response, and updates its server's mean response time. The
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

// postponeReuse prevents the reuse of a connection before a time.
func (c *upstreamConn) postponeReuse(until time.Duration) {
	c.reusableAt = max(c.reusableAt, until)
	c.safeAt = max(c.safeAt, c.reusableAt)
}
