// Package loopback plays a scenario on loopback in real time: real node processes, and stand-ins for boxes,
// discovery, front and clients on real connections, with the faults made there: resets, silence, half answers,
// tryRejected connects, SIGKILL and SIGTERM. The model's boxes, arrivals and troubles are those of virtual time, and
// the same auditor holds both to the rules.
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

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// Options say how nodes are started.
type Options struct {
	Program  []string           // what `run` is added to
	Env      []string           // added to the environment
	Recorder *blackbox.Recorder // takes what can be seen from outside; nil: nothing does

	StartCommand  func(*exec.Cmd) error    // starts a process; nil: as usual
	OnIncarnation func(place, name string) // is told of a node's life before it begins; may be nil
	Ports         int                      // a rig's block of them; 0: any
	Dir           string                   // where the folder of configurations and logs is made; "": where the system has such
}

func (o Options) startCommand(c *exec.Cmd) error {
	if o.StartCommand != nil {
		return o.StartCommand(c)
	}
	return c.Start()
}

// World is a scenario being played, or just held up.
type World struct {
	addresses    addressPool
	scenario     *scenario.Scenario
	options      Options
	dir          string
	startTick    atomic.Int64 // on the system's monotonic clock, as all its processes read it
	startWall    atomic.Int64 // the same moment in Unix time, in ns
	ctx          context.Context
	cancel       context.CancelCauseFunc
	wg           sync.WaitGroup
	lastCallID   atomic.Uint64 // of boxes' calls
	observations *observations
	discovery    *discovery
	ingress      *ingress
	worker       *Worker        // nil: this process has the whole world; else what it has of it
	lists        bootstrapLists // what nodes are given at their start

	servers   [][]*server
	processes []*process

	mu         sync.Mutex // of what follows
	rng        *rand.Rand
	arrivals   *model.Arrivals
	heavyTails []heavyTail
	retryStorm float64
}

type heavyTail struct{ factor, share float64 }

// most is how many processes a world may start.
const maxNodes = 64

// bootstrapLists tells a node's configuration what it is given: where discovery is for it, and the servers as it last had them.
type bootstrapLists interface {
	discoveryAddr(p *process) string
	bootstrapList(p *process) endpointList
}

// newWorld makes a world of which nothing runs yet.
func newWorld(ctx context.Context, s *scenario.Scenario, opt Options) (*World, error) {
	w := &World{scenario: s, options: opt, observations: newObservations(s), retryStorm: 1,
		rng: model.Stream(s.Seed, "sockets", 0), heavyTails: make([]heavyTail, len(s.Classes))}
	w.observations.recorder = opt.Recorder
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	var err error
	if s.Policy != policies.Module {
		return w, errors.New("on sockets nodes are real: policy deckrelay only")
	}
	if w.arrivals, err = model.NewArrivals(s); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp(opt.Dir, "hookwalk-lab-"); err != nil {
		return w, err
	}
	w.ingress = &ingress{}
	for i := range s.Ingress.Nodes {
		p := &process{world: w, base: fmt.Sprintf("n%d", i), replicaIndex: i, replicas: s.Ingress.Nodes}
		w.ingress.nodes = append(w.ingress.nodes, p)
		w.ingress.believedServing = append(w.ingress.believedServing, true)
		w.processes = append(w.processes, p)
	}
	names := model.Stream(s.Seed, "names", 0)
	for t, tier := range s.Tiers {
		var row []*server
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				b := &server{world: w, tier: tier, model: model.NewServer(drawServerID(names), t, len(row), &tier.Kinds[k], s.Rules)}
				b.model.MeanWork = model.MeanWork(s, t)
				if t < len(s.Tiers)-1 {
					b.node = &process{world: w, base: s.Tiers[t].Name + "-" + b.model.ID, tier: t + 1, replicaIndex: len(row), replicas: tier.ServerCount(), host: b}
					w.processes = append(w.processes, b.node)
				}
				row = append(row, b)
			}
		}
		w.servers = append(w.servers, row)
	}
	return w, nil
}

// Up brings a scenario's world up: boxes listen, discovery lists them, nodes are ready. Down must follow, also
// after an error.
func Up(ctx context.Context, s *scenario.Scenario, opt Options) (*World, error) {
	w, err := newWorld(ctx, s, opt)
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
	w.discovery = &discovery{world: w, listeners: map[*process]*nodeListener{}}
	w.lists = w.discovery
	if err := w.discovery.open(); err != nil {
		return w, err
	}
	started := make(chan error, len(w.processes))
	for _, p := range w.processes {
		w.goOwned(func() { started <- p.start(w.ctx) })
	}
	for range w.processes {
		if e := <-started; e != nil {
			err = e
		}
	}
	return w, err
}

