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

// upset turns one into its beginning and its end; end may be nil.
func (r *rig) upset(u model.Upset) (begin, over func() error, err error) {
	switch u.Kind {
	case "stall":
		return r.stall(u)
	case "hand":
		begin, over = r.hand(u)
		return begin, over, nil
	case "hush":
		place := r.infos[u.Who[0]].Place
		return func() error { r.discovery.tell(loopback.Message{Do: loopback.DoHush, Place: place}); return nil },
			func() error {
				r.discovery.tell(loopback.Message{Do: loopback.DoHush, Place: place, Hears: true})
				return nil
			}, nil
	case "upgrade":
		return func() error { r.upgrade(u.Who[0]); return nil }, nil, nil
	case "box_kill":
		p := r.partsOf(u.Tier)[u.Who[0]]
		return func() error { r.boxKill(p, u.Folder); return nil }, func() error { return r.boxBack(p) }, nil
	}
	list, faults, err := r.faults(u)
	if err != nil {
		return nil, nil, err
	}
	var heal func(bool)
	begin = func() error {
		if u.Kind == "reset_link" {
			for _, l := range list {
				r.note(blackbox.Sever, l, aNode, theClient)
				r.note(blackbox.Sever, l, aNode, aBox)
				l.Reset()
			}
			return nil
		}
		r.silence(list, faults, blackbox.Hold, blackbox.Mute)
		// Nodes that hear nothing of discovery are told nothing from before the silence until after its end.
		for name := range r.deafened(list, faults) {
			r.nodes.Note(blackbox.Event{What: blackbox.Deaf, Node: name})
		}
		heal = r.wires.fault(list, faults)
		return nil
	}
	over = func() error {
		if heal == nil {
			return nil
		}
		if u.Heal == "reset" {
			for _, l := range list {
				r.note(blackbox.Sever, l, aNode, theClient)
				r.note(blackbox.Sever, l, aNode, aBox)
			}
		}
		deaf := r.deafened(list, faults)
		for name, l := range deaf {
			deaf[name] = nil
			if u.Heal != "reset" && l.HasLiveClient() {
				deaf[name] = l
			}
		}
		heal(u.Heal == "reset")
		r.silence(list, faults, blackbox.Free, blackbox.Speak)
		for name, l := range deaf {
			r.nodes.Note(blackbox.Event{What: blackbox.Hears, Node: name, Ready: l != nil})
		}
		return nil
	}
	return begin, over, nil
}

// silence notes where links are silent, or are no more: to boxes, and to nodes.
func (r *rig) silence(list []*wire, faults []link.Fault, box, node string) {
	for i, l := range list {
		if s := faults[i].Stall; s[link.Upstream] || s[link.Downstream] {
			r.note(box, l, aBox, aNode)
			r.note(node, l, aNode, theClient)
			r.note(node, l, aNode, aBox)
		}
	}
}

// note adds an event of a link, if it goes from one kind of end to another: of a node in its present life, and of the
// box where that is the callee.
func (r *rig) note(what string, l *wire, to, from kind) {
	if l.to.kind != to || l.from.kind != from {
		return
	}
	e, place := blackbox.Event{What: what}, l.to.name
	if to == aBox {
		e.Server, place = l.to.name, l.from.name
	}
	for n, info := range r.infos {
		if info.Place == place {
			e.Node, _ = r.nodes.Life(n)
		}
	}
	r.nodes.Note(e)
}

// deafened are the present lives of nodes that a fault keeps from hearing discovery, and the links in question.
func (r *rig) deafened(list []*wire, faults []link.Fault) map[string]*wire {
	names := map[string]*wire{}
	for i, l := range list {
		if l.to.kind != theList || !faults[i].Stall[link.Downstream] {
			continue
		}
		for n, info := range r.infos {
			if info.Place == l.from.name {
				name, _ := r.nodes.Life(n)
				names[name] = l
			}
		}
	}
	return names
}

// partsOf are the processes that have a tier's boxes.
func (r *rig) partsOf(tier string) (list []*part) {
	for _, p := range r.boxes {
		if r.s.Tiers[p.boxes[0][0]].Name == tier {
			list = append(list, p)
		}
	}
	return list
}

