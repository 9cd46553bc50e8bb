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

// ListProvider provides what a node's configuration contains when the node starts.
type ListProvider interface {
	DiscoveryAddr(base string) (addr string)          // address of discovery for the node with a base name
	BootstrapList(base string, tier int) EndpointList // endpoints of the tier, as the node last knew them
}

// NodeInfo holds the properties of a node that are the same in all its incarnations.
type NodeInfo struct {
	Base         string // name without the incarnation
	Tier         int    // tier that the node sends requests to
	IngressIndex int    // index among the ingress nodes; -1: the node runs next to a server
	HostServer   [2]int // tier and index of that server
	HostID       string // ID of that server
}

// Nodes manages the node processes of a scenario without the rest of its world.
type Nodes struct{ world *World }

// providedLists adapts a ListProvider to bootstrapLists.
type providedLists struct{ ListProvider }

// discoveryAddr implements bootstrapLists.
func (l providedLists) discoveryAddr(p *process) string { return l.DiscoveryAddr(p.base) }

// bootstrapList implements bootstrapLists.
func (l providedLists) bootstrapList(p *process) EndpointList { return l.BootstrapList(p.base, p.tier) }

// NewNodes creates the nodes of a scenario without starting them. The caller must call Shutdown, even after an error.
func NewNodes(ctx context.Context, s *scenario.Scenario, options Options, lists ListProvider) (*Nodes, error) {
	w, err := newWorld(ctx, s, options)
	w.lists = providedLists{lists}
	w.setClock(unsetStartTick, time.Now())
	return &Nodes{w}, err
}

// Shutdown stops all running processes and goroutines. It removes the folder unless keep is set.
func (n *Nodes) Shutdown(keep bool) { n.world.Shutdown(keep) }

// Folder returns the folder of the nodes' configurations and logs.
func (n *Nodes) Folder() string { return n.world.dir }

// Infos returns the properties of all nodes, ordered by node index.
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

// ServerIDs returns the IDs of a tier's servers and the names of their kinds, both by server index.
func (n *Nodes) ServerIDs(tier int) (ids, kinds []string) {
	for _, s := range n.world.servers[tier] {
		ids, kinds = append(ids, s.model.ID), append(kinds, s.model.Kind.Name)
	}
	return ids, kinds
}

// SetProgram sets the program of a node's next processes, for example another build. nil means Options.Program.
func (n *Nodes) SetProgram(i int, program []string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// Start starts a node's next incarnation and returns once it is ready. It first waits for the process of the previous
// incarnation, which may still be sending responses, and then calls beforeStart if it is not nil.
func (n *Nodes) Start(ctx context.Context, i int, beforeStart func() error) error {
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
	if beforeStart != nil {
		if err := beforeStart(); err != nil {
			return err
		}
	}
	if !n.world.scenario.Fleet.AdminCalls {
		p.mu.Lock()
		p.addr = "" // a new address for each incarnation: it is not reserved while the node is down
		p.mu.Unlock()
	}
	return p.start(ctx)
}

// Incarnation returns a node's name and address in its current incarnation.
func (n *Nodes) Incarnation(i int) (name, addr string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name, p.addr
}

// Addr returns the address at which a node listens, or "" if the node is not running.
func (n *Nodes) Addr(i int) string {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return ""
	}
	return p.addr
}

// AdminAddr returns a node's name in its current incarnation and its address for admin calls. addr is "" if the node is
// not running or does not accept admin calls.
func (n *Nodes) AdminAddr(i int) (name, addr string) {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.name, ""
	}
	return p.name, p.adminAddr
}

// SetTempDir sets a separate $TMPDIR for a node's next processes. onStart is called with each process that is started.
func (n *Nodes) SetTempDir(i int, dir string, onStart func(*exec.Cmd)) {
	n.world.processes[i].tempDir, n.world.processes[i].onStart = dir, onStart
}

// Running reports whether a node's process is running.
func (n *Nodes) Running(i int) bool {
	p := n.world.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Kill sends SIGKILL to a node. The node owes no responses after that.
func (n *Nodes) Kill(i int) { n.world.processes[i].kill() }

// Terminate sends SIGTERM to a node and then calls terminating on a separate goroutine. Until its process has exited,
// the node owes responses to the requests that it has accepted.
func (n *Nodes) Terminate(i int, terminating func()) {
	w := n.world
	exited, name := w.processes[i].signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.NodeTerminating, Node: name})
	w.spawn(func() {
		terminating()
		<-exited
		w.sleep(socketSlack) // clients may still be reading the node's last responses
		w.observations.nodeStopped(w.now(), name)
	})
}

// SetPaused pauses a node's process with SIGSTOP or resumes it with SIGCONT. It returns false if the node is not
// running.
func (n *Nodes) SetPaused(i int, paused bool) bool {
	name, _ := n.Incarnation(i)
	if !paused { // record the resumption first: it must precede everything that the node does after it
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

// Replace replaces a node's process with a successor that runs Options.Program.
func (n *Nodes) Replace(ctx context.Context, i int) error {
	n.SetProgram(i, nil)
	return n.world.processes[i].replace(ctx)
}

// Record adds an event to the history, with the current time.
func (n *Nodes) Record(e blackbox.Event) {
	e.At = n.world.now()
	n.world.observations.record(e)
}

// SetClock sets the start of the scenario, given as the same moment on the monotonic clock and on the wall clock.
func (n *Nodes) SetClock(startTick time.Duration, wall time.Time) { n.world.setClock(startTick, wall) }

// Now returns the time since the start of the scenario.
func (n *Nodes) Now() time.Duration { return n.world.now() }

// Go runs f on a goroutine that Shutdown waits for.
func (n *Nodes) Go(f func()) { n.world.spawn(f) }

// Sleep waits for d. It returns false if the nodes have been shut down.
func (n *Nodes) Sleep(d time.Duration) bool { return n.world.sleep(d) }

// Log returns a node's standard error so far, from all its processes.
func (n *Nodes) Log(i int) ([]byte, error) {
	return os.ReadFile(filepath.Join(n.world.dir, n.world.processes[i].base+".log"))
}
