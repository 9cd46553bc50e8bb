// Package loopback plays a scenario on loopback in real time: real node processes, and stand-ins for boxes,
// discovery, front and clients on real connections, with the faults made there: resets, silence, half answers,
// refused connects, SIGKILL and SIGTERM. The model's boxes, arrivals and troubles are those of virtual time, and
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
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// Options say how nodes are started.
type Options struct {
	Program []string           // what `run` is added to
	Env     []string           // added to the environment
	Record  *blackbox.Recorder // takes what can be seen from outside; nil: nothing does

	Begin func(*exec.Cmd) error    // starts a process; nil: as usual
	Born  func(place, name string) // is told of a node's life before it begins; may be nil
	Ports int                      // a rig's block of them; 0: any
	Dir   string                   // where the folder of configurations and logs is made; "": where the system has such
}

func (o Options) begin(c *exec.Cmd) error {
	if o.Begin != nil {
		return o.Begin(c)
	}
	return c.Start()
}

// World is a scenario being played, or just held up.
type World struct {
	given given
	s     *scenario.Scenario
	opt   Options
	dir   string
	began atomic.Int64 // on the system's monotonic clock, as all its processes read it
	wall  atomic.Int64 // the same moment in Unix time, in ns
	ctx   context.Context
	end   context.CancelCauseFunc
	wg    sync.WaitGroup
	ids   atomic.Uint64 // of boxes' calls
	facts *facts
	disc  *discovery
	front *front
	away  *Part // nil: this process has the whole world; else what it has of it
	lists lists // what nodes are given at their start

	boxes     [][]*box
	processes []*process

	mu       sync.Mutex // of what follows
	rng      *rand.Rand
	arrivals *model.Arrivals
	tails    []tail
	storm    float64
}

type tail struct{ size, share float64 }

// most is how many processes a world may start.
const mostNodes = 64

// lists tells a node's configuration what it is given: where discovery is for it, and the servers as it last had them.
type lists interface {
	addr(p *process) string
	known(p *process) roster
}

// newWorld makes a world of which nothing runs yet.
func newWorld(ctx context.Context, s *scenario.Scenario, opt Options) (*World, error) {
	w := &World{s: s, opt: opt, facts: newFacts(s), storm: 1,
		rng: model.Stream(s.Seed, "sockets", 0), tails: make([]tail, len(s.Classes))}
	w.facts.rec = opt.Record
	w.ctx, w.end = context.WithCancelCause(ctx)
	var err error
	if s.Policy != "deckrelay" {
		return w, errors.New("on sockets nodes are real: policy deckrelay only")
	}
	if w.arrivals, err = model.NewArrivals(s); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp(opt.Dir, "hookwalk-lab-"); err != nil {
		return w, err
	}
	w.front = &front{}
	for i := range s.Front.Nodes {
		p := &process{w: w, place: fmt.Sprintf("n%d", i), self: i, of: s.Front.Nodes}
		w.front.nodes = append(w.front.nodes, p)
		w.front.knows = append(w.front.knows, true)
		w.processes = append(w.processes, p)
	}
	names := model.Stream(s.Seed, "names", 0)
	for t, tier := range s.Tiers {
		var row []*box
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				b := &box{w: w, tier: tier, model: model.NewBox(boxName(names), t, len(row), &tier.Kinds[k], s.Rules)}
				b.model.Mean = model.MeanWork(s, t)
				if t < len(s.Tiers)-1 {
					b.node = &process{w: w, place: s.Tiers[t].Name + "-" + b.model.ID, tier: t + 1, self: len(row), of: tier.Boxes(), host: b}
					w.processes = append(w.processes, b.node)
				}
				row = append(row, b)
			}
		}
		w.boxes = append(w.boxes, row)
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
	for _, row := range w.boxes {
		for _, b := range row {
			if err := b.start(); err != nil {
				return w, err
			}
		}
	}
	if len(w.processes) > mostNodes {
		return w, fmt.Errorf("%s needs %d node processes, at most %d are started: play it in virtual time", s.Name, len(w.processes), mostNodes)
	}
	w.disc = &discovery{w: w, doors: map[*process]*door{}}
	w.lists = w.disc
	if err := w.disc.open(); err != nil {
		return w, err
	}
	started := make(chan error, len(w.processes))
	for _, p := range w.processes {
		w.own(func() { started <- p.start(w.ctx) })
	}
	for range w.processes {
		if e := <-started; e != nil {
			err = e
		}
	}
	return w, err
}

