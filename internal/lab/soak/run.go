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

// Result is the plan of a run and its observations.
type Result struct {
	Plan         Plan // shifted to the clock of Observations
	Observations *Observations
}

// Run runs a plan with real nodes. It returns an error if the plan could not be run to its end; violations are not errors
// (see Result.Violations). Run writes the logs of the nodes to the existing logFolder as n0.log and so on, or keeps no logs
// if logFolder is empty.
func Run(ctx context.Context, p Plan, program Program, logFolder string) (*Result, error) {
	folder, err := os.MkdirTemp("", "hookwalk-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &run{plan: p, recorder: &recorder{started: time.Now()}, logFolder: logFolder}
	defer r.close()
	if err := r.start(program, folder); err != nil {
		return nil, fmt.Errorf("soak: start %s: %w", p.Title(), err)
	}
	if err := r.playFaults(ctx); err != nil {
		return nil, fmt.Errorf("soak: play %s to its end: %w", p.Title(), err)
	}
	r.recorder.record(fixWatches)
	return &Result{Plan: r.plan, Observations: &r.recorder.observations}, nil
}

// run holds the state of a run: the plan, the stand-ins, the nodes and the clients.
type run struct {
	plan      Plan
	recorder  *recorder
	logFolder string // folder of the nodes' logs; "" to keep none
	servers   []*server
	discovery *discovery
	nodes     []*node
	clients   *clients

	mu       sync.Mutex
	firstErr error // the first error of an injected fault
}

// start starts the stand-ins and the nodes, and waits until all nodes are ready.
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
		n, err := newNode(i, r.plan, r.recorder, r.discovery, program, folder)
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

// close stops the nodes and the stand-ins.
func (r *run) close() {
	var stopping sync.WaitGroup
	for _, n := range r.nodes {
		stopping.Go(func() {
			n.kill()
			n.log.Close() // harmless on a nil log
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

// playFaults sends requests and injects the plan's faults. The times of the plan count from this call.
func (r *run) playFaults(ctx context.Context) error {
	r.plan = r.plan.shifted(r.recorder.now())
	ctx, cancel := context.WithTimeout(ctx, r.plan.Length-r.recorder.now())
	defer cancel()
	go r.recorder.watchStalls(ctx)
	var injecting sync.WaitGroup
	for _, f := range slices.Concat(r.plan.Faults, r.plan.Answers, r.plan.Late, r.plan.SlowPeers, r.plan.Starts) {
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

// waitUntil waits until a time on the clock of the run. It returns false if ctx ends first.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(at - r.recorder.now()):
		return true
	case <-ctx.Done():
		return false
	}
}

// keepError stores the first error of an injected fault.
func (r *run) keepError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.firstErr == nil {
		r.firstErr = err
	}
}

// inject begins one fault and, if it has a duration, ends it.
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
		AnswerNoLength, AnswerShort, AnswerEndless, AnswerLateSecond, ServerLumps, ServerSlowRead:
		r.activate(ctx, &r.servers[f.Target].faults, f)
	case NodePause:
		r.nodes[f.Target].pause(f.Wait)
	case NodeRestart:
		r.startIfEnded(f.Target, r.nodes[f.Target].restart(0, syscall.SIGTERM))
	case NodeKill:
		r.startIfEnded(f.Target, r.nodes[f.Target].kill())
	case ClientCancel, ClientUpload, ClientLumps:
		r.activate(ctx, &r.clients.faults, f)
	}
}

// startIfEnded starts a node again if its incarnation was ended.
func (r *run) startIfEnded(node int, ended bool) {
	if ended {
		r.keepError(r.nodes[node].start())
	}
}

// playSeries restarts a node by a series of signals.
func (r *run) playSeries(s SignalSeries) {
	ended := r.nodes[s.Node].restart(s.Interval, s.Signals...)
	if ended {
		r.recorder.record(func(o *Observations) { o.Series++ })
	}
	r.startIfEnded(s.Node, ended)
}

// playFlood holds connections to a node until the end of the flood.
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

// playBurst sends requests from several clients to a node until the end of the burst.
func (r *run) playBurst(ctx context.Context, b Burst) {
	ctx, cancel := context.WithTimeout(ctx, b.To-r.recorder.now())
	defer cancel()
	var sending sync.WaitGroup
	for range b.Clients {
		sending.Go(func() { r.clients.sendSequentially(ctx, r.nodes[b.Node]) })
	}
	sending.Wait()
}

// activate keeps a fault active at a stand-in until the end of the fault.
func (r *run) activate(ctx context.Context, at *activeFaults, f Fault) {
	at.begin(f)
	r.waitUntil(ctx, f.To)
	at.end(f)
}

// moveDiscovery changes the address of discovery for all nodes, f.Count times.
func (r *run) moveDiscovery(ctx context.Context, f Fault) {
	for range f.Count {
		for _, n := range r.nodes {
			r.keepError(n.changeDiscovery())
		}
		r.waitUntil(ctx, r.recorder.now()+f.Wait)
	}
}
