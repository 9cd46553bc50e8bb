package loopback

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
)

// unsetStartTick is the start tick until the run begins. It is so far in the future that all earlier events have
// negative times.
const unsetStartTick = time.Duration(1) << 60

// Errors caused by invalid messages from the parent.
var (
	errNoInit           = errors.New("the first message is not a valid init message")
	errNoSuchNode       = errors.New("no ingress node has the index in the message")
	errUnknownOperation = errors.New("unknown operation")
)

// Worker runs one part of a world whose servers, discovery and clients run in separate processes. It uses the same code
// as a world in a single process, and exchanges a Message per line with its parent over two pipes.
type Worker struct {
	world *World
	mu    sync.Mutex
	out   *json.Encoder
}

// send sends a message to the parent. It ignores errors: a parent that has exited has closed the other pipe too.
func (k *Worker) send(m Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.out.Encode(m)
}

// ServeWorker runs a worker as its parent instructs, until the parent closes the pipe. The end of ctx cancels the
// context of the worker's world.
func ServeWorker(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	init, err := readMessage(lines)
	if err != nil {
		return fmt.Errorf("worker: read the init message: %w", err)
	}
	if init.Operation != OpInit || init.Scenario == nil {
		return fmt.Errorf("worker: %w", errNoInit)
	}
	file, err := os.OpenFile(init.History, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("worker: open the history: %w", err)
	}
	defer file.Close()
	w, err := newWorld(ctx, init.Scenario, Options{Recorder: blackbox.NewHeadlessRecorder(file), Ports: init.Ports})
	if w.dir != "" {
		defer os.RemoveAll(w.dir)
	}
	defer w.Shutdown(false)
	if err != nil {
		return err
	}
	k := &Worker{world: w, out: json.NewEncoder(out)}
	w.worker = k
	w.setClock(unsetStartTick, time.Now())
	if init.StartTick > 0 { // the run has already begun
		w.setClock(init.StartTick, time.Unix(0, init.StartWall))
	}
	if err := k.initialize(init); err != nil {
		k.send(Message{Operation: OpReady, Err: err.Error()})
		return err
	}
	return k.serve(lines)
}

// serve handles the parent's messages until the parent closes the pipe.
func (k *Worker) serve(lines *bufio.Reader) error {
	for {
		m, err := readMessage(lines)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("worker: read a message: %w", err)
		}
		if err := k.apply(m); err != nil {
			return fmt.Errorf("worker: operation %s: %w", m.Operation, err)
		}
	}
}

// initialize starts the part of the world that the worker's role requires.
func (k *Worker) initialize(init Message) error {
	ready := Message{Operation: OpReady, Addresses: map[string]string{}}
	var err error
	switch init.Role {
	case RoleServers:
		err = k.startServers(init, ready.Addresses)
	case RoleDiscovery:
		err = k.startDiscovery(init, ready.Addresses)
	case RoleClients:
	default:
		err = fmt.Errorf("unknown role %q", init.Role)
	}
	if err != nil {
		return err
	}
	k.send(ready)
	return nil
}

// startServers starts the worker's servers and adds their addresses to addresses. With init.Down, the servers stay
// down.
func (k *Worker) startServers(init Message, addresses map[string]string) error {
	for _, position := range init.Servers {
		srv, err := k.world.serverAt(position[0], position[1])
		if err != nil {
			return err
		}
		if init.Down {
			srv.model.Stop()
			continue
		}
		if err := srv.start(); err != nil {
			return err
		}
		addresses[srv.model.ID] = srv.addr
	}
	return nil
}

// startDiscovery starts discovery and adds its address for each node to addresses.
func (k *Worker) startDiscovery(init Message, addresses map[string]string) error {
	w := k.world
	for _, p := range w.processes {
		p.dialAddresses = init.DialAddresses[p.base]
	}
	w.discovery = newDiscovery(w)
	if err := w.discovery.open(); err != nil {
		return err
	}
	for _, p := range w.processes {
		addresses[p.base] = w.discovery.discoveryAddr(p)
	}
	return nil
}

// serverAt returns a server by tier and index.
func (w *World) serverAt(tier, index int) (*server, error) {
	if tier < 0 || tier >= len(w.servers) || index < 0 || index >= len(w.servers[tier]) {
		return nil, fmt.Errorf("server %d of tier %d does not exist", index, tier)
	}
	return w.servers[tier][index], nil
}

// apply carries out a message of the parent.
func (k *Worker) apply(m Message) error {
	w := k.world
	switch m.Operation {
	case OpNodeIncarnation:
		k.eachProcess(m.Node, func(p *process) { p.setIncarnation(m.Name, m.Addr) })
	case OpNodeServing:
		if m.Index < 0 || m.Index >= len(w.ingress.nodes) {
			return errNoSuchNode
		}
		w.ingress.setServing(m.Index, m.Serving)
	case OpMuteWatches:
		k.eachProcess(m.Node, func(p *process) { w.discovery.setMuted(p, !m.Serving) })
	case OpEndpointState:
		srv, err := w.serverAt(m.Tier, m.Index)
		if err != nil {
			return err
		}
		w.discovery.updateEndpoint(srv, m.Health, m.StartTime, m.Delay)
	case OpServerStart:
		srv, err := w.serverAt(m.Tier, m.Index)
		if err != nil {
			return err
		}
		return w.startServer(srv)
	case OpChange:
		return w.applyChange(*m.Change)
	case OpRun:
		k.startRun(m)
	default:
		return errUnknownOperation
	}
	return nil
}

// eachProcess calls do for each node with a base name.
func (k *Worker) eachProcess(base string, do func(*process)) {
	for _, p := range k.world.processes {
		if p.base == base {
			do(p)
		}
	}
}

// startRun sets the start of the scenario, and starts the clients if the worker has their role.
func (k *Worker) startRun(m Message) {
	w := k.world
	w.setClock(m.StartTick, time.Unix(0, m.StartWall))
	w.spawn(func() {
		WatchLateness(w.ctx.Done(), func(late time.Duration) {
			w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.ProcessLate, Duration: late})
		})
	})
	if m.Role != RoleClients {
		return
	}
	w.spawn(func() {
		w.sleep(-w.now())
		w.runClients()
		k.send(Message{Operation: OpClientsDone})
	})
}
