// Package fleet plays a scenario with separate processes: one for each node, one for the servers of each machine, one for
// discovery, and one for the clients with their ingress. They are connected by links on which faults are injected. The
// package checks their externally visible behaviour: each process records the events that it sees with timestamps of the
// shared monotonic clock, and package blackbox checks the merged history against the rules.
//
// Play is the parent of all processes, and none outlives it: workers exit when their pipe closes, and the kernel kills
// every process when the thread that started it ends.
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
	// MaxNodes is the maximum number of node processes of a rig.
	MaxNodes = 400

	// maxClaimedLinks is the number of links that fit into a claimed block of ports. A rig with more links uses the whole
	// range, and no other rig can run at the same time.
	maxClaimedLinks = 2000
)

var (
	// errRigEnded is the cause with which shutDown cancels a rig's context.
	errRigEnded = errors.New("the fleet has been shut down")

	// errKilled means that a fault of the schedule ended a node while it was starting.
	errKilled = errors.New("node was ended while it was starting")
)

// Options configures how processes are started.
type Options struct {
	Program    []string // command line, to which `run` or `lab part` is appended
	OldProgram []string // command line of another build, for a share of the nodes
	Env        []string // NAME=VALUE, added to the environment
}

// rig is a running fleet.
type rig struct {
	scenario *scenario.Scenario
	options  Options
	dir      string
	nodes    *loopback.Nodes
	infos    []loopback.NodeInfo
	ctx      context.Context
	cancel   context.CancelCauseFunc
	commands chan func() // functions to run on the thread that starts all processes
	network  *network
	lists    *endpointLists
	recorder *blackbox.Recorder

	serverWorkers  []*worker
	workerByServer map[string]*worker
	discovery      *worker
	clients        *worker
	clientsDone    chan struct{}

	folders   *folders   // of nodes that accept admin calls; nil: all nodes share one
	overrides *overrides // nil: nodes accept no admin calls

	terminations []atomic.Int64 // by node: number of kills and termination requests so far
	terminating  []atomic.Bool  // by node: whether it has been asked to terminate

	startTick    time.Duration // start of the play, on the monotonic clock
	startWall    time.Time
	portBlock    int
	releasePorts func()
	lateness     atomic.Int64 // nanoseconds; the longest delay of the parent process
	wg           sync.WaitGroup

	mu             sync.Mutex        // guards the fields below
	histories      []string          // files; the first is the parent's
	serverAddrs    map[string]string // of the servers that are listening, by ID
	discoveryAddrs map[string]string // by node
}

// spawn runs f on a goroutine that shutDown waits for.
func (r *rig) spawn(f func()) { r.nodes.Go(f) }

// startRig starts a fleet. When it returns, all processes run and all nodes are ready, and no client has sent a request
// yet. The caller must call shutDown, even after an error.
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

// runCommands starts all processes on one thread, because the kernel kills them when the thread that started them ends. The
// thread is never unlocked: it ends with this function, after the last process.
func (r *rig) runCommands() {
	runtime.LockOSThread()
	for f := range r.commands {
		f()
	}
}

// linkCount returns the number of links of a scenario: for each node, one to each server of its tier, one to discovery, and
// one from its callers.
func linkCount(s *scenario.Scenario) (count int) {
	nodes := s.Ingress.Nodes
	for _, t := range s.Tiers {
		count += nodes * (t.ServerCount() + 2)
		nodes = t.ServerCount()
	}
	return count
}

// openHistory creates the rig's folder and the parent's history file.
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

// addHistory registers the history file of a process.
func (r *rig) addHistory(file string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories = append(r.histories, file)
}

// prepareNodes creates the nodes and their folders and chooses their builds. It starts no process.
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
		return fmt.Errorf("scenario %s needs %d node processes, but the limit is %d", r.scenario.Name, len(r.infos), MaxNodes)
	}
	r.terminations, r.terminating = make([]atomic.Int64, len(r.infos)), make([]atomic.Bool, len(r.infos))
	r.chooseBuilds()
	if r.scenario.Fleet.AdminCalls {
		r.overrides = &overrides{rig: r, disabled: map[int][]string{}}
		r.folders, err = newFolders(r)
	}
	return err
}

// chooseBuilds assigns the old build to a share of the nodes, spread evenly over their indexes, so that each part of the
// fleet has both builds.
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

// startServers starts the server processes, one for each machine.
func (r *rig) startServers() error {
	perProcess := r.scenario.Fleet.ServersPerProcess
	for t, tier := range r.scenario.Tiers {
		ids, _ := r.nodes.ServerIDs(t)
		for first := 0; first < tier.ServerCount(); first += perProcess {
			w := &worker{rig: r, name: fmt.Sprintf("servers-%s-%d", tier.Name, first/perProcess), role: loopback.RoleServers}
			for i := first; i < min(first+perProcess, tier.ServerCount()); i++ {
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

// startNodes starts all nodes, a few at a time, so that load from the starts themselves does not delay them.
func (r *rig) startNodes() error {
	slots := make(chan struct{}, 2*runtime.NumCPU())
	return forEach(len(r.infos), func(i int) error {
		slots <- struct{}{}
		defer func() { <-slots }()
		return r.startNode(i)
	})
}

// forEach calls do concurrently for 0 to n-1, waits for all calls, and returns the first error to arrive.
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

// announceIncarnation tells discovery the name of a node's new incarnation, because a node calls discovery before it is
// ready.
func (r *rig) announceIncarnation(base, name string) {
	r.discovery.send(loopback.Message{Operation: loopback.OpNodeIncarnation, Node: base, Name: name})
}

// startNode starts a node's next incarnation and notifies the node's callers.
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

// serverAddr returns a server's listen address, or "" if it is not listening.
func (r *rig) serverAddr(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serverAddrs[id]
}

// discoveryAddr returns the address at which discovery listens for a node, or "" if it does not listen yet.
func (r *rig) discoveryAddr(base string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discoveryAddrs[base]
}

// shutDown ends all processes. It removes the rig's folder unless keep is set.
func (r *rig) shutDown(keep bool) {
	r.cancel(errRigEnded)
	if r.nodes != nil {
		r.nodes.Shutdown(keep) // the nodes' folder is inside the rig's folder
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
		os.RemoveAll(r.dir) // a leftover folder is not worth an error
	}
}

// stopWorkers stops all workers that have been created.
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
