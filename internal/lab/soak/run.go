package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Result is a plan that was run and what was observed.
type Result struct {
	Plan         Plan // with its times on the clock of Observations
	Observations *Observations
}

// Run runs a plan with real nodes. The error says why it could not be run to its end; broken rules are no error (see
// Result.Violations). The nodes' logs are kept in logFolder, which exists, as n0.log and so on; empty: they are not kept.
func Run(ctx context.Context, p Plan, program Program, logFolder string) (*Result, error) {
	folder, err := os.MkdirTemp("", "hookwalk-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &run{plan: p, recorder: &recorder{started: time.Now()}, logFolder: logFolder}
	defer r.close()
	if err := r.start(program, folder); err != nil {
		return nil, fmt.Errorf("soak: %s could not be played: %w", p.Title(), err)
	}
	if err := r.playFaults(ctx); err != nil {
		return nil, fmt.Errorf("soak: %s could not be played to its end: %w", p.Title(), err)
	}
	return &Result{Plan: r.plan, Observations: &r.recorder.observations}, nil
}

// run is all that a plan is run with.
type run struct {
	plan      Plan
	recorder  *recorder
	logFolder string // where the nodes' logs are kept; empty: they are not
	servers   []*server
	discovery *discovery
	nodes     []*node
	clients   *clients

	mu       sync.Mutex
	firstErr error // of an injection
}

// start starts everything and waits until all nodes are ready.
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
		if r.logFolder != "" {
			if n.log, err = os.Create(filepath.Join(r.logFolder, fmt.Sprintf("n%d.log", i))); err != nil {
				return err
			}
		}
		r.nodes = append(r.nodes, n)
	}
	r.clients = newClients(r.recorder, r.nodes)
	return r.startNodes()
}

// startNodes starts all nodes at once and returns the first error.
func (r *run) startNodes() error {
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
	var stopping sync.WaitGroup
	for _, n := range r.nodes {
		stopping.Go(func() {
			n.kill()
			n.log.Close() // one that is not kept has nothing to close
		})
	}
	stopping.Wait()
	if r.discovery != nil {
		r.discovery.close()
	}
	for _, s := range r.servers {
		s.http.Close()
	}
}

// playFaults sends requests while the faults begin and end. The plan's times count from here.
func (r *run) playFaults(ctx context.Context) error {
	r.plan = r.plan.shifted(r.recorder.now())
	ctx, cancel := context.WithTimeout(ctx, r.plan.Length-r.recorder.now())
	defer cancel()
	go r.recorder.watchStalls(ctx)
	var injecting sync.WaitGroup
	for _, f := range slices.Concat(r.plan.Faults, r.plan.Answers, r.plan.Late) {
		injecting.Go(func() {
			if r.waitUntil(ctx, f.From) {
				r.inject(ctx, f)
			}
		})
	}
	for _, s := range r.plan.Series {
		injecting.Go(func() {
			if r.waitUntil(ctx, s.From) {
				r.playSeries(s)
			}
		})
	}
	for _, c := range r.plan.Floods {
		injecting.Go(func() {
			if r.waitUntil(ctx, c.From) {
				r.playFlood(ctx, c)
			}
		})
	}
	for _, b := range slices.Concat(r.plan.Bursts, r.plan.LateBursts) {
		injecting.Go(func() {
			if r.waitUntil(ctx, b.From) {
				r.playBurst(ctx, b)
			}
		})
	}
	r.clients.run(ctx, r.plan.Rate)
	injecting.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstErr
}

// waitUntil waits for a time of the run's clock. It returns false if ctx ends before.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(at - r.recorder.now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// keepError keeps the first error of an injection.
func (r *run) keepError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.firstErr == nil {
		r.firstErr = err
	}
}

// inject plays one fault, from its begin to its end.
func (r *run) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case WatchStall:
		r.discovery.stallWatches()
	case WatchReset:
		r.discovery.resetWatches()
	case DiscoverySlow, DiscoveryOverload, DiscoveryDelayedRejection, DiscoveryNoAnswer, DiscoveryTruncated:
		r.activate(ctx, &r.discovery.faults, f)
	case DiscoveryOutage:
		r.keepError(r.discovery.setOutage(true, f.HoldCalls))
		r.waitUntil(ctx, f.To)
		r.keepError(r.discovery.setOutage(false, f.HoldCalls))
	case DiscoveryMove:
		r.moveDiscovery(ctx, f)
	case ServerDrain:
		r.discovery.drain(f.Target)
	case ServerHang, ServerReset, ServerReject, ServerError, AnswerSecond, AnswerSecondRejected, AnswerClose, AnswerPieces,
		AnswerNoLength, AnswerShort, AnswerEndless, AnswerLateSecond:
		r.activate(ctx, &r.servers[f.Target].faults, f)
	case NodePause:
		r.nodes[f.Target].pause(f.Wait)
	case NodeRestart:
		r.startIfEnded(f.Target, r.nodes[f.Target].restart(0, syscall.SIGTERM))
	case NodeKill:
		r.startIfEnded(f.Target, r.nodes[f.Target].kill())
	case ClientCancel:
		r.activate(ctx, &r.clients.faults, f)
	}
}

// startIfEnded starts a node whose incarnation has ended.
func (r *run) startIfEnded(node int, ended bool) {
	if ended {
		r.keepError(r.nodes[node].start())
	}
}

// playSeries restarts a node with signals in a row.
func (r *run) playSeries(s SignalSeries) {
	ended := r.nodes[s.Node].restart(s.Interval, s.Signals...)
	if ended {
		r.recorder.record(func(o *Observations) { o.Series++ })
	}
	r.startIfEnded(s.Node, ended)
}

// playFlood holds connections to a node until the crowd goes.
func (r *run) playFlood(ctx context.Context, c ConnectionFlood) {
	ctx, cancel := context.WithTimeout(ctx, c.To-r.recorder.now())
	defer cancel()
	if c.Outage {
		r.keepError(r.discovery.setOutage(true, false))
		defer func() { r.keepError(r.discovery.setOutage(false, false)) }()
	}
	idle := connectionFlood{address: r.nodes[c.Node].listen}
	idle.hold(ctx, c.Connections)
	r.recorder.record(func(o *Observations) {
		o.Floods = append(o.Floods, FloodSpan{Node: c.Node, From: c.From, To: r.recorder.now()})
	})
}

// playBurst has clients send to a node until the burst is over.
func (r *run) playBurst(ctx context.Context, b Burst) {
	ctx, cancel := context.WithTimeout(ctx, b.To-r.recorder.now())
	defer cancel()
	var sending sync.WaitGroup
	for range b.Clients {
		sending.Go(func() { r.clients.sendSequentially(ctx, r.nodes[b.Node]) })
	}
	sending.Wait()
}

// activate has a fault in force at a stand-in until it is over.
func (r *run) activate(ctx context.Context, at *activeFaults, f Fault) {
	at.begin(f)
	r.waitUntil(ctx, f.To)
	at.end(f)
}

// moveDiscovery gives all nodes another address of discovery, several times in a row.
func (r *run) moveDiscovery(ctx context.Context, f Fault) {
	for range f.Count {
		for _, n := range r.nodes {
			r.keepError(n.changeDiscovery())
		}
		r.waitUntil(ctx, r.recorder.now()+f.Wait)
	}
}
