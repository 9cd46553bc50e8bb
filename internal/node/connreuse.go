package node

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
)

// Nothing in an HTTP/1.1 response names its request. It belongs to the request that is out on its connection, if nothing
// else was on its way there: a server that writes a second response breaks that, and each response behind it is taken for
// the next request's. So a connection rests after a response, and is looked at right before it is written to; what came
// meanwhile nobody asked for.
const (
	// minRest is how long a connection rests after a response at least. A second response comes within some milliseconds.
	minRest = 20 * time.Millisecond

	// provenRest is the rest after which a connection counts as proven. Proven ones are taken first.
	provenRest = 50 * time.Millisecond

	// restBudgetDivisor is the part of an attempt's time that it may wait for a connection to have rested.
	restBudgetDivisor = 4
)

// targetHistory is what the pool keeps of a server, until the server gets nothing new. Guarded by connPool.mu.
type targetHistory struct {
	waiting bool // an attempt waits for a connection that rests
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

// acquireIdle takes an idle connection to the attempt's target, and returns how long it still has to rest. It returns nil
// if there is none, or none that has rested soon enough. One that breaks from here on is noticed by markRequestSent. The
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
		if att.Call.Request.StreamedBody || wait > 0 && (history.waiting || wait > minRest || wait > (att.Deadline-now)/restBudgetDivisor) {
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

// waitUntilRested waits for a connection of acquireIdle.
func (p *connPool) waitUntilRested(c *upstreamConn, wait time.Duration) {
	if wait == 0 {
		return
	}
	<-time.After(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyOf(c.target).waiting = false
}

// beginRest notes that the response to a connection's request has come, and sets when the connection may be used again. The
// caller holds p.mu.
func (p *connPool) beginRest(c *upstreamConn) {
	c.releasedAt = p.clock.Now()
	c.reusableAt, c.provenAt = c.releasedAt+minRest, c.releasedAt+provenRest
}
