package loopback

import (
	"context"
	"os"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Roster is a list of boxes in discovery's published form; Entry is one of them.
type (
	Roster = roster
	Entry  = entry
)

// NewEntry lists a box as one in service.
func NewEntry(id, kind, addr string, index int) Entry {
	return Entry{Host: id, Dial: addr, Site: "benchland", Class: kind, Block: index / 6, Health: "in_service", Share: 1}
}

// Lists says what a node is given at its start, by its place and tier.
type Lists interface {
	Discovery(place string) (addr string)
	Known(place string, tier int) Roster
}

// NodeInfo is what stays the same of a node over its lives.
type NodeInfo struct {
	Place    string
	Tier     int    // that it sends to
	Front    int    // its number among the front's nodes; -1: it stands beside a box
	Host     [2]int // tier and index of that box
	HostName string
}

// Nodes are the node processes of a scenario, without anything else of its world.
type Nodes struct{ w *World }

// askLists brings a rig's lists to the processes.
type askLists struct{ Lists }

func (a askLists) addr(p *process) string  { return a.Discovery(p.place) }
func (a askLists) known(p *process) roster { return a.Known(p.place, p.tier) }

// NewNodes makes the nodes of a scenario; none runs yet. Down must follow, also after an error.
func NewNodes(ctx context.Context, s *scenario.Scenario, opt Options, given Lists) (*Nodes, error) {
	w, err := newWorld(ctx, s, opt)
	w.lists = askLists{given}
	w.setClock(beforePlay, time.Now())
	return &Nodes{w}, err
}

// Down ends all that still runs, and removes the folder unless it is to be kept.
func (n *Nodes) Down(keep bool) { n.w.Down(keep) }

// Folder has the nodes' configurations and logs.
func (n *Nodes) Folder() string { return n.w.dir }

// Infos are all nodes, in the order of their numbers.
func (n *Nodes) Infos() (list []NodeInfo) {
	for i, p := range n.w.processes {
		info := NodeInfo{Place: p.place, Tier: p.tier, Front: -1}
		if p.host == nil {
			info.Front = i
		} else {
			info.Host = [2]int{p.host.model.Tier, p.host.model.Index}
			info.HostName = p.host.model.ID
		}
		list = append(list, info)
	}
	return list
}

// BoxNames are the ids of a tier's boxes, by index, and their kinds' names.
func (n *Nodes) BoxNames(tier int) (ids, kinds []string) {
	for _, b := range n.w.boxes[tier] {
		ids, kinds = append(ids, b.model.ID), append(kinds, b.model.Kind.Name)
	}
	return ids, kinds
}

// SetProgram has a node started from another build from its next life on.
func (n *Nodes) SetProgram(i int, program []string) {
	p := n.w.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// Start begins a node's next life and returns once it is ready.
// The process of the life before is waited for: one that was told to stop may still have answers to give. Between the two
// meanwhile is called, if there is one.
func (n *Nodes) Start(ctx context.Context, i int, meanwhile func() error) error {
	p := n.w.processes[i]
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			return err
		}
	}
	if !n.w.s.Fleet.Control {
		p.mu.Lock()
		p.addr = "" // another one each time: nobody keeps it for a node that is dead
		p.mu.Unlock()
	}
	return p.start(ctx)
}

// Life is a node's name and address in its present life.
func (n *Nodes) Life(i int) (name, addr string) {
	p := n.w.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name, p.addr
}

// Addr is where a node that runs listens; "": it does not run.
func (n *Nodes) Addr(i int) string {
	p := n.w.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return ""
	}
	return p.addr
}

// Runs says that a node's process runs.
func (n *Nodes) Runs(i int) bool {
	p := n.w.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Kill ends a node at once; nothing is owed any more.
func (n *Nodes) Kill(i int) { n.w.processes[i].kill() }

// Stop sends SIGTERM. What it took is owed until it has ended.
func (n *Nodes) Stop(i int, heard func()) {
	w := n.w
	ended, name := w.processes[i].signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	w.facts.seen(blackbox.Event{At: w.now(), What: blackbox.Term, Node: name})
	w.own(func() {
		heard()
		<-ended
		w.sleep(socketSlack) // its last answers are still being read
		w.facts.stopped(w.now(), name)
	})
}

// Freeze stops a node's process where it is, or lets it go on. False: it does not run.
func (n *Nodes) Freeze(i int, stop bool) bool {
	name, _ := n.Life(i)
	sig, what := syscall.SIGCONT, blackbox.Resume
	if stop {
		sig, what = syscall.SIGSTOP, blackbox.Stall
	}
	if !stop { // what it does from now on must not be seen before it is known to run
		n.Note(blackbox.Event{What: what, Node: name})
	}
	ended, _ := n.w.processes[i].signal(sig)
	if ended != nil && stop {
		n.Note(blackbox.Event{What: what, Node: name})
	}
	return ended != nil
}

// Note adds an event of now.
func (n *Nodes) Note(e blackbox.Event) {
	e.At = n.w.now()
	n.w.facts.seen(e)
}

// SetClock begins the scenario's time.
func (n *Nodes) SetClock(began time.Duration, wall time.Time) { n.w.setClock(began, wall) }

// Now is the scenario's time.
func (n *Nodes) Now() time.Duration { return n.w.now() }

// Own runs something that Down waits for; Sleep waits, false: the world has ended.
func (n *Nodes) Own(f func())               { n.w.own(f) }
func (n *Nodes) Sleep(d time.Duration) bool { return n.w.sleep(d) }

// Log is where a node's standard error is kept.
func (n *Nodes) Log(i int) ([]byte, error) {
	return os.ReadFile(n.w.dir + "/" + n.w.processes[i].place + ".log")
}
