// Package fleet plays a scenario with a process for each node, for the boxes of each machine, for discovery and for the
// clients with their front, joined by links on which faults are made, and judges what they did from outside: each
// process writes what it saw, by the one monotonic clock, and package outside holds the merged history to the rules.
//
// Play is the parent of all processes. Nothing survives it: parts end when their pipe closes, and every process is
// killed by the system when its parent's thread is gone.
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

// Options say how processes are started.
type Options struct {
	Program    []string // `run` and `lab part` are added to it
	OldProgram []string // another build, for a part of the nodes
	Env        []string // added to the environment
}

// MaxNodes is how many node processes a rig starts.
const MaxNodes = 400

// maxClaimedLinks is how many links have room in a rig's own block of ports.
const maxClaimedLinks = 2000

// linkCount counts those of a scenario: from each node to the boxes of its tier, to discovery, and from its callers.
func linkCount(s *scenario.Scenario) (n int) {
	nodes := s.Ingress.Nodes
	for _, t := range s.Tiers {
		n += nodes * (t.ServerCount() + 2)
		nodes = t.ServerCount()
	}
	return n
}

// rig is a fleet that runs.
type rig struct {
	scenario  *scenario.Scenario
	options   Options
	dir       string
	nodes     *loopback.Nodes
	infos     []loopback.NodeInfo
	ctx       context.Context
	cancel    context.CancelCauseFunc
	commands  chan func()
	network   *network
	lists     *endpointLists
	recorder  *blackbox.Recorder
	histories []string // of histories; the parent's own is the first

	mu             sync.Mutex
	serverWorkers  []*worker          // that run, or are to run again
	workerByServer map[string]*worker // by box
	serverAddrs    map[string]string
	discovery      *worker
	clients        *worker
	discoveryAddrs map[string]string
	clientsDone    chan struct{}
	endings        []atomic.Int64 // of each node, so far, and words to end
	folders        *folders       // of nodes that operators may call; nil: there is one for all
	overrides      *overrides     // what operators told them
	terminating    []atomic.Bool  // nodes that were told to end
	startTick      time.Duration
	startWall      time.Time
	portBlock      int // the block of this rig
	releasePorts   func()
	late           atomic.Int64 // the longest that the parent itself was late
	wg             sync.WaitGroup
}

// goOwned runs something that the rig waits for at its end.
func (r *rig) goOwned(f func()) { r.nodes.Go(f) }

// startRig brings a fleet up: all processes run, all nodes are ready, no client has come yet.
func startRig(ctx context.Context, s *scenario.Scenario, opt Options) (r *rig, err error) {
	r = &rig{scenario: s, options: opt, commands: make(chan func()), workerByServer: map[string]*worker{}, serverAddrs: map[string]string{}, clientsDone: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with this function, after the last process
		for f := range r.commands {
			f()
		}
	}()
	if linkCount(s) <= maxClaimedLinks { // more find room in the whole range only, beside no other rig
		if r.portBlock, r.releasePorts, err = link.ClaimPorts(ctx); err != nil {
			return r, err
		}
	}
	if r.dir, err = os.MkdirTemp("", "hookwalk-fleet-"); err != nil {
		return r, err
	}
	own, err := os.Create(filepath.Join(r.dir, "parent.jsonl"))
	if err != nil {
		return r, err
	}
	r.histories, r.recorder = append(r.histories, own.Name()), blackbox.NewHeadlessRecorder(own)
	r.network, r.lists = &network{ports: r.portBlock}, newLists(r)
	r.nodes, err = loopback.NewNodes(r.ctx, s, loopback.Options{Program: opt.Program, Env: append(slices.Clone(opt.Env), "TMPDIR="+r.dir), Recorder: r.recorder, Ports: r.portBlock, StartCommand: r.startCommand, Dir: r.dir, OnIncarnation: r.nodeBegins}, r.lists)
	if err != nil {
		return r, err
	}
	if r.infos = r.nodes.Infos(); len(r.infos) > MaxNodes {
		return r, fmt.Errorf("%s needs %d node processes, at most %d are started", s.Name, len(r.infos), MaxNodes)
	}
	r.endings, r.terminating = make([]atomic.Int64, len(r.infos)), make([]atomic.Bool, len(r.infos))
	for i := range r.infos {
		// Spread over the numbers, so that each part of the fleet has both.
		if float64(i+1)*s.Fleet.OldBuildShare-float64(int(float64(i)*s.Fleet.OldBuildShare)) >= 1 && opt.OldProgram != nil {
			r.nodes.SetProgram(i, opt.OldProgram)
		}
	}
	if s.Fleet.AdminCalls {
		r.overrides = &overrides{rig: r, byNode: map[int][]string{}}
		if r.folders, err = newFolders(r); err != nil {
			return r, err
		}
	}
	if err := r.startServers(); err != nil {
		return r, err
	}
	if err := r.connectAll(); err != nil {
		return r, err
	}
	r.discovery = &worker{rig: r, name: "discovery", role: "discovery"}
	got, err := r.discovery.start(loopback.Message{DialAddresses: r.lists.dialAddresses})
	if err != nil {
		return r, err
	}
	r.mu.Lock()
	r.discoveryAddrs = got.Addresses
	r.mu.Unlock()
	r.clients = &worker{rig: r, name: "clients", role: "clients"}
	if _, err := r.clients.start(loopback.Message{}); err != nil {
		return r, err
	}
	return r, r.startNodes()
}