// Addr is where clients reach the first node.
func (w *World) Addr() string { return w.ingress.nodes[0].addr }

// Folder has the nodes' configurations and logs.
func (w *World) Folder() string { return w.dir }

// Down ends everything that the world has started, and waits for it. What nobody needs any more is removed.
func (w *World) Down(keep bool) {
	w.cancel(errDown)
	for _, p := range w.processes {
		if ended, _ := p.signal(syscall.SIGKILL); ended != nil {
			<-ended
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
		os.RemoveAll(w.dir) // a folder of ours that stays behind is no reason to fail
	}
}

var errDown = errors.New("the world has ended")

// ownWork runs something that Down waits for.
func (w *World) goOwned(f func()) { goTracked(&w.wg, f) }

func goTracked(wg *sync.WaitGroup, f func()) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		f()
	}()
}

// now is the world's clock.
func (w *World) now() time.Duration { return Monotonic() - time.Duration(w.startTick.Load()) }

// Monotonic is the system's monotonic clock, which is one for all its processes.
func Monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// afterDelay does something after a while, unless the world ends first.
func (w *World) afterDelay(wait time.Duration, f func()) {
	w.goOwned(func() {
		if w.sleep(wait) {
			f()
		}
	})
}

func (w *World) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// heavyTail is a factor on a request's work, drawn while there is a heavy tail.
func (w *World) workFactor(class int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.heavyTails[class]; t.factor > 1 && w.rng.Float64() < t.share {
		return t.factor
	}
	return 1
}

func (w *World) maxRetries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.MaxRetries(w.scenario, w.retryStorm)
}

func (w *World) inRetryStorm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retryStorm > 1
}