// Addr is where clients reach the first node.
func (w *World) Addr() string { return w.front.nodes[0].addr }

// Folder has the nodes' configurations and logs.
func (w *World) Folder() string { return w.dir }

// Down ends everything that the world has started, and waits for it. What nobody needs any more is removed.
func (w *World) Down(keep bool) {
	w.end(errDown)
	for _, p := range w.processes {
		if ended, _ := p.signal(syscall.SIGKILL); ended != nil {
			<-ended
		}
	}
	for _, row := range w.boxes {
		for _, b := range row {
			b.stop()
		}
	}
	if w.disc != nil {
		w.disc.close()
	}
	w.wg.Wait()
	if !keep && w.dir != "" {
		os.RemoveAll(w.dir) // a folder of ours that stays behind is no reason to fail
	}
}

var errDown = errors.New("the world has ended")

// own runs something that Down waits for.
func (w *World) own(f func()) { spawn(&w.wg, f) }

func spawn(wg *sync.WaitGroup, f func()) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		f()
	}()
}

// now is the world's clock.
func (w *World) now() time.Duration { return Monotonic() - time.Duration(w.began.Load()) }

// Monotonic is the system's monotonic clock, which is one for all its processes.
func Monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// afterwards does something after a while, unless the world ends first.
func (w *World) afterwards(wait time.Duration, f func()) {
	w.own(func() {
		if w.sleep(wait) {
			f()
		}
	})
}

func (w *World) chance() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// tail is a factor on a request's work, drawn while there is a heavy tail.
func (w *World) tail(class int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tails[class]; t.size > 1 && w.rng.Float64() < t.share {
		return t.size
	}
	return 1
}

func (w *World) retries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.Retries(w.s, w.storm)
}

func (w *World) stormy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storm > 1
}

// Play lets the clients and the troubles come, and returns when all is answered.
func (w *World) Play() (*score.Score, *checker.Auditor, error) {
	changes, err := model.Troubles(w.s)
	if err != nil {
		return nil, nil, err
	}
	w.restartClock()
	troubles := make(chan error, 1)
	w.own(func() {
		for _, c := range changes {
			if !w.sleep(c.At - w.now()) {
				return
			}
			if err := w.change(c); err != nil {
				troubles <- fmt.Errorf("%v at %v: %w", c.What, c.At, err)
				w.end(err)
				return
			}
		}
	})
	w.clients()
	w.sleep(model.LongestDeadline(w.s)/2 + socketSlack) // calls of lower tiers may outlive their clients
	select {
	case err := <-troubles:
		return nil, nil, err
	default:
	}
	if err := context.Cause(w.ctx); err != nil {
		return nil, nil, err
	}
	w.facts.mu.Lock()
	defer w.facts.mu.Unlock()
	w.facts.audit.Finish(w.now())
	w.facts.rec.Note(blackbox.Event{At: w.now(), What: blackbox.End})
	return w.facts.score, w.facts.audit, nil
}

// Head is the head of a history of a scenario on sockets.
func Head(s *scenario.Scenario) blackbox.Head {
	h := blackbox.HeadOf(s, noticing)
	h.Rules.Slack += socketSlack
	names := model.Stream(s.Seed, "names", 0)
	for t, tier := range s.Tiers {
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				id := boxName(names)
				h.Kinds[id], h.Means[id] = tier.Kinds[k], model.MeanWork(s, t)
			}
		}
	}
	return h
}

// boxName draws a box's name.
func boxName(names *rand.Rand) string { return fmt.Sprintf("s-%08x", names.Uint32()) }

// restartClock begins the scenario's time now that all nodes are ready.
func (w *World) restartClock() {
	// Boxes have done nothing yet and discovery knows no boot times, so nothing holds a time of before; what nodes
	// were told so far counts as told at the start.
	w.setClock(Monotonic(), time.Now())
}

// setClock begins the scenario's time at a moment of the monotonic clock, which is one of the wall's.
func (w *World) setClock(began time.Duration, wall time.Time) {
	w.wall.Store(wall.UnixNano())
	w.began.Store(int64(began))
}

