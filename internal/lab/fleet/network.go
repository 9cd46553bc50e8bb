package fleet

import (
	"fmt"
	"sync"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// endKind is the kind of process at an end of a link.
type endKind string

// Kinds of link ends, with the names that scenarios use.
const (
	nodeEnd      endKind = scenario.TargetNodes
	serverEnd    endKind = scenario.TargetServers
	discoveryEnd endKind = scenario.TargetDiscovery // the discovery service
	clientEnd    endKind = scenario.TargetClients   // all clients
	anyEnd       endKind = ""                       // matches every kind
)

// linkEnd is one end of a link.
type linkEnd struct {
	kind endKind
	name string // base name of a node or ID of a server; "" for the other kinds
}

func nodeAt(base string) linkEnd { return linkEnd{nodeEnd, base} }
func serverAt(id string) linkEnd { return linkEnd{serverEnd, id} }

// networkLink is a link with its active faults by cause. Causes are added and removed independently.
type networkLink struct {
	*link.Link
	from, to   linkEnd
	noListener bool // nothing listens at the called end
	causes     map[int]link.Fault

	applyMu sync.Mutex // serializes apply, so that the last call sets the latest causes
}

// network holds all links of a fleet.
type network struct {
	mu        sync.Mutex
	links     []*networkLink
	lastCause int

	ports int // first port of the rig's block
}

// open adds a link. where returns the address of the called end and is called for each connection.
func (n *network) open(from, to linkEnd, where func() string) (addr string, err error) {
	l, err := link.Open(n.ports, where)
	if err != nil {
		return "", fmt.Errorf("%s %s to %s %s: %w", from.kind, from.name, to.kind, to.name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, &networkLink{Link: l, from: from, to: to, causes: map[int]link.Fault{}})
	return l.Addr(), nil
}

// addr returns the address of the link to a node, or "" if there is none.
func (n *network) addr(base string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.to == nodeAt(base) {
			return l.Addr()
		}
	}
	return ""
}

// refuse sets whether the links to an end refuse new connections, as if nothing listened there.
func (n *network) refuse(to linkEnd, refused bool) {
	var changed []*networkLink
	n.mu.Lock()
	for _, l := range n.links {
		if l.to == to && l.noListener != refused {
			l.noListener = refused
			changed = append(changed, l)
		}
	}
	n.mu.Unlock()
	for _, l := range changed {
		n.apply(l)
	}
}

// apply sets the combined fault of a link's causes. It ignores the error of a link that has just been closed. Stalling
// a link takes a moment, during which the lock over all links is not held.
func (n *network) apply(l *networkLink) {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	n.mu.Lock()
	sum := l.sumOfCauses()
	n.mu.Unlock()
	l.SetFault(sum)
}

// sumOfCauses returns the combined fault of all causes of a link. The caller holds the network's lock.
func (l *networkLink) sumOfCauses() link.Fault {
	sum := link.Fault{Refuse: l.noListener}
	for _, f := range l.causes {
		for way := range f.Stall {
			sum.Stall[way] = sum.Stall[way] || f.Stall[way]
			sum.HoldFIN[way] = sum.HoldFIN[way] || f.HoldFIN[way]
		}
		sum.Refuse = sum.Refuse || f.Refuse
		sum.Delay += f.Delay
		sum.Jitter += f.Jitter
		if f.BytesPerSecond > 0 && (sum.BytesPerSecond == 0 || f.BytesPerSecond < sum.BytesPerSecond) {
			sum.BytesPerSecond = f.BytesPerSecond
		}
		if f.ResetAfter > 0 {
			sum.ResetAfter = f.ResetAfter
		}
	}
	return sum
}

// linksOf returns the links between an end and all ends of a kind, and for each whether e is its called end.
func (n *network) linksOf(e linkEnd, peer endKind) (list []*networkLink, calledEnd []bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		switch {
		case l.from == e && (peer == anyEnd || l.to.kind == peer):
			list, calledEnd = append(list, l), append(calledEnd, false)
		case l.to == e && (peer == anyEnd || l.from.kind == peer):
			list, calledEnd = append(list, l), append(calledEnd, true)
		}
	}
	return list, calledEnd
}

// addFault adds a fault to each link under a new cause and returns a function that removes it.
func (n *network) addFault(links []*networkLink, faults []link.Fault) (heal func(reset bool)) {
	n.mu.Lock()
	n.lastCause++
	cause := n.lastCause
	n.mu.Unlock()
	n.changeEach(links, func(i int, l *networkLink) { l.causes[cause] = faults[i] })
	return func(reset bool) {
		if reset {
			for _, l := range links {
				l.Reset()
			}
		}
		n.changeEach(links, func(_ int, l *networkLink) { delete(l.causes, cause) })
	}
}

// changeEach changes the causes of each link and applies them, concurrently for all links.
func (n *network) changeEach(links []*networkLink, change func(i int, l *networkLink)) {
	forEach(len(links), func(i int) error {
		n.mu.Lock()
		change(i, links[i])
		n.mu.Unlock()
		n.apply(links[i])
		return nil
	})
}

// close closes all links.
func (n *network) close() {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	forEach(len(links), func(i int) error {
		links[i].Close()
		return nil
	})
}

// connectAll opens a link for every pair of processes that communicate.
func (r *rig) connectAll() error {
	for i, info := range r.infos {
		if err := r.connectNode(i, info.Base, info.Tier); err != nil {
			return err
		}
	}
	return nil
}

// connectNode opens the links of one node: from its callers, to discovery, and to the servers of its tier.
func (r *rig) connectNode(i int, base string, tier int) error {
	node, caller := nodeAt(base), linkEnd{clientEnd, ""}
	if info := r.infos[i]; info.IngressIndex < 0 {
		caller = serverAt(info.HostID)
	}
	if _, err := r.network.open(caller, node, func() string { return r.nodes.Addr(i) }); err != nil {
		return err
	}
	discoveryAddr, err := r.network.open(node, linkEnd{discoveryEnd, ""}, func() string { return r.discoveryAddr(base) })
	if err != nil {
		return err
	}
	r.lists.discoveryAddrs[base] = discoveryAddr
	dialAddresses := map[string]string{}
	ids, _ := r.nodes.ServerIDs(tier)
	for _, id := range ids {
		if dialAddresses[id], err = r.network.open(node, serverAt(id), func() string { return r.serverAddr(id) }); err != nil {
			return err
		}
	}
	r.lists.dialAddresses[base] = dialAddresses
	return nil
}
