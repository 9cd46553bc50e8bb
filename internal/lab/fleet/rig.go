// Package fleet plays a scenario with a process for each node, for the servers of each machine, for discovery and for the
// clients with their ingress, joined by links on which faults are made. It judges what they did from outside: each process
// writes what it saw, by the one monotonic clock, and package blackbox holds the merged history to the rules.
//
// Play is the parent of all processes. Nothing survives it: workers end when their pipe closes, and every process is killed
// by the system when its parent's thread is gone.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const (
	// MaxNodes is how many node processes a rig starts.
	MaxNodes = 400

	// maxClaimedLinks is how many links fit into a rig's own block of ports. A rig with more uses the whole range, and no
	// other can run at the same time.
	maxClaimedLinks = 2000
)

var (
	// errRigEnded is why a rig's context ends.
	errRigEnded = errors.New("the fleet has ended")

	// errKilled is a node that was ended while it started, as the schedule has it.
	errKilled = errors.New("ended while it started")
)

// Options say how processes are started.
type Options struct {
	Program    []string // `run` and `lab part` are added to it
	OldProgram []string // another build, for a share of the nodes
	Env        []string // added to the environment
}

// rig is a fleet that runs.
type rig struct {
	scenario *scenario.Scenario
	options  Options
	dir      string
	nodes    *loopback.Nodes
	infos    []loopback.NodeInfo
	ctx      context.Context
	cancel   context.CancelCauseFunc
	commands chan func() // for the thread that starts all processes
	network  *network
	lists    *endpointLists
	recorder *blackbox.Recorder

	serverWorkers  []*worker
	workerByServer map[string]*worker
	discovery      *worker
	clients        *worker
	clientsDone    chan struct{}

	folders   *folders   // of nodes that take admin calls; nil: there is one for all
	overrides *overrides // nil: nodes take no admin calls

	terminations []atomic.Int64 // of each node so far: kills and orders to terminate
	terminating  []atomic.Bool  // nodes that were told to terminate

	startTick    time.Duration // of the play, on the monotonic clock
	startWall    time.Time
	portBlock    int
	releasePorts func()
	lateness     atomic.Int64 // the longest that the parent itself was late
	wg           sync.WaitGroup

	mu             sync.Mutex        // of what follows
	histories      []string          // files; the parent's own is the first
	serverAddrs    map[string]string // of servers that listen
	discoveryAddrs map[string]string // by node
}

// spawn runs something on a goroutine that the rig waits for at its end.
func (r *rig) spawn(f func()) { r.nodes.Go(f) }

