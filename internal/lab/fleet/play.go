package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/audit"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/outside"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/sockets"
)

// act is one thing that the rig does at a time.
type act struct {
	at   time.Duration
	what string
	do   func() error
}

// Played is what came of a play.
type Played struct {
	Events  []outside.Event
	Broken  []audit.Violation
	Faults  []Fault       // as they were made
	Late    time.Duration // the longest that the rig itself was late
	Folder  string        // kept, where something was broken
	Nodes   int
	Parts   int
	Restart []time.Duration // how long nodes took from their start to ready, in the play
}

// Fault is when something was done.
type Fault struct {
	At   time.Duration
	What string
}

// TooLate is how late the rig itself may be: beyond it what is late may be the machine's doing, and nothing is judged.
const TooLate = 300 * time.Millisecond

// TooLate says that the machine was too slow for the play to tell anything.
func (p *Played) TooLate() bool { return p.Late > TooLate }

// Play plays a scenario once.
func Play(ctx context.Context, s *scenario.Scenario, opt Options) (*Played, error) {
	result := &Played{}
	acts := func(r *rig) ([]act, error) { return r.schedule(result) }
	r, err := up(ctx, s, opt)
	if err != nil {
		r.down(ctx.Err() == nil)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("fleet: %w", context.Cause(ctx))
		}
		return nil, &StageError{err, r.dir}
	}
	list, err := acts(r)
	if err == nil {
		err = r.play(list, result)
	}
	if err == nil {
		err = r.judge(result)
	}
	keep := err != nil && ctx.Err() == nil || len(result.Broken) > 0
	result.Nodes, result.Parts = len(r.infos), len(r.boxes)+2
	if keep {
		result.Folder = r.dir
	}
	r.down(keep)
	if err != nil && ctx.Err() == nil {
		return nil, &StageError{err, r.dir}
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return result, nil
}

// StageError says that a play could not be staged, or not to its end: by the rig or its machine, not by a rule.
type StageError struct {
	Err error
	Dir string // with the logs of all processes
}

func (e *StageError) Error() string {
	return fmt.Sprintf("fleet: the play could not be staged: %v; logs in %s; play it again, with fewer rigs beside it", e.Err, e.Dir)
}
func (e *StageError) Unwrap() error { return e.Err }

const (
	lead = 100 * time.Millisecond // from the word to play to the first arrival
)

// play lets the clients come, does what the schedule says, and returns when all is answered.
func (r *rig) play(list []act, result *Played) error {
	r.wall = time.Now().Add(lead)
	r.began = sockets.Monotonic() + lead
	r.nodes.SetClock(r.began, r.wall)
	if err := r.folders.remember(); err != nil {
		return err
	}
	begin := sockets.Message{Do: sockets.DoPlay, Began: r.began, Wall: r.wall.UnixNano()}
	for _, p := range r.boxes {
		p.tell(begin)
	}
	r.discovery.tell(begin)
	begin.Has = "clients"
	r.clients.tell(begin)
	stop := make(chan struct{})
	defer close(stop)
	r.own(func() { sockets.Lateness(stop, func(late time.Duration) { r.late.Store(int64(late)) }) })
	r.own(func() {
		for _, a := range list {
			if !r.nodes.Sleep(a.at - r.nodes.Now()) {
				return
			}
			result.Faults = append(result.Faults, Fault{r.nodes.Now(), a.what})
			if err := a.do(); err != nil {
				r.end(fmt.Errorf("%s: %w", a.what, err))
				return
			}
		}
	})
	most := time.NewTimer(r.s.Length + 2*model.LongestDeadline(r.s) + partReady)
	defer most.Stop()
	select {
	case <-r.done:
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-most.C:
		return fmt.Errorf("the clients do not end")
	}
	r.nodes.Sleep(model.LongestDeadline(r.s) / 2) // calls of lower tiers may outlive their clients
	result.Late = time.Duration(r.late.Load())
	r.nodes.Note(outside.Event{What: outside.End})
	return context.Cause(r.ctx)
}

