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
	Program []string // `run` and `lab part` are added to it
	Old     []string // another build, for a part of the nodes
	Env     []string // added to the environment
}

// MostNodes is how many node processes a rig starts.
const MostNodes = 400

// mostLinks is how many links have room in a rig's own block of ports.
const mostLinks = 2000

// links counts those of a scenario: from each node to the boxes of its tier, to discovery, and from its callers.
func links(s *scenario.Scenario) (n int) {
	nodes := s.Front.Nodes
	for _, t := range s.Tiers {
		n += nodes * (t.Boxes() + 2)
		nodes = t.Boxes()
	}
	return n
}

// rig is a fleet that runs.
type rig struct {
	s      *scenario.Scenario
	opt    Options
	dir    string
	nodes  *loopback.Nodes
	infos  []loopback.NodeInfo
	ctx    context.Context
	end    context.CancelCauseFunc
	starts chan func()
	wires  *wires
	lists  *lists
	rec    *blackbox.Recorder
	files  []string // of histories; the parent's own is the first

	mu        sync.Mutex
	boxes     []*part          // that run, or are to run again
	at        map[string]*part // by box
	addrs     map[string]string
	discovery *part
	clients   *part
	doors     map[string]string
	done      chan struct{}
	kills     []atomic.Int64 // of each node, so far, and words to end
	folders   *folders       // of nodes that operators may call; nil: there is one for all
	hands     *hands         // what operators told them
	leaves    []atomic.Bool  // nodes that were told to end
	began     time.Duration
	wall      time.Time
	ports     int // the block of this rig
	release   func()
	late      atomic.Int64 // the longest that the parent itself was late
	wg        sync.WaitGroup
}

// own runs something that the rig waits for at its end.
func (r *rig) own(f func()) { r.nodes.Own(f) }