// startRig brings a fleet up: all processes run, all nodes are ready, no client has come yet. shutDown must follow, also
// after an error.
func startRig(ctx context.Context, s *scenario.Scenario, options Options) (r *rig, err error) {
	r = &rig{scenario: s, options: options, commands: make(chan func()), workerByServer: map[string]*worker{},
		serverAddrs: map[string]string{}, clientsDone: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	go r.runCommands()
	if linkCount(s) <= maxClaimedLinks {
		if r.portBlock, r.releasePorts, err = link.ClaimPorts(ctx); err != nil {
			return r, err
		}
	}
	for _, step := range []func() error{r.openHistory, r.prepareNodes, r.startServers, r.connectAll, r.startDiscovery, r.startClients, r.startNodes} {
		if err := step(); err != nil {
			return r, err
		}
	}
	return r, nil
}

// runCommands starts all processes on one thread, for they end with the thread that started them. The thread is never
// unlocked: it ends with this function, after the last process.
func (r *rig) runCommands() {
	runtime.LockOSThread()
	for f := range r.commands {
		f()
	}
}

// linkCount counts the links of a scenario: from each node to the servers of its tier, to discovery, and from its callers.
func linkCount(s *scenario.Scenario) (count int) {
	nodes := s.Ingress.Nodes
	for _, t := range s.Tiers {
		count += nodes * (t.ServerCount() + 2)
		nodes = t.ServerCount()
	}
	return count
}

// openHistory makes the rig's folder and its own history.
func (r *rig) openHistory() (err error) {
	if r.dir, err = os.MkdirTemp("", "hookwalk-fleet-"); err != nil {
		return err
	}
	own, err := os.Create(filepath.Join(r.dir, "parent.jsonl"))
	if err != nil {
		return err
	}
	r.addHistory(own.Name())
	r.recorder = blackbox.NewHeadlessRecorder(own)
	return nil
}

// addHistory adds the file of a process's history.
func (r *rig) addHistory(file string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories = append(r.histories, file)
}

// prepareNodes makes the nodes, their folders and their builds; none runs yet.
func (r *rig) prepareNodes() (err error) {
	r.network, r.lists = &network{ports: r.portBlock}, newEndpointLists(r)
	r.nodes, err = loopback.NewNodes(r.ctx, r.scenario, loopback.Options{
		Program:       r.options.Program,
		Env:           append(slices.Clone(r.options.Env), "TMPDIR="+r.dir),
		Recorder:      r.recorder,
		Ports:         r.portBlock,
		StartCommand:  r.startCommand,
		Dir:           r.dir,
		OnIncarnation: r.announceIncarnation,
	}, r.lists)
	if err != nil {
		return err
	}
	if r.infos = r.nodes.Infos(); len(r.infos) > MaxNodes {
		return fmt.Errorf("%s needs %d node processes, at most %d are started", r.scenario.Name, len(r.infos), MaxNodes)
	}
	r.terminations, r.terminating = make([]atomic.Int64, len(r.infos)), make([]atomic.Bool, len(r.infos))
	r.chooseBuilds()
	if r.scenario.Fleet.AdminCalls {
		r.overrides = &overrides{rig: r, disabled: map[int][]string{}}
		r.folders, err = newFolders(r)
	}
	return err
}

// chooseBuilds gives a share of the nodes the old build, spread over their numbers, so that each part of the fleet has both.
func (r *rig) chooseBuilds() {
	if r.options.OldProgram == nil {
		return
	}
	share := r.scenario.Fleet.OldBuildShare
	for i := range r.infos {
		if float64(i+1)*share-float64(int(float64(i)*share)) >= 1 {
			r.nodes.SetProgram(i, r.options.OldProgram)
		}
	}
}

// startServers starts the processes of the servers, each with those of one machine.
func (r *rig) startServers() error {
	machine := r.scenario.Fleet.ServersPerProcess
	for t, tier := range r.scenario.Tiers {
		ids, _ := r.nodes.ServerIDs(t)
		for first := 0; first < tier.ServerCount(); first += machine {
			w := &worker{rig: r, name: fmt.Sprintf("servers-%s-%d", tier.Name, first/machine), role: loopback.RoleServers}
			for i := first; i < min(first+machine, tier.ServerCount()); i++ {
				w.servers = append(w.servers, [2]int{t, i})
				r.workerByServer[ids[i]] = w
			}
			r.serverWorkers = append(r.serverWorkers, w)
		}
	}
	return forEach(len(r.serverWorkers), func(i int) error {
		ready, err := r.serverWorkers[i].start(loopback.Message{})
		r.mu.Lock()
		defer r.mu.Unlock()
		for id, addr := range ready.Addresses {
			r.serverAddrs[id] = addr
		}
		return err
	})
}

func (r *rig) startDiscovery() error {
	r.discovery = &worker{rig: r, name: "discovery", role: loopback.RoleDiscovery}
	ready, err := r.discovery.start(loopback.Message{DialAddresses: r.lists.dialAddresses})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryAddrs = ready.Addresses
	return nil
}

func (r *rig) startClients() error {
	r.clients = &worker{rig: r, name: "clients", role: loopback.RoleClients}
	_, err := r.clients.start(loopback.Message{})
	return err
}

// startNodes starts all nodes; a few at once, or the machine would be what makes them late.
func (r *rig) startNodes() error {
	slots := make(chan struct{}, 2*runtime.NumCPU())
	return forEach(len(r.infos), func(i int) error {
		slots <- struct{}{}
		defer func() { <-slots }()
		return r.startNode(i)
	})
}

// forEach does something n times at once and returns one of the errors.
func forEach(n int, do func(i int) error) error {
	errs := make(chan error, n)
	for i := range n {
		go func() { errs <- do(i) }()
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// announceIncarnation tells discovery whom it will speak to: a node calls before it is ready.
func (r *rig) announceIncarnation(base, name string) {
	r.discovery.send(loopback.Message{Operation: loopback.OpNodeIncarnation, Node: base, Name: name})
}

// startNode begins a node's next incarnation and tells all who must know.
func (r *rig) startNode(i int) error {
	endings := r.terminations[i].Load()
	if err := r.nodes.Start(r.ctx, i, r.folders.betweenIncarnations(i)); err != nil {
		if r.terminations[i].Load() != endings {
			return errKilled
		}
		return err
	}
	r.terminating[i].Store(false)
	info := r.infos[i]
	name, _ := r.nodes.Incarnation(i)
	r.network.refuse(nodeAt(info.Base), false)
	m := loopback.Message{Operation: loopback.OpNodeIncarnation, Node: info.Base, Name: name, Addr: r.network.addr(info.Base)}
	if info.IngressIndex < 0 {
		r.workerByServer[info.HostID].send(m)
		return nil
	}
	r.clients.send(m)
	r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: info.IngressIndex, Serving: true})
	return nil
}

// serverAddr is where a server listens; "": it does not.
func (r *rig) serverAddr(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serverAddrs[id]
}

// discoveryAddr is where discovery listens for a node; "": it does not yet.
func (r *rig) discoveryAddr(base string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discoveryAddrs[base]
}

// shutDown ends all processes. The folder is removed unless it is to be kept.
func (r *rig) shutDown(keep bool) {
	r.cancel(errRigEnded)
	if r.nodes != nil {
		r.nodes.Down(keep) // its folder is in the rig's
	}
	r.stopWorkers()
	if r.network != nil {
		r.network.close()
	}
	r.wg.Wait()
	close(r.commands)
	if r.releasePorts != nil {
		r.releasePorts()
	}
	if !keep && r.dir != "" {
		os.RemoveAll(r.dir) // a folder that stays behind is no reason to fail
	}
}

// stopWorkers ends all workers that have been made.
func (r *rig) stopWorkers() {
	workers := slices.Clone(r.serverWorkers)
	for _, w := range []*worker{r.clients, r.discovery} {
		if w != nil {
			workers = append(workers, w)
		}
	}
	forEach(len(workers), func(i int) error {
		workers[i].stop()
		return nil
	})
}
