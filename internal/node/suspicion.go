package node

import (
	"time"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// A server that has sent unsolicited bytes may do so again, on any of its connections, and later than minReuseDelay
// after a response. Therefore the server is under suspicion for a while, and its connections have a longer reuse delay.
const (
	// suspicionDuration is how long a server is under suspicion after its last unsolicited bytes.
	suspicionDuration = 30 * time.Second

	// suspectReuseDelay is the minimum reuse delay for connections to a server under suspicion.
	suspectReuseDelay = 250 * time.Millisecond
)

// isSuspectLocked reports whether a target is under suspicion. The caller holds p.mu.
func (p *connPool) isSuspectLocked(target *engine.Target) bool {
	return p.clock.Now() < p.historyOf(target).suspectedUntil
}

// isSuspect reports whether a target is under suspicion.
func (p *connPool) isSuspect(target *engine.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isSuspectLocked(target)
}

// closeUnsolicited closes a connection on which unsolicited bytes were read together with a response, as with a wrong
// Content-Length. This does not put the server under suspicion: it says nothing about the server's other connections.
func (p *connPool) closeUnsolicited(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnsolicitedLocked(c)
}

// closeUnsolicitedLocked closes a connection because of unsolicited bytes, and counts the event. The caller holds p.mu.
func (p *connPool) closeUnsolicitedLocked(c *upstreamConn) {
	p.closeLocked(c, closedForUnsolicited)
	p.count(metrics.UnsolicitedResponses)
	p.count(metrics.ConnectionsAbandoned)
}

// suspectServer closes a connection on which unsolicited bytes arrived separately from a response, and puts its server
// under suspicion. Such bytes may also arrive on the server's other connections, so these are not reused before
// suspectReuseDelay. The caller holds p.mu.
func (p *connPool) suspectServer(c *upstreamConn) {
	if c.closed {
		return
	}
	p.closeUnsolicitedLocked(c)
	if !p.isSuspectLocked(c.target) {
		p.count(metrics.Suspicions)
		p.log.Warn("server under suspicion: it sent unsolicited bytes", "server", c.target.ID, "connection", c.number,
			"connection_uses", c.uses, "after_answer", p.clock.Now()-c.releasedAt, "for", suspicionDuration)
	}
	p.historyOf(c.target).suspectedUntil = p.clock.Now() + suspicionDuration
	for _, idle := range p.idleByTarget[c.target] {
		idle.postponeReuse(idle.releasedAt + suspectReuseDelay)
	}
}

// reusedTooSoon reports whether a connection that an attempt has acquired must not be reused yet, because its server
// has come under suspicion since. The caller holds p.mu.
func (p *connPool) reusedTooSoon(c *upstreamConn) bool {
	return c.uses > 0 && p.isSuspectLocked(c.target) && p.clock.Now() < c.releasedAt+suspectReuseDelay
}
