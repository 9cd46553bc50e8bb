// Package loopback runs a scenario on loopback in real time, with real node processes and with stand-ins for servers,
// discovery, ingress and clients on real connections. It injects real faults: resets, unresponsive machines, truncated
// responses, refused connections, SIGKILL and SIGTERM. The models of servers, arrivals and faults are the same as in
// the simulation in virtual time, and the same checker verifies the invariants.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// maxNodes limits the node processes of a world: with more of them, the speed of the machine would determine the
// results.
const maxNodes = 64

// errShutdown is the cancellation cause of the context after Shutdown.
var errShutdown = errors.New("the world has been shut down")

// errUnsupportedPolicy is returned for a scenario whose policy real nodes do not implement.
var errUnsupportedPolicy = errors.New("real nodes implement only the policy " + policies.Module)

// Options configures how nodes are started.
type Options struct {
	Program  []string           // command of a node, to which `run` is appended
	Env      []string           // variables added to the environment
	Recorder *blackbox.Recorder // records the history of externally visible events; nil: none is recorded

	StartCommand  func(*exec.Cmd) error   // starts a process; nil: exec.Cmd.Start
	OnIncarnation func(base, name string) // called before a node's incarnation starts; may be nil
	Ports         int                     // first port of the rig's block; 0: ports outside the blocks
	Dir           string                  // parent of the folder of configurations and logs; "": the system's
}

func (o Options) startCommand(c *exec.Cmd) error {
	if o.StartCommand != nil {
		return o.StartCommand(c)
	}
	return c.Start()
}

// World is a scenario whose nodes and stand-ins are running, with or without clients and faults.
type World struct {
	addresses    addressPool
	scenario     *scenario.Scenario
	options      Options
	dir          string
	startTick    atomic.Int64 // start of the scenario on the system's monotonic clock, which all processes share
	startWall    atomic.Int64 // the same moment in Unix time, in ns
	runStarted   atomic.Bool  // Run has restarted the clock
	ctx          context.Context
	cancel       context.CancelCauseFunc
	wg           sync.WaitGroup
	lastCallID   atomic.Uint64 // number of the last call from a server to the next tier
	observations *observations
	discovery    *discovery
	ingress      *ingress
	worker       *Worker // nil: this process runs the whole world; otherwise the part that it runs
	lists        bootstrapLists

	servers   [][]*server
	processes []*process

	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	arrivals   *model.Arrivals
	heavyTails []heavyTail // by class
	retryStorm float64     // magnitude; 1: no retry storm
}

// heavyTail multiplies the work of a share of a class's requests by a factor.
type heavyTail struct{ factor, share float64 }

// bootstrapLists provides what a node's configuration contains when the node starts.
type bootstrapLists interface {
	discoveryAddr(p *process) string       // address of discovery for the node
	bootstrapList(p *process) EndpointList // endpoints that the node knows at its start
}

// newWorld creates a world without starting anything.
func newWorld(ctx context.Context, s *scenario.Scenario, options Options) (*World, error) {
	w := &World{scenario: s, options: options, observations: newObservations(s), retryStorm: 1, ingress: &ingress{},
		rng: model.Stream(s.Seed, "sockets", 0), heavyTails: make([]heavyTail, len(s.Classes))}
	w.observations.recorder = options.Recorder
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	var err error
	if s.Policy != policies.Module {
		return w, errUnsupportedPolicy
	}
	if w.arrivals, err = model.NewArrivals(s); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp(options.Dir, "hookwalk-lab-"); err != nil {
		return w, err
	}
	w.addIngressNodes()
	w.addServers()
	return w, nil
}

func (w *World) addIngressNodes() {
	for i := range w.scenario.Ingress.Nodes {
		p := &process{world: w, base: fmt.Sprintf("n%d", i), replicaIndex: i, replicas: w.scenario.Ingress.Nodes}
		w.ingress.nodes = append(w.ingress.nodes, p)
		w.ingress.believedServing = append(w.ingress.believedServing, true)
		w.processes = append(w.processes, p)
	}
}

// addServers creates the servers, and the nodes through which they call the next tier.
func (w *World) addServers() {
	s := w.scenario
	idStream := model.Stream(s.Seed, "names", 0)
	for t, tier := range s.Tiers {
		var row []*server
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				srv := &server{world: w, tier: tier, model: model.NewServer(drawServerID(idStream), t, len(row), &tier.Kinds[k], s.Rules)}
				srv.model.MeanWork = model.MeanWork(s, t)
				if t < len(s.Tiers)-1 {
					srv.node = &process{world: w, base: tier.Name + "-" + srv.model.ID, tier: t + 1, replicaIndex: len(row),
						replicas: tier.ServerCount(), host: srv}
					w.processes = append(w.processes, srv.node)
				}
				row = append(row, srv)
			}
		}
		w.servers = append(w.servers, row)
	}
}