// judge stops the parts, for their histories to be whole, and holds what they saw to the rules.
func (r *rig) judge(result *Played) error {
	r.mu.Lock()
	files := slices.Clone(r.files)
	r.mu.Unlock()
	parts := append(slices.Clone(r.boxes), r.clients, r.discovery)
	each(len(parts), func(i int) error {
		parts[i].stop()
		return nil
	})
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	if err := r.rec.Err(); err != nil {
		return err
	}
	var err error
	if result.Events, err = outside.Merge(readers...); err != nil {
		return err
	}
	for i, e := range result.Events {
		if e.What == outside.Late && !r.stopped(e) {
			result.Late = max(result.Late, e.Budget)
		}
		if e.What == outside.End { // what a part still noted while it was ended is nothing
			result.Events = result.Events[:i+1]
			break
		}
	}
	if !result.TooLate() {
		result.Broken = outside.Check(sockets.Head(r.s), result.Events)
	}
	return nil
}

// stopped says that a process was late since the rig itself had stopped one.
func (r *rig) stopped(e outside.Event) bool {
	for _, t := range r.s.Troubles {
		if t.Kind == "stall" && e.At >= t.At && e.At-e.Budget <= t.At+t.Spread+t.Length {
			return true
		}
	}
	return false
}

// schedule turns the scenario's troubles into what the rig does.
func (r *rig) schedule(result *Played) (list []act, err error) {
	changes, err := model.Troubles(model.WithoutUpsets(r.s))
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		list = append(list, act{c.At, fmt.Sprintf("%v %d", c.What, c.Index), func() error { return r.change(c, result) }})
	}
	upsets, err := model.Upsets(r.s)
	if err != nil {
		return nil, err
	}
	for _, u := range upsets {
		begin, end, err := r.upset(u)
		if err != nil {
			return nil, err
		}
		list = append(list, act{u.From, fmt.Sprintf("%s %s %d", u.Kind, u.Trouble.Who, u.Who[0]), begin})
		if end != nil {
			list = append(list, act{u.To, fmt.Sprintf("%s %s %d over", u.Kind, u.Trouble.Who, u.Who[0]), end})
		}
	}
	slices.SortStableFunc(list, func(a, b act) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// change carries out what every way of playing knows.
func (r *rig) change(c model.Change, result *Played) error {
	m := sockets.Message{Do: sockets.DoChange, Change: &c}
	switch c.What {
	case model.NodeKill:
		place := r.infos[c.Index].Place
		r.kills[c.Index].Add(1)
		r.folders.met(c.Index, c.Folder)
		r.wires.refuse(toNode(place), true)
		r.own(func() {
			r.nodes.Kill(c.Index)
			r.frontNotices(c.Index)
		})
	case model.NodeLeave:
		r.leaves[c.Index].Store(true)
		r.kills[c.Index].Add(1) // one that just starts may not even hear it as a word yet
		r.folders.met(c.Index, c.Folder)
		r.nodes.Stop(c.Index, func() {
			if r.nodes.Sleep(model.FrontDeals) {
				r.clients.tell(sockets.Message{Do: sockets.DoHear, Index: c.Index})
			}
		})
	case model.NodeStart:
		r.own(func() {
			began := r.nodes.Now()
			if err := r.startNode(c.Index); err != nil {
				if !errors.Is(err, errKilled) {
					r.end(err)
				}
				return
			}
			r.mu.Lock()
			result.Restart = append(result.Restart, r.nodes.Now()-began)
			r.mu.Unlock()
		})
	case model.DiscoveryMove:
		return fmt.Errorf("discovery does not move in a fleet")
	case model.DiscoveryDown, model.DiscoveryUp:
		r.wires.refuse(end{theList, ""}, c.What == model.DiscoveryDown)
		r.discovery.tell(m)
	case model.Overload, model.Storm:
		r.clients.tell(m)
	case model.HeavyTail:
		for _, p := range r.boxes {
			p.tell(m)
		}
	default:
		ids, _ := r.nodes.BoxNames(c.Tier)
		r.at[ids[c.Index]].tell(m)
	}
	return nil
}

// frontNotices has the front learn, after a while, that a node does not run.
func (r *rig) frontNotices(i int) {
	if r.nodes.Sleep(r.s.Front.Notice) && !r.nodes.Runs(i) {
		r.clients.tell(sockets.Message{Do: sockets.DoHear, Index: i})
	}
}

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
		return func() error { r.discovery.tell(sockets.Message{Do: sockets.DoHush, Place: place}); return nil },
			func() error {
				r.discovery.tell(sockets.Message{Do: sockets.DoHush, Place: place, Hears: true})
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
				r.note(outside.Sever, l, aNode, theClient)
				r.note(outside.Sever, l, aNode, aBox)
				l.Reset()
			}
			return nil
		}
		r.silence(list, faults, outside.Hold, outside.Mute)
		// Nodes that hear nothing of discovery are told nothing from before the silence until after its end.
		for name := range r.deafened(list, faults) {
			r.nodes.Note(outside.Event{What: outside.Deaf, Node: name})
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
				r.note(outside.Sever, l, aNode, theClient)
				r.note(outside.Sever, l, aNode, aBox)
			}
		}
		deaf := r.deafened(list, faults)
		for name, l := range deaf {
			deaf[name] = nil
			if u.Heal != "reset" && l.Held() {
				deaf[name] = l
			}
		}
		heal(u.Heal == "reset")
		r.silence(list, faults, outside.Free, outside.Speak)
		for name, l := range deaf {
			r.nodes.Note(outside.Event{What: outside.Hears, Node: name, Ready: l != nil})
		}
		return nil
	}
	return begin, over, nil
}

