package checker

import "time"

// NodeStarted begins a node's incarnation, with nothing accepted and nothing known.
func (c *Checker) NodeStarted(name string) {
	c.nodes[name] = &node{requests: map[string]*request{}, endpoints: map[string]endpointState{}, overridden: map[string]time.Duration{}}
}

// NodeKilled ends it from outside: nothing is owed any more.
func (c *Checker) NodeKilled(name string) { delete(c.nodes, name) }

// NodeStopped ends it by itself: all that it accepted must have been answered.
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

// NodeUnresponsive says that nothing can be heard of a node: its process is stopped, or its links to clients are held up.
// Its machine may take requests and notifications all the same.
func (c *Checker) NodeUnresponsive(now time.Duration, name string) {
	if n := c.nodes[name]; n != nil && n.unresponsiveSince == 0 {
		n.unresponsiveSince = nonZero(now)
	}
}

// NodeResponsive says that the node is heard again. What it was notified of in the meantime counts from now, and what it
// owed before is due from now on, plus allowance, as long as its client still listens. How long a request has waited that
// came in the meantime the node can't know, and its client may leave before the node's time for it is over: whether that
// gets an answer is not judged.
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

// ConnectionsReset says that the connections between a node and its clients were reset by neither side: the requests on
// them may be answered or not.
func (c *Checker) ConnectionsReset(name string) {
	if n := c.nodes[name]; n != nil {
		for _, r := range n.requests {
			r.excused = true
		}
	}
}

// EndpointNotified is a state of a server that a node has been notified of, or counts as notified of.
func (c *Checker) EndpointNotified(now time.Duration, node, server string, ready bool) {
	n := c.nodes[node]
	if n == nil {
		return
	}
	if last, known := n.endpoints[server]; !known || last.ready != ready {
		n.endpoints[server] = endpointState{ready, now}
	}
}

// EndpointOverridden is an operator's call about a server that the node has confirmed. However often a server was
// disabled, one call enables it again; no notification does.
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

// ServerOverloaded is a warming server that fell over, and the request that did it.
func (c *Checker) ServerOverloaded(now time.Duration, node, id, server string) {
	c.report(WarmupOverload, now, node, id, server, "sent more than %.3g times what it could do within %v", c.rules.OverloadMultiple, c.rules.OverloadWindow)
}

// nonZero is a time that is to be stored where 0 stands for unset: an event at time 0 counts as one at 1 ns.
func nonZero(t time.Duration) time.Duration { return max(t, 1) }
