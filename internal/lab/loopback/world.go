// Package loopback plays a scenario on loopback in real time: real node processes, and stand-ins for servers, discovery,
// ingress and clients on real connections, with the faults made there: resets, unresponsive machines, half answers, refused
// connections, SIGKILL and SIGTERM. The model's servers, arrivals and faults are those of virtual time, and the same
// checker holds both to the rules.
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

// maxNodes is how many node processes a world may start: more would make the machine slower than what is measured.
const maxNodes = 64

// errDown is why a world's context ends.
var errDown = errors.New("the world has ended")

// errPolicy is a scenario whose nodes are not the program.
var errPolicy = errors.New("on sockets nodes are real: policy " + policies.Module + " only")

// Options say how nodes are started.
type Options struct {
	Program  []string           // `run` is added to it
	Env      []string           // added to the environment
	Recorder *blackbox.Recorder // takes what can be seen from outside; nil: nothing does

	StartCommand  func(*exec.Cmd) error   // starts a process; nil: as usual
	OnIncarnation func(base, name string) // is told of a node's incarnation before it begins; may be nil
	Ports         int                     // the block of ports of a rig; 0: any
	Dir           string                  // where the folder of configurations and logs is made; "": the system's
}

func (o Options) startCommand(c *exec.Cmd) error {
	if o.StartCommand != nil {
		return o.StartCommand(c)
	}
	return c.Start()
}

// World is a scenario that is being played, or only held up.
type World struct {
	addresses    addressPool
	scenario     *scenario.Scenario
	options      Options
	dir          string
	startTick    atomic.Int64 // of the play, on the system's monotonic clock, as all its processes read it
	startWall    atomic.Int64 // the same moment in Unix time, in ns
	playing      atomic.Bool  // Play has begun: the clock is that of the play
	ctx          context.Context
	cancel       context.CancelCauseFunc
	wg           sync.WaitGroup
	lastCallID   atomic.Uint64 // of servers' calls
	observations *observations
	discovery    *discovery
	ingress      *ingress
	worker       *Worker // nil: this process has the whole world; else what it has of it
	lists        bootstrapLists

	servers   [][]*server
	processes []*process

	mu         sync.Mutex // of what follows
	rng        *rand.Rand
	arrivals   *model.Arrivals
	heavyTails []heavyTail // by class
	retryStorm float64     // magnitude; 1: there is none
}

// heavyTail says how much more work some requests of a class are.
type heavyTail struct{ factor, share float64 }

// bootstrapLists are what a node's configuration says at its start.
type bootstrapLists interface {
	discoveryAddr(p *process) string       // where discovery is for the node
	bootstrapList(p *process) EndpointList // the servers as it last had them
}

// newWorld makes a world of which nothing runs yet.
func newWorld(ctx context.Context, s *scenario.Scenario, options Options) (*World, error) {
	w := &World{scenario: s, options: options, observations: newObservations(s), retryStorm: 1, ingress: &ingress{},
		rng: model.Stream(s.Seed, "sockets", 0), heavyTails: make([]heavyTail, len(s.Classes))}
	w.observations.recorder = options.Recorder
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	var err error
	if s.Policy != policies.Module {
		return w, errPolicy
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

// addServers makes the servers, and the nodes through which they call the next tier.
func (w *World) addServers() {
	s := w.scenario
	names := model.Stream(s.Seed, "names", 0)
	for t, tier := range s.Tiers {
		var row []*server
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				b := &server{world: w, tier: tier, model: model.NewServer(drawServerID(names), t, len(row), &tier.Kinds[k], s.Rules)}
				b.model.MeanWork = model.MeanWork(s, t)
				if t < len(s.Tiers)-1 {
					b.node = &process{world: w, base: tier.Name + "-" + b.model.ID, tier: t + 1, replicaIndex: len(row),
						replicas: tier.ServerCount(), host: b}
					w.processes = append(w.processes, b.node)
				}
				row = append(row, b)
			}
		}
		w.servers = append(w.servers, row)
	}
}

// drawServerID draws a server's ID, which says nothing of its kind.
func drawServerID(names *rand.Rand) string { return fmt.Sprintf("s-%08x", names.Uint32()) }

// Up brings a scenario's world up: servers listen, discovery lists them, nodes are ready. Down must follow, also after an
// error.
func Up(ctx context.Context, s *scenario.Scenario, options Options) (*World, error) {
	w, err := newWorld(ctx, s, options)
	if err != nil {
		return w, err
	}
	w.restartClock()
	for _, row := range w.servers {
		for _, b := range row {
			if err := b.start(); err != nil {
				return w, err
			}
		}
	}
	if len(w.processes) > maxNodes {
		return w, fmt.Errorf("%s needs %d node processes, at most %d are started: play it in virtual time", s.Name, len(w.processes), maxNodes)
	}
	w.discovery = newDiscovery(w)
	w.lists = w.discovery
	if err := w.discovery.open(); err != nil {
		return w, err
	}
	return w, w.startNodes()
}

// startNodes starts all nodes at once and returns one of their errors.
func (w *World) startNodes() (err error) {
	started := make(chan error, len(w.processes))
	for _, p := range w.processes {
		w.goOwned(func() { started <- p.start(w.ctx) })
	}
	for range w.processes {
		if e := <-started; e != nil {
			err = e
		}
	}
	return err
}

// Addr is where clients reach the first node.
func (w *World) Addr() string { return w.ingress.nodes[0].addr }

// Folder has the nodes' configurations and logs.
func (w *World) Folder() string { return w.dir }

// Down ends everything that the world has started, and waits for it. The folder is removed unless it is to be kept.
func (w *World) Down(keep bool) {
	w.cancel(errDown)
	for _, p := range w.processes {
		if exited, _ := p.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	}
	for _, row := range w.servers {
		for _, b := range row {
			b.stop()
		}
	}
	if w.discovery != nil {
		w.discovery.close()
	}
	w.wg.Wait()
	if !keep && w.dir != "" {
		os.RemoveAll(w.dir) // a folder that stays behind is no reason to fail
	}
}

// goOwned runs something on a goroutine that Down waits for.
func (w *World) goOwned(f func()) { goTracked(&w.wg, f) }

func goTracked(wg *sync.WaitGroup, f func()) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		f()
	}()
}

// afterDelay does something after a while, unless the world ends first.
func (w *World) afterDelay(wait time.Duration, f func()) {
	w.goOwned(func() {
		if w.sleep(wait) {
			f()
		}
	})
}

// Play lets the clients and the faults come, and returns when all is answered.
func (w *World) Play() (*score.Score, *checker.Checker, error) {
	changes, err := model.WorldChanges(w.scenario)
	if err != nil {
		return nil, nil, err
	}
	w.restartClock()
	w.playing.Store(true)
	failed := make(chan error, 1)
	w.goOwned(func() {
		if err := w.applyChanges(changes); err != nil {
			failed <- err
			w.cancel(err)
		}
	})
	w.playClients()
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

// Head is the header of a history of a scenario on sockets.
func Head(s *scenario.Scenario) blackbox.Header {
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