// silence notes where links are silent, or are no more: to boxes, and to nodes.
func (r *rig) silence(list []*wire, faults []link.Fault, box, node string) {
	for i, l := range list {
		if s := faults[i].Silent; s[link.Out] || s[link.Back] {
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
	e, place := outside.Event{What: what}, l.to.name
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
		if l.to.kind != theList || !faults[i].Silent[link.Back] {
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
			out, back := link.Out, link.Back
			if far[i] { // the one that is met is the one that is called
				out, back = link.Back, link.Out
			}
			var f link.Fault
			set := func(flags *[2]bool) {
				flags[out] = u.Way != "back"
				flags[back] = u.Way != "out"
			}
			switch u.Kind {
			case "cut":
				set(&f.Silent)
			case "half_open":
				set(&f.Deaf)
			case "slow_link":
				f.Delay, f.Jitter, f.Rate = u.Delay, u.Delay/4, u.Rate
			case "refuse_link":
				f.Refuse = true
			case "break_link":
				f.Break = int64(max(u.Bytes, 1))
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
							r.clients.tell(sockets.Message{Do: sockets.DoHear, Index: i})
						}
					})
				}
				return nil
			}, func() error {
				if r.nodes.Freeze(i, false) && !r.leaves[i].Load() { // one that is about to end says no
					r.clients.tell(sockets.Message{Do: sockets.DoHear, Index: i, Hears: true})
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
			r.nodes.Note(outside.Event{What: what, Server: id})
			for n, info := range r.infos {
				if info.HostName == id {
					name, _ := r.nodes.Life(n)
					r.nodes.Note(outside.Event{What: beside, Node: name})
				}
			}
		}
	}
	return func() error { p.signal(syscall.SIGSTOP); note(outside.Stall, outside.Mute); return nil },
		func() error { note(outside.Resume, outside.Speak); p.signal(syscall.SIGCONT); return nil }, nil
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

// boxKill ends a process of boxes as a machine dies, with the nodes beside them.
func (r *rig) boxKill(p *part, folder string) {
	if p.downs++; p.downs > 1 { // it is down already
		return
	}
	p.signal(syscall.SIGKILL)
	for _, at := range p.boxes {
		ids, _ := r.nodes.BoxNames(at[0])
		id := ids[at[1]]
		r.gone(id)
		r.nodes.Note(outside.Event{What: outside.Down, Server: id})
		for n, info := range r.infos {
			if info.HostName == id {
				r.folders.met(n, folder)
			}
		}
		r.killHosted(id)
		r.tellList(sockets.Message{Do: sockets.DoLearn, Tier: at[0], Index: at[1], Health: "terminated", Wait: r.s.Discovery.Notice})
	}
}

func (r *rig) tellList(m sockets.Message) {
	r.lists.learn(m)
	r.discovery.tell(m)
}

// boxBack starts them again, cold, each once its node is ready; where several troubles have them down, after the last.
func (r *rig) boxBack(p *part) error {
	if p.downs--; p.downs > 0 {
		return nil
	}
	r.own(func() {
		if _, err := p.start(sockets.Message{Cold: true, Began: r.began, Wall: r.wall.UnixNano()}); err != nil {
			r.end(err)
			return
		}
		for _, at := range p.boxes {
			p.tell(sockets.Message{Do: sockets.DoChange, Change: &model.Change{What: model.Boot, Tier: at[0], Index: at[1], Class: -1}})
		}
	})
	return nil
}
