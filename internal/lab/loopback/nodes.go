package loopback

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// ListProvider says what a node is given at its start, by its base name and tier.
type ListProvider interface {
	DiscoveryAddr(base string) (addr string)
	BootstrapList(base string, tier int) EndpointList
}

// NodeInfo is what stays the same of a node over its incarnations.
type NodeInfo struct {
	Base         string // its name without the incarnation
	Tier         int    // that it sends to
	IngressIndex int    // its number among the ingress nodes; -1: it stands beside a server
	HostServer   [2]int // tier and index of that server
	HostID       string
}

// Nodes are the node processes of a scenario, without anything else of its world.
type Nodes struct{ world *World }

// providedLists brings a rig's lists to the processes.
type providedLists struct{ ListProvider }

// discoveryAddr implements bootstrapLists.
func (l providedLists) discoveryAddr(p *process) string { return l.DiscoveryAddr(p.base) }

// bootstrapList implements bootstrapLists.
func (l providedLists) bootstrapList(p *process) EndpointList { return l.BootstrapList(p.base, p.tier) }

// NewNodes makes the nodes of a scenario; none runs yet. Down must follow, also after an error.
func NewNodes(ctx context.Context, s *scenario.Scenario, options Options, lists ListProvider) (*Nodes, error) {
	w, err := newWorld(ctx, s, options)
	w.lists = providedLists{lists}
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

// ServerIDs are the IDs of a tier's servers, by index, and their kinds' names.
func (n *Nodes) ServerIDs(tier int) (ids, kinds []string) {
	for _, b := range n.world.servers[tier] {
		ids, kinds = append(ids, b.model.ID), append(kinds, b.model.Kind.Name)
	}
	return ids, kinds
}

// SetProgram has a node started from another build from its next incarnation on; nil: from the usual one.
func (n *Nodes) SetProgram(i int, program []string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// Start begins a node's next incarnation and returns once it is ready. It waits for the process of the one before, which
// may still have answers to give. Between the two, between is called, if it is not nil.
func (n *Nodes) Start(ctx context.Context, i int, between func() error) error {
	p := n.world.processes[i]
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		select {
		case <-exited:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if between != nil {
		if err := between(); err != nil {
			return err
		}
	}
	if !n.world.scenario.Fleet.AdminCalls {
		p.mu.Lock()
		p.addr = "" // another one each time: nobody keeps it for a node that is down
		p.mu.Unlock()
	}
	return p.start(ctx)
}

// Incarnation is a node's name and address in its present incarnation.
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

// AdminAddr is a node's name in its present incarnation, and where it takes admin calls; "": it does not run, or takes none.
func (n *Nodes) AdminAddr(i int) (name, addr string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.name, ""
	}
	return p.name, p.adminAddr
}

// SetFolder gives a node a $TMPDIR of its own from its next process on. onStart is called with each process that begins.
func (n *Nodes) SetFolder(i int, dir string, onStart func(*exec.Cmd)) {
	n.world.processes[i].tempDir, n.world.processes[i].onStart = dir, onStart
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

// Stop sends SIGTERM, and calls terminating on a goroutine once that is done. What the node accepted is owed until it has
// ended.
func (n *Nodes) Stop(i int, terminating func()) {
	w := n.world
	exited, name := w.processes[i].signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.NodeTerminating, Node: name})
	w.goOwned(func() {
		terminating()
		<-exited
		w.sleep(socketSlack) // its last answers are still being read
		w.observations.nodeStopped(w.now(), name)
	})
}

// SetStopped stops a node's process where it is, or has it go on. It returns false if the node does not run.
func (n *Nodes) SetStopped(i int, stopped bool) bool {
	name, _ := n.Incarnation(i)
	if !stopped { // what the node does from now on must not be seen before it is known to run
		n.Record(blackbox.Event{Kind: blackbox.ProcessResumed, Node: name})
		exited, _ := n.world.processes[i].signal(syscall.SIGCONT)
		return exited != nil
	}
	exited, _ := n.world.processes[i].signal(syscall.SIGSTOP)
	if exited != nil {
		n.Record(blackbox.Event{Kind: blackbox.ProcessStopped, Node: name})
	}
	return exited != nil
}

// Replace has a node's process replaced by its successor, of the usual program.
func (n *Nodes) Replace(ctx context.Context, i int) error {
	n.SetProgram(i, nil)
	return n.world.processes[i].replace(ctx)
}

// Record adds an event of now to the history.
func (n *Nodes) Record(e blackbox.Event) {
	e.At = n.world.now()
	n.world.observations.record(e)
}

// SetClock begins the scenario's time.
func (n *Nodes) SetClock(startTick time.Duration, wall time.Time) { n.world.setClock(startTick, wall) }

// Now is the scenario's time.
func (n *Nodes) Now() time.Duration { return n.world.now() }

// Go runs something on a goroutine that Down waits for.
func (n *Nodes) Go(f func()) { n.world.goOwned(f) }

// Sleep waits. It returns false if the world has ended in the meantime.
func (n *Nodes) Sleep(d time.Duration) bool { return n.world.sleep(d) }

// Log is a node's standard error.
func (n *Nodes) Log(i int) ([]byte, error) {
	return os.ReadFile(filepath.Join(n.world.dir, n.world.processes[i].base+".log"))
}
