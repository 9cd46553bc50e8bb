package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Played is a plan that was played and what was seen, by one clock.
type Played struct {
	Plan  Plan
	Facts *Facts
}

// Play plays a plan with real nodes. The error says why it could not be played.
func Play(ctx context.Context, p Plan, program Program) (*Played, error) {
	folder, err := os.MkdirTemp("", "hookwalk-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &rig{plan: p, rec: &record{began: time.Now()}}
	defer r.close()
	if err := r.open(program, folder); err != nil {
		return nil, fmt.Errorf("soak: seed %d could not be played: %w", p.Seed, err)
	}
	if err := r.play(ctx); err != nil {
		return nil, fmt.Errorf("soak: seed %d could not be played to its end: %w", p.Seed, err)
	}
	return &Played{Plan: r.plan, Facts: &r.rec.facts}, nil
}

// rig is all that is played.
type rig struct {
	plan    Plan
	rec     *record
	servers []*server
	disc    *discovery
	nodes   []*node
	clients *clients

	mu  sync.Mutex
	err error // the first of an action
}

// open starts everything and waits until all nodes are ready.
func (r *rig) open(program Program, folder string) error {
	for i := range r.plan.Servers {
		s, err := newServer(i, r.rec)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	r.disc = newDiscovery(r.rec, r.servers)
	for i := range r.plan.Nodes {
		n, err := newNode(i, r.plan.Nodes, r.rec, r.disc, program, folder)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	r.clients = newClients(r.rec, r.nodes)
	errs := make(chan error, len(r.nodes))
	for _, n := range r.nodes {
		go func() { errs <- n.start() }()
	}
	var first error
	for range r.nodes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// close ends everything.
func (r *rig) close() {
	var all sync.WaitGroup
	for _, n := range r.nodes {
		all.Go(func() { n.stop(true) })
	}
	all.Wait()
	if r.disc != nil {
		r.disc.close()
	}
	for _, s := range r.servers {
		s.http.Close()
	}
}

// play lets the clients come and the faults begin and end. The plan's times are counted from here.
func (r *rig) play(ctx context.Context) error {
	r.plan = r.plan.after(r.rec.now())
	ctx, end := context.WithTimeout(ctx, r.plan.Length-r.rec.now())
	defer end()
	var acting sync.WaitGroup
	for _, f := range r.plan.Faults {
		acting.Go(func() {
			if r.wait(ctx, f.From) {
				r.do(ctx, f)
			}
		})
	}
	r.clients.run(ctx, r.plan.Rate)
	acting.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// wait waits for a time of the play's clock, unless ctx ends before.
func (r *rig) wait(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(at - r.rec.now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// failed keeps the first error of what the rig does.
func (r *rig) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.err == nil {
		r.err = err
	}
}

// do makes one fault, from its begin to its end.
func (r *rig) do(ctx context.Context, f Fault) {
	lasting := func(on *faults) {
		on.begin(f)
		r.wait(ctx, f.To)
		on.end(f)
	}
	switch f.Kind {
	case Silent:
		r.disc.hush()
	case EndWatch:
		r.disc.reset()
	case Slow, Crowded, Lose, Cut:
		lasting(&r.disc.faults)
	case Down:
		r.failed(r.disc.setDown(true, f.Waits))
		r.wait(ctx, f.To)
		r.failed(r.disc.setDown(false, f.Waits))
	case Move:
		for range f.Count {
			for _, n := range r.nodes {
				r.failed(n.move())
			}
			r.wait(ctx, r.rec.now()+f.Wait)
		}
	case Drain:
		r.disc.drain(f.Which)
	case Hang, Reset, Reject, Fail:
		lasting(&r.servers[f.Which].faults)
	case Pause:
		r.nodes[f.Which].pause(f.Wait)
	case Restart, Kill:
		if r.nodes[f.Which].stop(f.Kind == Kill) {
			r.failed(r.nodes[f.Which].start())
		}
	case LeaveSoon:
		lasting(&r.clients.faults)
	}
}

// String says how much was seen.
func (p *Played) String() string {
	served, refused, failed, none := 0, 0, 0, 0
	for _, a := range p.Facts.Asked {
		switch {
		case a.Left > 0:
		case a.Status == http.StatusOK:
			served++
		case a.Status == http.StatusServiceUnavailable:
			refused++
		case a.Status == 0:
			none++
		default:
			failed++
		}
	}
	return fmt.Sprintf("%d faults, %d requests: %d served, %d refused, %d failed, %d without an answer; %d attempts, %d drains, %d lists, %d moves",
		len(p.Plan.Faults), len(p.Facts.Asked), served, refused, failed, none, len(p.Facts.Arrivals), len(p.Facts.Drains), len(p.Facts.Written), len(p.Facts.Moves))
}