// drawServerID draws a random server ID, which does not reveal the server's kind.
func drawServerID(names *rand.Rand) string { return fmt.Sprintf("s-%08x", names.Uint32()) }

// Start starts a scenario's servers, discovery and nodes, and returns once the nodes are ready. The caller must call
// Shutdown, even after an error.
func Start(ctx context.Context, s *scenario.Scenario, options Options) (*World, error) {
	w, err := newWorld(ctx, s, options)
	if err != nil {
		return w, err
	}
	w.restartClock()
	for _, row := range w.servers {
		for _, srv := range row {
			if err := srv.start(); err != nil {
				return w, err
			}
		}
	}
	if len(w.processes) > maxNodes {
		return w, fmt.Errorf("scenario %s needs %d node processes, more than the limit of %d: simulate it in virtual time", s.Name, len(w.processes), maxNodes)
	}
	w.discovery = newDiscovery(w)
	w.lists = w.discovery
	if err := w.discovery.open(); err != nil {
		return w, err
	}
	return w, w.startNodes()
}

// startNodes starts all nodes concurrently and returns one of their errors.
func (w *World) startNodes() (err error) {
	started := make(chan error, len(w.processes))
	for _, p := range w.processes {
		w.spawn(func() { started <- p.start(w.ctx) })
	}
	for range w.processes {
		if e := <-started; e != nil {
			err = e
		}
	}
	return err
}

// Addr returns the address of the first node for clients.
func (w *World) Addr() string { return w.ingress.nodes[0].addr }

// Folder returns the folder of the nodes' configurations and logs.
func (w *World) Folder() string { return w.dir }

// Shutdown stops everything that the world has started, and waits for it. It removes the folder unless keep is set.
func (w *World) Shutdown(keep bool) {
	w.cancel(errShutdown)
	for _, p := range w.processes {
		if exited, _ := p.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	}
	for _, row := range w.servers {
		for _, srv := range row {
			srv.stop()
		}
	}
	if w.discovery != nil {
		w.discovery.close()
	}
	w.wg.Wait()
	if !keep && w.dir != "" {
		os.RemoveAll(w.dir) // a failure to remove the folder is ignored
	}
}

// spawn runs f on a goroutine that Shutdown waits for.
func (w *World) spawn(f func()) { goTracked(&w.wg, f) }

func goTracked(wg *sync.WaitGroup, f func()) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		f()
	}()
}

// afterDelay calls f after a delay, unless the world is shut down first.
func (w *World) afterDelay(wait time.Duration, f func()) {
	w.spawn(func() {
		if w.sleep(wait) {
			f()
		}
	})
}

// Run runs the clients and applies the faults, and returns the score and the checker when all requests have ended.
func (w *World) Run() (*score.Score, *checker.Checker, error) {
	changes, err := model.WorldChanges(w.scenario)
	if err != nil {
		return nil, nil, err
	}
	w.restartClock()
	w.runStarted.Store(true)
	failed := make(chan error, 1)
	w.spawn(func() {
		if err := w.applyChanges(changes); err != nil {
			failed <- err
			w.cancel(err)
		}
	})
	w.runClients()
	w.sleep(model.LongestDeadline(w.scenario)/2 + socketSlack) // calls of lower tiers may outlive their clients
	select {
	case err := <-failed:
		return nil, nil, err
	default:
	}
	if err := context.Cause(w.ctx); err != nil {
		return nil, nil, err
	}
	w.observations.mu.Lock()
	defer w.observations.mu.Unlock()
	w.observations.checker.Finish(w.now())
	w.observations.recorder.Record(blackbox.Event{At: w.now(), Kind: blackbox.HistoryEnded})
	return w.observations.score, w.observations.checker, nil
}

// HistoryHeader returns the header of the history of a scenario that this package runs.
func HistoryHeader(s *scenario.Scenario) blackbox.Header {
	h := blackbox.NewHeader(s, observationLag)
	h.Rules.Slack += socketSlack
	names := model.Stream(s.Seed, "names", 0)
	for t, tier := range s.Tiers {
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				id := drawServerID(names)
				h.Kinds[id], h.Means[id] = tier.Kinds[k], model.MeanWork(s, t)
			}
		}
	}
	return h
}