// change carries out one change of the world.
func (w *World) change(c model.Change) error {
	b := w.boxes[max(c.Tier, 0)][min(c.Index, len(w.boxes[max(c.Tier, 0)])-1)]
	d := w.s.Discovery
	switch c.What {
	case model.Crash:
		w.crash(b, b.is(model.Draining))
	case model.Boot:
		return w.boot(b)
	case model.Drain:
		if b.is(model.Up) {
			b.set(func() { b.model.State = model.Draining })
			w.learn(b, "terminating", 0, d.Drain)
		}
	case model.CutOff:
		w.learn(b, "terminated", 0, d.Silent)
		return b.cut()
	case model.Rejoin:
		b.set(b.rejoin)
		if b.is(model.Up) {
			w.learn(b, "in_service", 0, d.Add)
		}
	case model.Slow:
		b.set(func() {
			b.model.SetSlow(w.now(), b.model.Slow*c.Size)
			b.look()
		})
	case model.HeavyTail:
		w.mu.Lock()
		for i := range w.tails {
			if c.Class < 0 || c.Class == i {
				w.tails[i] = tail{c.Size, c.Share}
			}
		}
		w.mu.Unlock()
	case model.Broken:
		b.set(func() { b.broken = c.Size * c.Share })
	case model.ResetKept:
		b.resetKept(c.Share)
	case model.NodeLeave:
		w.leave(c.Index)
	case model.NodeKill:
		w.own(w.front.nodes[c.Index].kill)
		w.afterwards(w.s.Front.Notice, func() {
			if ended, _ := w.front.nodes[c.Index].signal(0); ended == nil {
				w.front.hear(c.Index, false)
			}
		})
	case model.NodeStart:
		w.own(func() {
			if w.front.nodes[c.Index].start(w.ctx) == nil {
				w.front.hear(c.Index, true)
			}
		})
	case model.DiscoveryDown, model.DiscoveryUp, model.DiscoveryMove:
		return w.disc.change(c.What)
	case model.Overload:
		w.mu.Lock()
		w.arrivals.SetFactor(c.Size)
		w.mu.Unlock()
	case model.Storm:
		w.mu.Lock()
		w.storm = c.Size
		w.mu.Unlock()
	}
	return nil
}

func (b *box) is(s model.State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model.State == s
}

func (b *box) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// crash ends a box, and its node with it.
func (w *World) crash(b *box, planned bool) {
	if b.is(model.Down) {
		return
	}
	switch {
	case w.away != nil:
		w.away.tell(Message{Do: DoDown, Tier: b.model.Tier, Index: b.model.Index})
	case b.node != nil:
		w.facts.killed(w.now(), b.node.lifeName())
		b.node.signal(syscall.SIGKILL)
	}
	b.stop()
	notice := w.s.Discovery.Notice
	if planned {
		notice = w.s.Discovery.Drain
	}
	w.learn(b, "terminated", 0, notice)
}

// learn has discovery list a box's state after a while.
func (w *World) learn(b *box, health string, boot, wait time.Duration) {
	if w.away != nil {
		w.away.tell(Message{Do: DoLearn, Tier: b.model.Tier, Index: b.model.Index, Health: health, Boot: boot, Wait: wait})
		return
	}
	w.disc.learn(b, health, boot, wait)
}

// boot starts a box that is down, cold, once its node is ready.
func (w *World) boot(b *box) error {
	if !b.is(model.Down) {
		return nil
	}
	if b.node != nil && w.away != nil {
		w.away.tell(Message{Do: DoWant, Place: b.node.place, Tier: b.model.Tier, Index: b.model.Index}) // a DoUp follows
		return nil
	}
	if b.node != nil {
		w.own(func() {
			if b.node.start(w.ctx) == nil {
				w.bootNow(b)
			}
		})
		return nil
	}
	return w.bootNow(b)
}

func (w *World) bootNow(b *box) error {
	now := w.now()
	b.set(func() { b.model.Start(now) })
	w.facts.seen(blackbox.Event{At: now, What: blackbox.Boot, Server: b.model.ID})
	if err := b.start(); err != nil {
		return err
	}
	if w.away != nil {
		w.away.tell(Message{Do: DoUp, Tier: b.model.Tier, Index: b.model.Index, Addr: b.addr})
	}
	w.learn(b, "in_service", now, w.s.Discovery.Add)
	return nil
}

// leave is SIGTERM to a front node.
func (w *World) leave(i int) {
	ended, name := w.front.nodes[i].signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	w.facts.seen(blackbox.Event{At: w.now(), What: blackbox.Term, Node: name})
	w.afterwards(model.FrontDeals, func() { w.front.hear(i, false) })
	w.own(func() {
		<-ended
		w.sleep(socketSlack) // its last answers are still being read
		w.facts.stopped(w.now(), name)
	})
}