// startServers starts the processes of the boxes, each with those of one machine.
func (r *rig) startServers() error {
	for t, tier := range r.scenario.Tiers {
		for first := 0; first < tier.ServerCount(); first += r.scenario.Fleet.ServersPerProcess {
			p := &worker{rig: r, name: fmt.Sprintf("boxes-%s-%d", tier.Name, first/r.scenario.Fleet.ServersPerProcess), role: "boxes"}
			ids, _ := r.nodes.ServerIDs(t)
			for i := first; i < min(first+r.scenario.Fleet.ServersPerProcess, tier.ServerCount()); i++ {
				p.servers = append(p.servers, [2]int{t, i})
				r.workerByServer[ids[i]] = p
			}
			r.serverWorkers = append(r.serverWorkers, p)
		}
	}
	return each(len(r.serverWorkers), func(i int) error {
		got, err := r.serverWorkers[i].start(loopback.Message{})
		r.mu.Lock()
		defer r.mu.Unlock()
		for id, addr := range got.Addresses {
			r.serverAddrs[id] = addr
		}
		return err
	})
}

// each does something for so many things at once and gives the first error.
func each(n int, f func(i int) error) error {
	errs := make(chan error, n)
	for i := range n {
		go func() { errs <- f(i) }()
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// startNodes starts all nodes; a few at once, or the machine would be what makes them late.
func (r *rig) startNodes() error {
	turns := make(chan struct{}, 2*runtime.NumCPU())
	return each(len(r.infos), func(i int) error {
		turns <- struct{}{}
		defer func() { <-turns }()
		return r.startNode(i)
	})
}

// nodeBegins tells discovery whom it will speak to: a node calls before it is ready.
func (r *rig) nodeBegins(place, name string) {
	r.discovery.send(loopback.Message{Operation: loopback.OpNodeIncarnation, Node: place, Name: name})
}

// errKilled says that a node was ended while it started, as the schedule has it.
var errKilled = errors.New("ended while it started")

// startNode begins a node's next life and tells all who ought to know.
func (r *rig) startNode(i int) error {
	kills := r.endings[i].Load()
	if err := r.nodes.Start(r.ctx, i, r.folders.betweenIncarnations(i)); err != nil {
		if r.endings[i].Load() != kills {
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

// handleMessage is what a part says while it runs.
func (r *rig) handleMessage(p *worker, m loopback.Message) {
	ids := []string{}
	if m.Tier >= 0 && m.Tier < len(r.scenario.Tiers) {
		ids, _ = r.nodes.ServerIDs(m.Tier)
	}
	id := ""
	if m.Index >= 0 && m.Index < len(ids) {
		id = ids[m.Index]
	}
	switch m.Operation {
	case loopback.OpEndpointState:
		r.lists.update(m)
		r.discovery.send(m)
	case loopback.OpServerDied:
		r.serverGone(id)
		r.killHosted(id)
	case loopback.OpServerStart:
		r.mu.Lock()
		r.serverAddrs[id] = m.Addr
		r.mu.Unlock()
		r.network.refuse(serverAt(id), false)
	case loopback.OpStartNode:
		r.goOwned(func() {
			for i, info := range r.infos {
				if info.HostID != id {
					continue
				}
				switch err := r.startNode(i); {
				case err == nil:
					p.send(loopback.Message{Operation: loopback.OpServerStart, Tier: m.Tier, Index: m.Index})
				case !errors.Is(err, errKilled):
					r.cancel(err)
				}
			}
		})
	case loopback.OpClientsDone:
		close(r.clientsDone)
	default:
		r.cancel(fmt.Errorf("%s says %q", p.name, m.Operation))
	}
}

// missing notes that nobody listens for a box any more.
func (r *rig) serverGone(id string) {
	r.network.refuse(serverAt(id), true)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.serverAddrs, id)
}

// killHosted ends the node beside a box, as it dies with it.
func (r *rig) killHosted(id string) {
	for i, info := range r.infos {
		if info.HostID == id && info.IngressIndex < 0 {
			r.endings[i].Add(1)
			r.network.refuse(nodeAt(info.Base), true)
			r.goOwned(func() { r.nodes.Kill(i) })
		}
	}
}

var errRigEnded = errors.New("the fleet has ended")

// noListener ends all processes. The folder is removed unless it is to be kept.
func (r *rig) shutDown(keep bool) {
	r.cancel(errRigEnded)
	if r.nodes != nil {
		r.nodes.Down(keep) // its folder is in the rig's
	}
	parts := r.serverWorkers
	for _, p := range []*worker{r.clients, r.discovery} {
		if p != nil {
			parts = append(parts, p)
		}
	}
	each(len(parts), func(i int) error {
		parts[i].stop()
		return nil
	})
	if r.network != nil {
		r.network.close()
	}
	r.wg.Wait()
	close(r.commands)
	if r.releasePorts != nil {
		r.releasePorts()
	}
	if !keep && r.dir != "" {
		os.RemoveAll(r.dir) // a folder of ours that stays behind is no reason to fail
	}
}
