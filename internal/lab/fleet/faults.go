// The troubles of a scenario as faults of links and signals to processes.

package fleet

import (
	"fmt"
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// processFault turns one into its beginning and its end; end may be nil.
func (r *rig) processFault(u model.ProcessFault) (begin, over func() error, err error) {
	switch u.Kind {
	case "stall":
		return r.stopFault(u)
	case "hand":
		begin, over = r.overrideFault(u)
		return begin, over, nil
	case "hush":
		place := r.infos[u.Targets[0]].Base
		return func() error {
				r.discovery.send(loopback.Message{Operation: loopback.OpMuteWatches, Node: place})
				return nil
			},
			func() error {
				r.discovery.send(loopback.Message{Operation: loopback.OpMuteWatches, Node: place, Serving: true})
				return nil
			}, nil
	case "upgrade":
		return func() error { r.replaceNode(u.Targets[0]); return nil }, nil, nil
	case "box_kill":
		p := r.workersOfTier(u.Tier)[u.Targets[0]]
		return func() error { r.killServers(p, u.Folder); return nil }, func() error { return r.restartServers(p) }, nil
	}
	list, faults, err := r.linkFaults(u)
	if err != nil {
		return nil, nil, err
	}
	var heal func(bool)
	begin = func() error {
		if u.Kind == "reset_link" {
			for _, l := range list {
				r.recordLink(blackbox.ClientsReset, l, nodeEnd, clientEnd)
				r.recordLink(blackbox.ClientsReset, l, nodeEnd, serverEnd)
				l.Reset()
			}
			return nil
		}
		r.recordHeld(list, faults, blackbox.LinkHeld, blackbox.ClientsMuted)
		// Nodes that hear nothing of discovery are told nothing from before the silence until after its end.
		for name := range r.mutedNodes(list, faults) {
			r.nodes.Record(blackbox.Event{Kind: blackbox.WatchMuted, Node: name})
		}
		heal = r.network.fault(list, faults)
		return nil
	}
	over = func() error {
		if heal == nil {
			return nil
		}
		if u.Recovery == "reset" {
			for _, l := range list {
				r.recordLink(blackbox.ClientsReset, l, nodeEnd, clientEnd)
				r.recordLink(blackbox.ClientsReset, l, nodeEnd, serverEnd)
			}
		}
		deaf := r.mutedNodes(list, faults)
		for name, l := range deaf {
			deaf[name] = nil
			if u.Recovery != "reset" && l.HasLiveClient() {
				deaf[name] = l
			}
		}
		heal(u.Recovery == "reset")
		r.recordHeld(list, faults, blackbox.LinkReleased, blackbox.ClientsUnmuted)
		for name, l := range deaf {
			r.nodes.Record(blackbox.Event{Kind: blackbox.WatchUnmuted, Node: name, Ready: l != nil})
		}
		return nil
	}
	return begin, over, nil
}

// closeOutgoing notes where links are silent, or are no more: to boxes, and to nodes.
func (r *rig) recordHeld(list []*networkLink, faults []link.Fault, box, node string) {
	for i, l := range list {
		if s := faults[i].Stall; s[link.Upstream] || s[link.Downstream] {
			r.recordLink(box, l, serverEnd, nodeEnd)
			r.recordLink(node, l, nodeEnd, clientEnd)
			r.recordLink(node, l, nodeEnd, serverEnd)
		}
	}
}

// recordLink adds an event of a link, if it goes from one kind of end to another: of a node in its present life, and of the
// box where that is the callee.
func (r *rig) recordLink(what string, l *networkLink, to, from endKind) {
	if l.to.kind != to || l.from.kind != from {
		return
	}
	e, place := blackbox.Event{Kind: what}, l.to.name
	if to == serverEnd {
		e.Server, place = l.to.name, l.from.name
	}
	for n, info := range r.infos {
		if info.Base == place {
			e.Node, _ = r.nodes.Incarnation(n)
		}
	}
	r.nodes.Record(e)
}

// mutedNodes are the present lives of nodes that a fault keeps from hearing discovery, and the links in question.
func (r *rig) mutedNodes(list []*networkLink, faults []link.Fault) map[string]*networkLink {
	names := map[string]*networkLink{}
	for i, l := range list {
		if l.to.kind != discoveryEnd || !faults[i].Stall[link.Downstream] {
			continue
		}
		for n, info := range r.infos {
			if info.Base == l.from.name {
				name, _ := r.nodes.Incarnation(n)
				names[name] = l
			}
		}
	}
	return names
}

// workersOfTier are the processes that have a tier's boxes.
func (r *rig) workersOfTier(tier string) (list []*worker) {
	for _, p := range r.serverWorkers {
		if r.scenario.Tiers[p.servers[0][0]].Name == tier {
			list = append(list, p)
		}
	}
	return list
}

// linkFaults are the links that an upset meets, and what is wrong with each.
func (r *rig) linkFaults(u model.ProcessFault) (list []*networkLink, faults []link.Fault, err error) {
	var ends []end
	switch u.Fault.Target {
	case "nodes":
		ends = append(ends, nodeAt(r.infos[u.Targets[0]].Base))
	case "discovery":
		ends = append(ends, end{discoveryEnd, ""})
	case "boxes":
		for _, at := range r.workersOfTier(u.Tier)[u.Targets[0]].servers {
			ids, _ := r.nodes.ServerIDs(at[0])
			ends = append(ends, serverAt(ids[at[1]]))
		}
	}
	if u.Kind == "break_link" && u.Peer != "boxes" && u.Peer != "discovery" {
		return nil, nil, fmt.Errorf("%s: a break_link meets links to boxes or discovery, for only their callers can tell it from an answer", u.Position)
	}
	other := endKind(u.Peer)
	if u.Peer == "all" {
		other = ""
	}
	for _, e := range ends {
		links, far := r.network.linksOf(e, other)
		for i, l := range links {
			out, back := link.Upstream, link.Downstream
			if far[i] { // the one that is met is the one that is called
				out, back = link.Downstream, link.Upstream
			}
			var f link.Fault
			set := func(flags *[2]bool) {
				flags[out] = u.Direction != "back"
				flags[back] = u.Direction != "out"
			}
			switch u.Kind {
			case "cut":
				set(&f.Stall)
			case "half_open":
				set(&f.HoldFIN)
			case "slow_link":
				f.Delay, f.Jitter, f.BytesPerSecond = u.Delay, u.Delay/4, u.BytesPerSecond
			case "refuse_link":
				f.Refuse = true
			case "break_link":
				f.ResetAfter = int64(max(u.Bytes, 1))
			}
			list, faults = append(list, l), append(faults, f)
		}
	}
	if len(list) == 0 {
		return nil, nil, fmt.Errorf("%s: %s and %s have no link", u.Position, u.Fault.Target, u.Peer)
	}
	return list, faults, nil
}

// stopFault stops a process where it is, and lets it go on.
func (r *rig) stopFault(u model.ProcessFault) (begin, over func() error, err error) {
	switch u.Fault.Target {
	case "nodes":
		i := u.Targets[0]
		return func() error {
				if r.nodes.SetStopped(i, true) {
					r.goOwned(func() {
						if r.nodes.Sleep(min(r.scenario.Ingress.FailureDetection, u.Duration)) && r.nodes.Now() < u.To {
							r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: i})
						}
					})
				}
				return nil
			}, func() error {
				if r.nodes.SetStopped(i, false) && !r.terminating[i].Load() { // one that is about to end says no
					r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: i, Serving: true})
				}
				return nil
			}, nil
	case "discovery":
		return func() error { r.discovery.signal(syscall.SIGSTOP); return nil },
			func() error { r.discovery.signal(syscall.SIGCONT); return nil }, nil
	}
	p := r.workersOfTier(u.Tier)[u.Targets[0]]
	// A box that is stopped is a client that does not read, too: to the node beside it.
	note := func(what, beside string) {
		for _, at := range p.servers {
			ids, _ := r.nodes.ServerIDs(at[0])
			id := ids[at[1]]
			r.nodes.Record(blackbox.Event{Kind: what, Server: id})
			for n, info := range r.infos {
				if info.HostID == id {
					name, _ := r.nodes.Incarnation(n)
					r.nodes.Record(blackbox.Event{Kind: beside, Node: name})
				}
			}
		}
	}
	return func() error {
			p.signal(syscall.SIGSTOP)
			note(blackbox.ProcessStopped, blackbox.ClientsMuted)
			return nil
		},
		func() error {
			note(blackbox.ProcessResumed, blackbox.ClientsUnmuted)
			p.signal(syscall.SIGCONT)
			return nil
		}, nil
}

// replaceNode has a node's process replaced, both side by side for a while.
func (r *rig) replaceNode(i int) {
	if r.terminating[i].Load() { // nobody replaces a process that was told to end: it would end twice
		return
	}
	kills := r.endings[i].Load()
	if r.folders.separated(i) { // then a successor can't know what operators said
		ids, _ := r.nodes.ServerIDs(r.infos[i].Tier)
		for _, id := range ids {
			r.overrides.enabled(i, id)
		}
	}
	r.goOwned(func() {
		if err := r.nodes.Replace(r.ctx, i); err != nil && r.endings[i].Load() == kills && !r.terminating[i].Load() {
			r.cancel(fmt.Errorf("upgrade: %w", err))
		}
	})
}
