package balancer

// beginShutdown ends all fault injections for good: a node that shuts down must not spend its last seconds
// on injected delays, or it would be killed before its requests are answered. Nothing else changes: until
// the host stops, requests are accepted, sent and answered as before, so that clients that have not been
// notified yet are served.
func (b *Balancer) beginShutdown() {
	b.shuttingDown = true
	if b.faults == nil {
		return
	}
	clear(b.faults.activeUntil)
	for len(b.faults.delayed) > 0 {
		b.resumeRequest(b.faults.delayed[0])
	}
}
