package checker

import "time"

// NodeStarted begins an incarnation of a node, which has accepted no requests and knows no servers.
func (c *Checker) NodeStarted(name string) {
	c.nodes[name] = &node{requests: map[string]*request{}, endpoints: map[string]endpointState{}, overridden: map[string]time.Duration{}}
}

// NodeKilled records that a node was killed: it need not answer its open requests.
func (c *Checker) NodeKilled(name string) { delete(c.nodes, name) }

// NodeStopped records that a node exited by itself: it must have answered every request that it accepted.
func (c *Checker) NodeStopped(now time.Duration, name string) {
	n := c.nodes[name]
	if n == nil {
		return
	}
	for _, id := range sortedKeys(n.requests) {
		if r := n.requests[id]; !r.answered && !r.clientGone && !r.excused {
			c.report(NothingLost, now, name, id, "", "accepted and not answered when the node stopped")
		}
	}
	delete(c.nodes, name)
}

// NodeUnresponsive records that a node cannot respond: its process is stopped, or its links to clients are held up. Its
// machine may still receive requests and notifications.
func (c *Checker) NodeUnresponsive(now time.Duration, name string) {
	if n := c.nodes[name]; n != nil && n.unresponsiveSince == 0 {
		n.unresponsiveSince = nonZero(now)
	}
}

// NodeResponsive records that the node can respond again. Notifications that arrived in the meantime count from now. A
// request that was accepted before the node became unresponsive is due allowance from now at the earliest, if its client
// still listens. A request that arrived in the meantime is excused: the node cannot know how long it has waited, and the
// client may leave before the deadline that the node computes.
func (c *Checker) NodeResponsive(now time.Duration, name string, allowance time.Duration) {
	n := c.nodes[name]
	if n == nil || n.unresponsiveSince == 0 {
		return
	}
	for server, state := range n.endpoints {
		if state.since >= n.unresponsiveSince {
			n.endpoints[server] = endpointState{state.ready, now}
		}
	}
	for _, r := range n.requests {
		r.excused = r.excused || r.acceptedAt >= n.unresponsiveSince || r.deadline+clientListenTime <= now
		r.deadline = max(r.deadline, now+c.ObservationLag+allowance)
	}
	n.unresponsiveSince = 0
}

// ConnectionsReset records that the network reset the connections between a node and its clients. The requests on them may
// remain unanswered.
func (c *Checker) ConnectionsReset(name string) {
	if n := c.nodes[name]; n != nil {
		for _, r := range n.requests {
			r.excused = true
		}
	}
}

// EndpointNotified records the state of a server that a node was notified of, or counts as notified of.
func (c *Checker) EndpointNotified(now time.Duration, node, server string, ready bool) {
	n := c.nodes[node]
	if n == nil {
		return
	}
	if last, known := n.endpoints[server]; !known || last.ready != ready {
		n.endpoints[server] = endpointState{ready, now}
	}
}

// EndpointOverridden records an administrative override of a server that the node has confirmed. However often a server
// was disabled, one call enables it again; a notification does not.
func (c *Checker) EndpointOverridden(now time.Duration, node, server string, disabled bool) {
	n := c.nodes[node]
	if n == nil {
		return
	}
	if !disabled {
		delete(n.overridden, server)
		return
	}
	if _, already := n.overridden[server]; !already {
		n.overridden[server] = now
	}
}

// ServerOverloaded records a request that overloaded a server while it was warming up.
func (c *Checker) ServerOverloaded(now time.Duration, node, id, server string) {
	c.report(WarmupOverload, now, node, id, server, "the server got more than %.3g times its capacity within %v", c.rules.OverloadMultiple, c.rules.OverloadWindow)
}

// nonZero returns a time for a field in which 0 means unset: an event at time 0 counts as one at 1 ns.
func nonZero(t time.Duration) time.Duration { return max(t, 1) }
