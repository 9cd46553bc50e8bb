package node

import (
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// A server that sends bytes that nobody asked for may do so again, on any of its connections, and later than minReuseDelay.
// For a while it is under suspicion, and its connections stay idle for longer before they are reused.
const (
	// suspicionTime is how long a server is under suspicion.
	suspicionTime = 30 * time.Second

	// suspectReuseDelay is minReuseDelay for a server under suspicion.
	suspectReuseDelay = 250 * time.Millisecond
)

// suspects reports whether a target has lately sent what nobody asked for. The caller holds p.mu.
func (p *connPool) suspects(target *engine.Target) bool {
	return p.clock.Now() < p.historyOf(target).suspectedUntil
}

// isSuspect is suspects for those who don't hold p.mu.
func (p *connPool) isSuspect(target *engine.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects(target)
}

// closeUnasked closes a connection on which more than the response has come in one piece with it. That says nothing of the
// server's other connections: all that there was is at hand.
func (p *connPool) closeUnasked(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteUnasked(c)
}

// noteUnasked closes a connection for bytes that nobody asked for, and counts them. The caller holds p.mu.
func (p *connPool) noteUnasked(c *upstreamConn) {
	p.closeLocked(c, closedForUnsolicited)
	p.count(metrics.UnsolicitedResponses)
	p.count(metrics.ConnectionsAbandoned)
}

// suspectServer closes a connection on which bytes that nobody asked for have come by themselves, and puts its server under
// suspicion: its other connections may bring such bytes too, and are not reused until these would have come. The caller
// holds p.mu.
func (p *connPool) suspectServer(c *upstreamConn) {
	if c.closed {
		return
	}
	p.noteUnasked(c)
	if !p.suspects(c.target) {
		p.count(metrics.Suspicions)
		p.log.Warn("server under suspicion: it sent bytes that nobody asked for", "server", c.target.ID, "connection", c.number,
			"connection_uses", c.uses, "after_answer", p.clock.Now()-c.releasedAt, "for", suspicionTime)
	}
	p.historyOf(c.target).suspectedUntil = p.clock.Now() + suspicionTime
	for _, idle := range p.idleByTarget[c.target] {
		idle.postponeReuse(idle.releasedAt + suspectReuseDelay)
	}
}

// reusedTooSoon reports whether an attempt took a connection just before its server came under suspicion. The caller holds
// p.mu.
func (p *connPool) reusedTooSoon(c *upstreamConn) bool {
	return c.uses > 0 && p.suspects(c.target) && p.clock.Now() < c.releasedAt+suspectReuseDelay
}
