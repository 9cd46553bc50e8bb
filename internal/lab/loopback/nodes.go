package loopback

import (
	"context"
	"os"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// EndpointList is a list of boxes in discovery's published form; Entry is one of them.
type (
	EndpointList = endpointList
	Endpoint     = endpoint
)

// NewEndpoint lists a box as one in service.
func NewEndpoint(id, kind, addr string, index int) Endpoint {
	return Endpoint{Host: id, Dial: addr, Site: "benchland", Class: kind, Block: index / 6, Health: "in_service", Share: 1}
}

// ListProvider says what a node is given at its start, by its place and tier.
type ListProvider interface {
	DiscoveryAddr(place string) (addr string)
	BootstrapList(place string, tier int) EndpointList
}

// NodeInfo is what stays the same of a node over its lives.
type NodeInfo struct {
	Base         string
	Tier         int    // that it sends to
	IngressIndex int    // its number among the front's nodes; -1: it stands beside a box
	HostServer   [2]int // tier and index of that box
	HostID       string
}

// Nodes are the node processes of a scenario, without anything else of its world.
type Nodes struct{ world *World }

// providedLists brings a rig's lists to the processes.
type providedLists struct{ ListProvider }

func (a providedLists) discoveryAddr(p *process) string       { return a.DiscoveryAddr(p.base) }
func (a providedLists) bootstrapList(p *process) endpointList { return a.BootstrapList(p.base, p.tier) }

// NewNodes makes the nodes of a scenario; none runs yet. Down must follow, also after an error.
func NewNodes(ctx context.Context, s *scenario.Scenario, opt Options, given ListProvider) (*Nodes, error) {
	w, err := newWorld(ctx, s, opt)
	w.lists = providedLists{given}
	w.setClock(beforeStart, time.Now())
	return &Nodes{w}, err
}

// Down ends all that still runs, and removes the folder unless it is to be kept.
func (n *Nodes) Down(keep bool) { n.world.Down(keep) }

// Folder has the nodes' configurations and logs.
func (n *Nodes) Folder() string { return n.world.dir }

// Infos are all nodes, in the order of their numbers.
func (n *Nodes) Infos() (list []NodeInfo) {
	for i, p := range n.world.processes {
		info := NodeInfo{Base: p.base, Tier: p.tier, IngressIndex: -1}
		if p.host == nil {
			info.IngressIndex = i
		} else {
			info.HostServer = [2]int{p.host.model.Tier, p.host.model.Index}
			info.HostID = p.host.model.ID
		}
		list = append(list, info)
	}
	return list
}

// ServerIDs are the ids of a tier's boxes, by index, and their kinds' names.
func (n *Nodes) ServerIDs(tier int) (ids, kinds []string) {
	for _, b := range n.world.servers[tier] {
		ids, kinds = append(ids, b.model.ID), append(kinds, b.model.Kind.Name)
	}
	return ids, kinds
}

// SetProgram has a node started from another build from its next life on.
func (n *Nodes) SetProgram(i int, program []string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// Start begins a node's next life and returns once it is ready.
// The process of the life before is waited for: one that was told to stop may still have answers to give. Between the two
// meanwhile is called, if there is one.
func (n *Nodes) Start(ctx context.Context, i int, meanwhile func() error) error {
	p := n.world.processes[i]
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
	if !n.world.scenario.Fleet.AdminCalls {
		p.mu.Lock()
		p.addr = "" // another one each time: nobody keeps it for a node that is dead
		p.mu.Unlock()
	}
	return p.start(ctx)
}

// Incarnation is a node's name and address in its present life.
func (n *Nodes) Incarnation(i int) (name, addr string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name, p.addr
}

// Addr is where a node that runs listens; "": it does not run.
func (n *Nodes) Addr(i int) string {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return ""
	}
	return p.addr
}

// Running says that a node's process runs.
func (n *Nodes) Running(i int) bool {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Kill ends a node at once; nothing is owed any more.
func (n *Nodes) Kill(i int) { n.world.processes[i].kill() }

// Stop sends SIGTERM. What it took is owed until it has ended.
func (n *Nodes) Stop(i int, heard func()) {
	w := n.world
	ended, name := w.processes[i].signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.NodeTerminating, Node: name})
	w.goOwned(func() {
		heard()
		<-ended
		w.sleep(socketSlack) // its last answers are still being read
		w.observations.nodeStopped(w.now(), name)
	})
}

// SetStopped stops a node's process where it is, or lets it go on. False: it does not run.
func (n *Nodes) SetStopped(i int, stop bool) bool {
	name, _ := n.Incarnation(i)
	sig, what := syscall.SIGCONT, blackbox.ProcessResumed
	if stop {
		sig, what = syscall.SIGSTOP, blackbox.ProcessStopped
	}
	if !stop { // what it does from now on must not be seen before it is known to run
		n.Record(blackbox.Event{Kind: what, Node: name})
	}
	ended, _ := n.world.processes[i].signal(sig)
	if ended != nil && stop {
		n.Record(blackbox.Event{Kind: what, Node: name})
	}
	return ended != nil
}

// Record adds an event of now.
func (n *Nodes) Record(e blackbox.Event) {
	e.At = n.world.now()
	n.world.observations.record(e)
}

// SetClock begins the scenario's time.
func (n *Nodes) SetClock(began time.Duration, wall time.Time) { n.world.setClock(began, wall) }

// Now is the scenario's time.
func (n *Nodes) Now() time.Duration { return n.world.now() }

// Go runs something that Down waits for; Sleep waits, false: the world has ended.
func (n *Nodes) Go(f func())                { n.world.goOwned(f) }
func (n *Nodes) Sleep(d time.Duration) bool { return n.world.sleep(d) }

// Log is where a node's standard error is kept.
func (n *Nodes) Log(i int) ([]byte, error) {
	return os.ReadFile(n.world.dir + "/" + n.world.processes[i].base + ".log")
}