// Play lets the clients and the troubles come, and returns when all is answered.
func (w *World) Play() (*score.Score, *checker.Checker, error) {
	changes, err := model.WorldChanges(w.scenario)
	if err != nil {
		return nil, nil, err
	}
	w.restartClock()
	troubles := make(chan error, 1)
	w.goOwned(func() {
		for _, c := range changes {
			if !w.sleep(c.At - w.now()) {
				return
			}
			if err := w.applyChange(c); err != nil {
				troubles <- fmt.Errorf("%v at %v: %w", c.Kind, c.At, err)
				w.cancel(err)
				return
			}
		}
	})
	w.playClients()
	w.sleep(model.LongestDeadline(w.scenario)/2 + socketSlack) // calls of lower tiers may outlive their clients
	select {
	case err := <-troubles:
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

// Head is the head of a history of a scenario on sockets.
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

// drawServerID draws a box's name.
func drawServerID(names *rand.Rand) string { return fmt.Sprintf("s-%08x", names.Uint32()) }

// restartClock begins the scenario's time now that all nodes are ready.
func (w *World) restartClock() {
	// Servers have done nothing yet and discovery knows no boot times, so nothing holds a time of before; what nodes
	// were told so far counts as told at the start.
	w.setClock(Monotonic(), time.Now())
}

// setClock begins the scenario's time at a moment of the monotonic clock, which is one of the wall's.
func (w *World) setClock(began time.Duration, wall time.Time) {
	w.startWall.Store(wall.UnixNano())
	w.startTick.Store(int64(began))
}

// applyChange carries out one change of the world.
func (w *World) applyChange(c model.Change) error {
	b := w.servers[max(c.Tier, 0)][min(c.Index, len(w.servers[max(c.Tier, 0)])-1)]
	d := w.scenario.Discovery
	switch c.Kind {
	case model.Crash:
		w.crashServer(b, b.inState(model.Draining))
	case model.Start:
		return w.bootServer(b)
	case model.Drain:
		if b.inState(model.Up) {
			b.locked(func() { b.model.State = model.Draining })
			w.updateEndpoint(b, "terminating", 0, d.DrainDelay)
		}
	case model.Disconnect:
		w.updateEndpoint(b, "terminated", 0, d.UnreachableDelay)
		return b.disconnect()
	case model.Reconnect:
		b.locked(b.reconnect)
		if b.inState(model.Up) {
			w.updateEndpoint(b, "in_service", 0, d.AddDelay)
		}
	case model.ScaleSpeed:
		b.locked(func() {
			b.model.SetSpeedFactor(w.now(), b.model.SpeedFactor*c.Magnitude)
			b.scheduleCompletion()
		})
	case model.HeavyTail:
		w.mu.Lock()
		for i := range w.heavyTails {
			if c.Class < 0 || c.Class == i {
				w.heavyTails[i] = heavyTail{c.Magnitude, c.Share}
			}
		}
		w.mu.Unlock()
	case model.BreakAnswers:
		b.locked(func() { b.brokenShare = c.Magnitude * c.Share })
	case model.ResetIdleConnections:
		b.resetIdle(c.Share)
	case model.NodeTerminate:
		w.terminateNode(c.Index)
	case model.NodeKill:
		w.goOwned(w.ingress.nodes[c.Index].kill)
		w.afterDelay(w.scenario.Ingress.FailureDetection, func() {
			if ended, _ := w.ingress.nodes[c.Index].signal(0); ended == nil {
				w.ingress.setServing(c.Index, false)
			}
		})
	case model.NodeStart:
		w.goOwned(func() {
			if w.ingress.nodes[c.Index].start(w.ctx) == nil {
				w.ingress.setServing(c.Index, true)
			}
		})
	case model.DiscoveryDown, model.DiscoveryUp, model.DiscoveryMove:
		return w.discovery.applyChange(c.Kind)
	case model.Overload:
		w.mu.Lock()
		w.arrivals.SetFactor(c.Magnitude)
		w.mu.Unlock()
	case model.RetryStorm:
		w.mu.Lock()
		w.retryStorm = c.Magnitude
		w.mu.Unlock()
	}
	return nil
}

func (b *server) inState(s model.ServerState) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.State == s
}

func (b *server) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// crashServer ends a box, and its node with it.
func (w *World) crashServer(b *server, planned bool) {
	if b.inState(model.Down) {
		return
	}
	switch {
	case w.worker != nil:
		w.worker.send(Message{Operation: OpServerDied, Tier: b.model.Tier, Index: b.model.Index})
	case b.node != nil:
		w.observations.nodeKilled(w.now(), b.node.incarnationName())
		b.node.signal(syscall.SIGKILL)
	}
	b.stop()
	notice := w.scenario.Discovery.CrashDelay
	if planned {
		notice = w.scenario.Discovery.DrainDelay
	}
	w.updateEndpoint(b, "terminated", 0, notice)
}

// updateEndpoint has discovery list a box's state after a while.
func (w *World) updateEndpoint(b *server, health string, boot, wait time.Duration) {
	if w.worker != nil {
		w.worker.send(Message{Operation: OpEndpointState, Tier: b.model.Tier, Index: b.model.Index, Health: health, StartTime: boot, Delay: wait})
		return
	}
	w.discovery.updateEndpoint(b, health, boot, wait)
}

// bootServer starts a box that is down, cold, once its node is ready.
func (w *World) bootServer(b *server) error {
	if !b.inState(model.Down) {
		return nil
	}
	if b.node != nil && w.worker != nil {
		w.worker.send(Message{Operation: OpStartNode, Node: b.node.base, Tier: b.model.Tier, Index: b.model.Index}) // a OpServerStart follows
		return nil
	}
	if b.node != nil {
		w.goOwned(func() {
			if b.node.start(w.ctx) == nil {
				w.startServer(b)
			}
		})
		return nil
	}
	return w.startServer(b)
}

func (w *World) startServer(b *server) error {
	now := w.now()
	b.locked(func() { b.model.Start(now) })
	w.observations.record(blackbox.Event{At: now, Kind: blackbox.ServerStarted, Server: b.model.ID})
	if err := b.start(); err != nil {
		return err
	}
	if w.worker != nil {
		w.worker.send(Message{Operation: OpServerStart, Tier: b.model.Tier, Index: b.model.Index, Addr: b.addr})
	}
	w.updateEndpoint(b, "in_service", now, w.scenario.Discovery.AddDelay)
	return nil
}

// terminateNode is SIGTERM to a front node.
func (w *World) terminateNode(i int) {
	ended, name := w.ingress.nodes[i].signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.NodeTerminating, Node: name})
	w.afterDelay(model.IngressDrainDelay, func() { w.ingress.setServing(i, false) })
	w.goOwned(func() {
		<-ended
		w.sleep(socketSlack) // its last answers are still being read
		w.observations.nodeStopped(w.now(), name)
	})
}