// up brings a fleet up: all processes run, all nodes are ready, no client has come yet.
func up(ctx context.Context, s *scenario.Scenario, opt Options) (r *rig, err error) {
	r = &rig{s: s, opt: opt, starts: make(chan func()), at: map[string]*part{}, addrs: map[string]string{}, done: make(chan struct{})}
	r.ctx, r.end = context.WithCancelCause(ctx)
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with this function, after the last process
		for f := range r.starts {
			f()
		}
	}()
	if links(s) <= mostLinks { // more find room in the whole range only, beside no other rig
		if r.ports, r.release, err = link.ClaimPorts(ctx); err != nil {
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
	r.files, r.rec = append(r.files, own.Name()), blackbox.Continue(own)
	r.wires, r.lists = &wires{ports: r.ports}, newLists(r)
	r.nodes, err = loopback.NewNodes(r.ctx, s, loopback.Options{Program: opt.Program, Env: append(slices.Clone(opt.Env), "TMPDIR="+r.dir), Record: r.rec, Ports: r.ports, Begin: r.begin, Dir: r.dir, Born: r.born}, r.lists)
	if err != nil {
		return r, err
	}
	if r.infos = r.nodes.Infos(); len(r.infos) > MostNodes {
		return r, fmt.Errorf("%s needs %d node processes, at most %d are started", s.Name, len(r.infos), MostNodes)
	}
	r.kills, r.leaves = make([]atomic.Int64, len(r.infos)), make([]atomic.Bool, len(r.infos))
	for i := range r.infos {
		// Spread over the numbers, so that each part of the fleet has both.
		if float64(i+1)*s.Fleet.Old-float64(int(float64(i)*s.Fleet.Old)) >= 1 && opt.Old != nil {
			r.nodes.SetProgram(i, opt.Old)
		}
	}
	if s.Fleet.Control {
		r.hands = &hands{r: r, out: map[int][]string{}}
		if r.folders, err = newFolders(r); err != nil {
			return r, err
		}
	}
	if err := r.startBoxes(); err != nil {
		return r, err
	}
	if err := r.wire(); err != nil {
		return r, err
	}
	r.discovery = &part{r: r, name: "discovery", has: "discovery"}
	got, err := r.discovery.start(loopback.Message{Dials: r.lists.dials})
	if err != nil {
		return r, err
	}
	r.mu.Lock()
	r.doors = got.Addrs
	r.mu.Unlock()
	r.clients = &part{r: r, name: "clients", has: "clients"}
	if _, err := r.clients.start(loopback.Message{}); err != nil {
		return r, err
	}
	return r, r.startNodes()
}

// startBoxes starts the processes of the boxes, each with those of one machine.
func (r *rig) startBoxes() error {
	for t, tier := range r.s.Tiers {
		for first := 0; first < tier.Boxes(); first += r.s.Fleet.BoxesPer {
			p := &part{r: r, name: fmt.Sprintf("boxes-%s-%d", tier.Name, first/r.s.Fleet.BoxesPer), has: "boxes"}
			ids, _ := r.nodes.BoxNames(t)
			for i := first; i < min(first+r.s.Fleet.BoxesPer, tier.Boxes()); i++ {
				p.boxes = append(p.boxes, [2]int{t, i})
				r.at[ids[i]] = p
			}
			r.boxes = append(r.boxes, p)
		}
	}
	return each(len(r.boxes), func(i int) error {
		got, err := r.boxes[i].start(loopback.Message{})
		r.mu.Lock()
		defer r.mu.Unlock()
		for id, addr := range got.Addrs {
			r.addrs[id] = addr
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

// born tells discovery whom it will speak to: a node calls before it is ready.
func (r *rig) born(place, name string) {
	r.discovery.tell(loopback.Message{Do: loopback.DoLife, Place: place, Name: name})
}

// errKilled says that a node was ended while it started, as the schedule has it.
var errKilled = errors.New("ended while it started")

// startNode begins a node's next life and tells all who ought to know.
func (r *rig) startNode(i int) error {
	kills := r.kills[i].Load()
	if err := r.nodes.Start(r.ctx, i, r.folders.meanwhile(i)); err != nil {
		if r.kills[i].Load() != kills {
			return errKilled
		}
		return err
	}
	r.leaves[i].Store(false)
	info := r.infos[i]
	name, _ := r.nodes.Life(i)
	r.wires.refuse(toNode(info.Place), false)
	m := loopback.Message{Do: loopback.DoLife, Place: info.Place, Name: name, Addr: r.wires.addr(info.Place)}
	if info.Front < 0 {
		r.at[info.HostName].tell(m)
		return nil
	}
	r.clients.tell(m)
	r.clients.tell(loopback.Message{Do: loopback.DoHear, Index: info.Front, Hears: true})
	return nil
}

// heard is what a part says while it runs.
func (r *rig) heard(p *part, m loopback.Message) {
	ids := []string{}
	if m.Tier >= 0 && m.Tier < len(r.s.Tiers) {
		ids, _ = r.nodes.BoxNames(m.Tier)
	}
	id := ""
	if m.Index >= 0 && m.Index < len(ids) {
		id = ids[m.Index]
	}
	switch m.Do {
	case loopback.DoLearn:
		r.lists.learn(m)
		r.discovery.tell(m)
	case loopback.DoDown:
		r.gone(id)
		r.killHosted(id)
	case loopback.DoUp:
		r.mu.Lock()
		r.addrs[id] = m.Addr
		r.mu.Unlock()
		r.wires.refuse(toBox(id), false)
	case loopback.DoWant:
		r.own(func() {
			for i, info := range r.infos {
				if info.HostName != id {
					continue
				}
				switch err := r.startNode(i); {
				case err == nil:
					p.tell(loopback.Message{Do: loopback.DoUp, Tier: m.Tier, Index: m.Index})
				case !errors.Is(err, errKilled):
					r.end(err)
				}
			}
		})
	case loopback.DoDone:
		close(r.done)
	default:
		r.end(fmt.Errorf("%s says %q", p.name, m.Do))
	}
}

// gone notes that nobody listens for a box any more.
func (r *rig) gone(id string) {
	r.wires.refuse(toBox(id), true)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.addrs, id)
}

// killHosted ends the node beside a box, as it dies with it.
func (r *rig) killHosted(id string) {
	for i, info := range r.infos {
		if info.HostName == id && info.Front < 0 {
			r.kills[i].Add(1)
			r.wires.refuse(toNode(info.Place), true)
			r.own(func() { r.nodes.Kill(i) })
		}
	}
}

var errOver = errors.New("the fleet has ended")

// down ends all processes. The folder is removed unless it is to be kept.
func (r *rig) down(keep bool) {
	r.end(errOver)
	if r.nodes != nil {
		r.nodes.Down(keep) // its folder is in the rig's
	}
	parts := r.boxes
	for _, p := range []*part{r.clients, r.discovery} {
		if p != nil {
			parts = append(parts, p)
		}
	}
	each(len(parts), func(i int) error {
		parts[i].stop()
		return nil
	})
	if r.wires != nil {
		r.wires.close()
	}
	r.wg.Wait()
	close(r.starts)
	if r.release != nil {
		r.release()
	}
	if !keep && r.dir != "" {
		os.RemoveAll(r.dir) // a folder of ours that stays behind is no reason to fail
	}
}