// faults are the links that an upset meets, and what is wrong with each.
func (r *rig) faults(u model.Upset) (list []*wire, faults []link.Fault, err error) {
	var ends []end
	switch u.Trouble.Who {
	case "nodes":
		ends = append(ends, toNode(r.infos[u.Who[0]].Place))
	case "discovery":
		ends = append(ends, end{theList, ""})
	case "boxes":
		for _, at := range r.partsOf(u.Tier)[u.Who[0]].boxes {
			ids, _ := r.nodes.BoxNames(at[0])
			ends = append(ends, toBox(ids[at[1]]))
		}
	}
	if u.Kind == "break_link" && u.Whom != "boxes" && u.Whom != "discovery" {
		return nil, nil, fmt.Errorf("%s: a break_link meets links to boxes or discovery, for only their callers can tell it from an answer", u.Pos)
	}
	other := kind(u.Whom)
	if u.Whom == "all" {
		other = ""
	}
	for _, e := range ends {
		links, far := r.wires.between(e, other)
		for i, l := range links {
			out, back := link.Upstream, link.Downstream
			if far[i] { // the one that is met is the one that is called
				out, back = link.Downstream, link.Upstream
			}
			var f link.Fault
			set := func(flags *[2]bool) {
				flags[out] = u.Way != "back"
				flags[back] = u.Way != "out"
			}
			switch u.Kind {
			case "cut":
				set(&f.Stall)
			case "half_open":
				set(&f.HoldFIN)
			case "slow_link":
				f.Delay, f.Jitter, f.BytesPerSecond = u.Delay, u.Delay/4, u.Rate
			case "refuse_link":
				f.Refuse = true
			case "break_link":
				f.ResetAfter = int64(max(u.Bytes, 1))
			}
			list, faults = append(list, l), append(faults, f)
		}
	}
	if len(list) == 0 {
		return nil, nil, fmt.Errorf("%s: %s and %s have no link", u.Pos, u.Trouble.Who, u.Whom)
	}
	return list, faults, nil
}

// stall stops a process where it is, and lets it go on.
func (r *rig) stall(u model.Upset) (begin, over func() error, err error) {
	switch u.Trouble.Who {
	case "nodes":
		i := u.Who[0]
		return func() error {
				if r.nodes.Freeze(i, true) {
					r.own(func() {
						if r.nodes.Sleep(min(r.s.Front.Notice, u.Length)) && r.nodes.Now() < u.To {
							r.clients.tell(loopback.Message{Do: loopback.DoHear, Index: i})
						}
					})
				}
				return nil
			}, func() error {
				if r.nodes.Freeze(i, false) && !r.leaves[i].Load() { // one that is about to end says no
					r.clients.tell(loopback.Message{Do: loopback.DoHear, Index: i, Hears: true})
				}
				return nil
			}, nil
	case "discovery":
		return func() error { r.discovery.signal(syscall.SIGSTOP); return nil },
			func() error { r.discovery.signal(syscall.SIGCONT); return nil }, nil
	}
	p := r.partsOf(u.Tier)[u.Who[0]]
	// A box that is stopped is a client that does not read, too: to the node beside it.
	note := func(what, beside string) {
		for _, at := range p.boxes {
			ids, _ := r.nodes.BoxNames(at[0])
			id := ids[at[1]]
			r.nodes.Note(blackbox.Event{What: what, Server: id})
			for n, info := range r.infos {
				if info.HostName == id {
					name, _ := r.nodes.Life(n)
					r.nodes.Note(blackbox.Event{What: beside, Node: name})
				}
			}
		}
	}
	return func() error { p.signal(syscall.SIGSTOP); note(blackbox.Stall, blackbox.Mute); return nil },
		func() error { note(blackbox.Resume, blackbox.Speak); p.signal(syscall.SIGCONT); return nil }, nil
}

// upgrade has a node's process replaced, both side by side for a while.
func (r *rig) upgrade(i int) {
	if r.leaves[i].Load() { // nobody replaces a process that was told to end: it would end twice
		return
	}
	kills := r.kills[i].Load()
	if r.folders.apart(i) { // then a successor can't know what operators said
		ids, _ := r.nodes.BoxNames(r.infos[i].Tier)
		for _, id := range ids {
			r.hands.forget(i, id)
		}
	}
	r.own(func() {
		if err := r.nodes.Replace(r.ctx, i); err != nil && r.kills[i].Load() == kills && !r.leaves[i].Load() {
			r.end(fmt.Errorf("upgrade: %w", err))
		}
	})
}
