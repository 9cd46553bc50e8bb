package node

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// Nothing in an HTTP/1.1 response names its request. It belongs to the request that is out on its connection, if nothing
// else was on its way there: a server that writes a second response breaks that, and each response behind it is taken for
// the next request's. So a connection stays idle for a while after a response, and is looked at right before it is written
// to; what came meanwhile is unsolicited.
const (
	// minReuseDelay is from a response to the next request on its connection, at least. A second response comes within some
	// milliseconds.
	minReuseDelay = 20 * time.Millisecond

	// provenIdleTime is how long a connection is idle until it counts as proven. Proven ones are taken first.
	provenIdleTime = 50 * time.Millisecond

	// earlyMargin is by how much less than the mean time of its server a response has to take to count as early.
	earlyMargin = 5 * time.Millisecond

	// earlyReuseFactor times that mean time, from its request on, is when a connection is reused after an early response.
	earlyReuseFactor = 3

	// minEarlyReuseDelay and maxEarlyReuseDelay bound that time. The mean of a server that has answered only a few requests is
	// that of its fastest responses.
	minEarlyReuseDelay = 250 * time.Millisecond
	maxEarlyReuseDelay = time.Second // see minEarlyReuseDelay

	// reuseWaitDivisor sets how long an attempt may wait until a connection may be reused, as a part of its time.
	reuseWaitDivisor = 4

	// meanWeight is the weight of a new response in the mean time of a server.
	meanWeight = 0.1
)

// targetHistory is what the pool keeps of a server, until the server gets nothing new. Guarded by connPool.mu.
type targetHistory struct {
	meanTime       time.Duration // from a request's last byte to its response, or to the first of one that is streamed; 0: none has come
	suspectedUntil time.Duration // clock time
	waiting        bool          // an attempt waits until a connection may be reused
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

// addTime takes up how long a response took.
func (h *targetHistory) addTime(took time.Duration) {
	if h.meanTime == 0 {
		h.meanTime = took
		return
	}
	h.meanTime += time.Duration(meanWeight * float64(took-h.meanTime))
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
	if c = chooseIdle(idle, now); now < c.provenAt {
		history := p.historyOf(att.Target)
		wait = max(c.reusableAt-now, 0)
		if att.Call.Request.StreamedBody || wait > 0 && (history.waiting || wait > minReuseDelay || wait > (att.Deadline-now)/reuseWaitDivisor) {
			return nil, 0
		}
		history.waiting = history.waiting || wait > 0
	}
	p.removeIdle(c)
	c.deadline = deadline
	c.SetDeadline(deadline)
	return c, wait
}

// chooseIdle chooses the proven connection that was used last, which is the least likely to be closed by its server just
// now; else the one that may be used first.
func chooseIdle(idle []*upstreamConn, now time.Duration) *upstreamConn {
	for _, c := range slices.Backward(idle) {
		if now >= c.provenAt {
			return c
		}
	}
	return slices.MinFunc(idle, func(a, b *upstreamConn) int { return int(a.reusableAt - b.reusableAt) })
}

// waitForReuse waits for a connection of acquireIdle.
func (p *connPool) waitForReuse(c *upstreamConn, wait time.Duration) {
	if wait == 0 {
		return
	}
	<-time.After(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyOf(c.target).waiting = false
}

// scheduleReuse notes that the response to a connection's request has come, and sets when the connection may be reused.
//
// A response that came early, and soon behind the one before, may be a second one to the request before. The true one is
// still to come then, and the connection is not reused for as long as that may take. The caller holds p.mu.
func (p *connPool) scheduleReuse(c *upstreamConn) {
	now := p.clock.Now()
	history, took := p.historyOf(c.target), c.answeredAt-c.sentAt
	soon := c.uses > 1 && c.answeredAt < c.releasedAt+provenIdleTime
	c.releasedAt, c.reusableAt, c.provenAt = now, now+minReuseDelay, now+provenIdleTime
	if p.suspects(c.target) {
		c.postponeReuse(now + suspectReuseDelay)
	}
	if soon && took+earlyMargin < history.meanTime {
		p.count(metrics.EarlyResponses)
		c.postponeReuse(c.sentAt + min(max(earlyReuseFactor*history.meanTime, minEarlyReuseDelay), maxEarlyReuseDelay))
		return
	}
	history.addTime(took)
}

// postponeReuse sets the earliest time at which a connection may be reused.
func (c *upstreamConn) postponeReuse(until time.Duration) {
	c.reusableAt = max(c.reusableAt, until)
	c.provenAt = max(c.provenAt, c.reusableAt)
}
