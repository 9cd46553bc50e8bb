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
type Result struct {
	Plan         Plan
	Observations *Observations
}

// Play plays a plan with real nodes. The error says why it could not be played.
func Run(ctx context.Context, p Plan, program Program) (*Result, error) {
	folder, err := os.MkdirTemp("", "hookwalk-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &run{plan: p, recorder: &recorder{started: time.Now()}}
	defer r.close()
	if err := r.start(program, folder); err != nil {
		return nil, fmt.Errorf("soak: seed %d could not be played: %w", p.Seed, err)
	}
	if err := r.playFaults(ctx); err != nil {
		return nil, fmt.Errorf("soak: seed %d could not be played to its end: %w", p.Seed, err)
	}
	return &Result{Plan: r.plan, Observations: &r.recorder.observations}, nil
}

// rig is all that is played.
type run struct {
	plan      Plan
	recorder  *recorder
	servers   []*server
	discovery *discovery
	nodes     []*node
	clients   *clients

	mu       sync.Mutex
	firstErr error // the first of an action
}

// open starts everything and waits until all nodes are ready.
func (r *run) start(program Program, folder string) error {
	for i := range r.plan.Servers {
		s, err := newServer(i, r.recorder)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	r.discovery = newDiscovery(r.recorder, r.servers)
	for i := range r.plan.Nodes {
		n, err := newNode(i, r.plan.Nodes, r.recorder, r.discovery, program, folder)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	r.clients = newClients(r.recorder, r.nodes)
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
func (r *run) close() {
	var all sync.WaitGroup
	for _, n := range r.nodes {
		all.Go(func() { n.stop(true) })
	}
	all.Wait()
	if r.discovery != nil {
		r.discovery.close()
	}
	for _, s := range r.servers {
		s.http.Close()
	}
}

// play lets the clients come and the faults begin and end. The plan's times are counted from here.
func (r *run) playFaults(ctx context.Context) error {
	r.plan = r.plan.shifted(r.recorder.now())
	ctx, end := context.WithTimeout(ctx, r.plan.Length-r.recorder.now())
	defer end()
	var acting sync.WaitGroup
	for _, f := range r.plan.Faults {
		acting.Go(func() {
			if r.waitUntil(ctx, f.From) {
				r.inject(ctx, f)
			}
		})
	}
	r.clients.run(ctx, r.plan.Rate)
	acting.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstErr
}

// wait waits for a time of the play's clock, unless ctx ends before.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(at - r.recorder.now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// failed keeps the first error of what the rig does.
func (r *run) keepError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.firstErr == nil {
		r.firstErr = err
	}
}

// do makes one fault, from its begin to its end.
func (r *run) inject(ctx context.Context, f Fault) {
	lasting := func(on *activeFaults) {
		on.begin(f)
		r.waitUntil(ctx, f.To)
		on.end(f)
	}
	switch f.Kind {
	case WatchStall:
		r.discovery.stallWatches()
	case WatchReset:
		r.discovery.resetWatches()
	case DiscoverySlow, DiscoveryOverload, DiscoveryNoAnswer, DiscoveryTruncated:
		lasting(&r.discovery.faults)
	case DiscoveryOutage:
		r.keepError(r.discovery.setOutage(true, f.HoldCalls))
		r.waitUntil(ctx, f.To)
		r.keepError(r.discovery.setOutage(false, f.HoldCalls))
	case DiscoveryMove:
		for range f.Count {
			for _, n := range r.nodes {
				r.keepError(n.changeDiscovery())
			}
			r.waitUntil(ctx, r.recorder.now()+f.Wait)
		}
	case ServerDrain:
		r.discovery.drain(f.Target)
	case ServerHang, ServerReset, ServerReject, ServerError:
		lasting(&r.servers[f.Target].faults)
	case NodePause:
		r.nodes[f.Target].pause(f.Wait)
	case NodeRestart, NodeKill:
		if r.nodes[f.Target].stop(f.Kind == NodeKill) {
			r.keepError(r.nodes[f.Target].start())
		}
	case ClientCancel:
		lasting(&r.clients.faults)
	}
}

// String says how much was seen.
func (p *Result) String() string {
	served, refused, failed, none := 0, 0, 0, 0
	for _, a := range p.Observations.Requests {
		switch {
		case a.ClientGone > 0:
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
		len(p.Plan.Faults), len(p.Observations.Requests), served, refused, failed, none, len(p.Observations.Attempts), len(p.Observations.Drains), len(p.Observations.Deliveries), len(p.Observations.AddressChanges))
}
