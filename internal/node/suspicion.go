package node

import (
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// A server that sends bytes that nobody asked for may do so again, on any of its connections, and later than minReuseDelay.
// For a while it is under suspicion, and its connections stay idle for longer before they are reused.
const (
	// suspicionDuration is how long a server is under suspicion.
	suspicionDuration = 30 * time.Second

	// suspectReuseDelay is minReuseDelay for a server under suspicion.
	suspectReuseDelay = 250 * time.Millisecond
)

// isSuspectLocked reports whether a target has lately sent what nobody asked for. The caller holds p.mu.
func (p *connPool) isSuspectLocked(target *engine.Target) bool {
	return p.clock.Now() < p.historyOf(target).suspectedUntil
}

// isSuspect is suspects for those who don't hold p.mu.
func (p *connPool) isSuspect(target *engine.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isSuspectLocked(target)
}

// closeUnsolicited closes a connection on which more than the response has come in one piece with it. That says nothing of the
// server's other connections: all that there was is at hand.
func (p *connPool) closeUnsolicited(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnsolicitedLocked(c)
}

// closeUnsolicitedLocked closes a connection for bytes that nobody asked for, and counts them. The caller holds p.mu.
func (p *connPool) closeUnsolicitedLocked(c *upstreamConn) {
	p.closeLocked(c, closedForUnasked)
	p.count(metrics.UnaskedResponses)
	p.count(metrics.ConnectionsGivenUp)
}

// suspectServer closes a connection on which bytes that nobody asked for have come by themselves, and puts its server under
// suspicion: its other connections may bring such bytes too, and are not reused until these would have come. The caller
// holds p.mu.
func (p *connPool) suspectServer(c *upstreamConn) {
	if c.closed {
		return
	}
	p.closeUnsolicitedLocked(c)
	if !p.isSuspectLocked(c.target) {
		p.count(metrics.Suspicions)
		p.log.Warn("server under suspicion: it sent bytes that nobody asked for", "server", c.target.ID, "connection", c.number,
			"connection_uses", c.uses, "after_answer", p.clock.Now()-c.releasedAt, "for", suspicionDuration)
	}
	p.historyOf(c.target).suspectedUntil = p.clock.Now() + suspicionDuration
	for _, idle := range p.idleByTarget[c.target] {
		idle.postponeReuse(idle.releasedAt + suspectReuseDelay)
	}
}

// reusedTooSoon reports whether an attempt took a connection just before its server came under suspicion. The caller holds
// p.mu.
func (p *connPool) reusedTooSoon(c *upstreamConn) bool {
	return c.uses > 0 && p.isSuspectLocked(c.target) && p.clock.Now() < c.releasedAt+suspectReuseDelay
}
