package fleet

import (
	"fmt"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// jitterDivisor divides the delay of a slow link to give its jitter.
const jitterDivisor = 4

// linkFault is a fault on the links of a target: links[i] has faults[i] while the fault is active.
type linkFault struct {
	rig    *rig
	fault  model.ProcessFault
	links  []*networkLink
	faults []link.Fault
	remove func(reset bool) // removes the fault; nil until the fault has begun
}

// linkFault returns the functions that begin and end a link fault.
func (r *rig) linkFault(f model.ProcessFault) (begin, end func() error, err error) {
	l := &linkFault{rig: r, fault: f}
	if err := l.findLinks(); err != nil {
		return nil, nil, err
	}
	if f.Kind == scenario.FaultResetLink {
		return l.reset, func() error { return nil }, nil
	}
	return l.begin, l.end, nil
}

// findLinks determines the links of the target and the fault of each.
func (l *linkFault) findLinks() error {
	f := l.fault
	if f.Kind == scenario.FaultBreakLink && f.Peer != scenario.TargetServers && f.Peer != scenario.TargetDiscovery {
		return fmt.Errorf("%s: a break_link must target links to boxes or discovery, because only their callers can distinguish it from an answer", f.Position)
	}
	peer := endKind(f.Peer)
	if f.Peer == scenario.TargetAll {
		peer = anyEnd
	}
	for _, e := range l.rig.targetEnds(f) {
		links, targetIsCalled := l.rig.network.linksOf(e, peer)
		for i, found := range links {
			l.links, l.faults = append(l.links, found), append(l.faults, faultOf(f, targetIsCalled[i]))
		}
	}
	if len(l.links) == 0 {
		return fmt.Errorf("%s: %s and %s have no link", f.Position, f.Target, f.Peer)
	}
	return nil
}

// targetEnds returns the link ends that a fault targets.
func (r *rig) targetEnds(f model.ProcessFault) (ends []linkEnd) {
	switch f.Target {
	case scenario.TargetNodes:
		ends = append(ends, nodeAt(r.infos[f.Targets[0]].Base))
	case scenario.TargetDiscovery:
		ends = append(ends, linkEnd{discoveryEnd, ""})
	case scenario.TargetServers:
		for _, id := range r.serverIDs(r.workersOfTier(f.Tier)[f.Targets[0]]) {
			ends = append(ends, serverAt(id))
		}
	}
	return ends
}

// faultOf returns the fault of one link of the target. far means that the target is the called side of the link, so that
// traffic out of the target is downstream on the link.
func faultOf(f model.ProcessFault, targetIsCalled bool) (fault link.Fault) {
	out, back := link.Upstream, link.Downstream
	if targetIsCalled {
		out, back = back, out
	}
	var directions [2]bool
	directions[out] = f.Direction != scenario.DirectionBack
	directions[back] = f.Direction != scenario.DirectionOut
	switch f.Kind {
	case scenario.FaultLinkDown:
		fault.Stall = directions
	case scenario.FaultHalfOpen:
		fault.HoldFIN = directions
	case scenario.FaultSlowLink:
		fault.Delay, fault.Jitter, fault.BytesPerSecond = f.Delay, f.Delay/jitterDivisor, f.BytesPerSecond
	case scenario.FaultRefuseLink:
		fault.Refuse = true
	case scenario.FaultBreakLink:
		fault.ResetAfter = int64(max(f.Bytes, 1))
	}
	return fault
}

// reset resets the connections of the links once.
func (l *linkFault) reset() error {
	for _, n := range l.links {
		l.rig.recordReset(n)
		n.Reset()
	}
	return nil
}

// begin injects the faults. Nodes that do not receive discovery's updates are recorded as muted from before the fault until
// after it.
func (l *linkFault) begin() error {
	l.recordHeld(blackbox.LinkHeld, blackbox.ClientsMuted)
	for name := range l.mutedNodes() {
		l.rig.nodes.Record(blackbox.Event{Kind: blackbox.WatchMuted, Node: name})
	}
	l.remove = l.rig.network.addFault(l.links, l.faults)
	return nil
}

// end removes the faults. It either resets the links or lets the data that they held arrive.
func (l *linkFault) end() error {
	if l.remove == nil {
		return nil
	}
	reset := l.fault.Recovery == scenario.RecoveryReset
	if reset {
		for _, n := range l.links {
			l.rig.recordReset(n)
		}
	}
	stillOpen := map[string]bool{} // by node: its watch is still open, and the link held what discovery wrote
	for name, n := range l.mutedNodes() {
		stillOpen[name] = !reset && n.HasLiveClient()
	}
	l.remove(reset)
	l.recordHeld(blackbox.LinkReleased, blackbox.ClientsUnmuted)
	for name, open := range stillOpen {
		l.rig.nodes.Record(blackbox.Event{Kind: blackbox.WatchUnmuted, Node: name, Ready: open})
	}
	return nil
}

// recordHeld records an event for each stalled link: ofServer for links to servers, ofNode for links to nodes.
func (l *linkFault) recordHeld(ofServer, ofNode blackbox.EventKind) {
	for i, n := range l.links {
		if s := l.faults[i].Stall; s[link.Upstream] || s[link.Downstream] {
			l.rig.recordLink(ofServer, n, serverEnd, nodeEnd)
			l.rig.recordLink(ofNode, n, nodeEnd, clientEnd)
			l.rig.recordLink(ofNode, n, nodeEnd, serverEnd)
		}
	}
}

// mutedNodes returns the links on which the fault holds back discovery's updates, by the current incarnation of the node.
func (l *linkFault) mutedNodes() map[string]*networkLink {
	muted := map[string]*networkLink{}
	for i, n := range l.links {
		if n.to.kind != discoveryEnd || !l.faults[i].Stall[link.Downstream] {
			continue
		}
		if name := l.rig.incarnationOf(n.from.name); name != "" {
			muted[name] = n
		}
	}
	return muted
}

// recordReset records that the connections of a node's clients are reset, if the link carries such connections.
func (r *rig) recordReset(n *networkLink) {
	r.recordLink(blackbox.ClientsReset, n, nodeEnd, clientEnd)
	r.recordLink(blackbox.ClientsReset, n, nodeEnd, serverEnd)
}

// recordLink records an event for a link if its ends are of the given kinds. The event names the node's current incarnation
// and, if the called end is a server, that server.
func (r *rig) recordLink(event blackbox.EventKind, n *networkLink, to, from endKind) {
	if n.to.kind != to || n.from.kind != from {
		return
	}
	e, base := blackbox.Event{Kind: event}, n.to.name
	if to == serverEnd {
		e.Server, base = n.to.name, n.from.name
	}
	e.Node = r.incarnationOf(base)
	r.nodes.Record(e)
}

// incarnationOf returns the current incarnation of the node with a base name, or "" if there is no such node.
func (r *rig) incarnationOf(base string) string {
	for n, info := range r.infos {
		if info.Base == base {
			name, _ := r.nodes.Incarnation(n)
			return name
		}
	}
	return ""
}
