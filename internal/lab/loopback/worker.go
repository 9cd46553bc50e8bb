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

// beforeStart is a worker's start tick until the play begins: it lies so far ahead that all that happens before is recorded
// as of time 0 or earlier.
const beforeStart = time.Duration(1) << 60

// Errors of a parent that sends what a worker can't do.
var (
	errNoInit           = errors.New("the first message is no init")
	errNoSuchNode       = errors.New("there is no such node")
	errUnknownOperation = errors.New("unknown operation")
)

// Worker is what one process has of a world whose servers, discovery and clients are processes of their own. It runs the
// code that plays a whole world; what concerns the others goes over two pipes, a Message a line.
type Worker struct {
	world *World
	mu    sync.Mutex
	out   *json.Encoder
}

// send sends a message to the parent. One that is gone has closed the other pipe too.
func (k *Worker) send(m Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.out.Encode(m)
}

// ServeWorker runs a worker as its parent says, until the parent closes the pipe or ctx ends.
func ServeWorker(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	init, err := readMessage(lines)
	if err != nil {
		return fmt.Errorf("part: %w", err)
	}
	if init.Operation != OpInit || init.Scenario == nil {
		return fmt.Errorf("part: %w", errNoInit)
	}
	file, err := os.OpenFile(init.History, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("part: %w", err)
	}
	defer file.Close()
	w, err := newWorld(ctx, init.Scenario, Options{Recorder: blackbox.NewHeadlessRecorder(file), Ports: init.Ports})
	if w.dir != "" {
		defer os.RemoveAll(w.dir)
	}
	defer w.Down(false)
	if err != nil {
		return err
	}
	k := &Worker{world: w, out: json.NewEncoder(out)}
	w.worker = k
	w.setClock(beforeStart, time.Now())
	if init.StartTick > 0 { // the play has begun without it
		w.setClock(init.StartTick, time.Unix(0, init.StartWall))
	}
	if err := k.begin(init); err != nil {
		k.send(Message{Operation: OpReady, Err: err.Error()})
		return err
	}
	return k.serve(lines)
}

// serve does what the parent says until it closes the pipe.
func (k *Worker) serve(lines *bufio.Reader) error {
	for {
		m, err := readMessage(lines)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("part: %w", err)
		}
		if err := k.apply(m); err != nil {
			return fmt.Errorf("part: %s: %w", m.Operation, err)
		}
	}
}

// begin opens what the worker has.
func (k *Worker) begin(init Message) error {
	ready := Message{Operation: OpReady, Addresses: map[string]string{}}
	var err error
	switch init.Role {
	case RoleServers:
		err = k.beginServers(init, ready.Addresses)
	case RoleDiscovery:
		err = k.beginDiscovery(init, ready.Addresses)
	case RoleClients:
	default:
		err = fmt.Errorf("there is no part %q", init.Role)
	}
	if err != nil {
		return err
	}
	k.send(ready)
	return nil
}

// beginServers starts the servers, unless they are to be down, and adds their addresses.
func (k *Worker) beginServers(init Message, addresses map[string]string) error {
	for _, at := range init.Servers {
		b, err := k.world.serverAt(at[0], at[1])
		if err != nil {
			return err
		}
		if init.Down {
			b.model.Stop()
			continue
		}
		if err := b.start(); err != nil {
			return err
		}
		addresses[b.model.ID] = b.addr
	}
	return nil
}

// beginDiscovery opens discovery and adds its address for each node.
func (k *Worker) beginDiscovery(init Message, addresses map[string]string) error {
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

// serverAt finds a server.
func (w *World) serverAt(tier, index int) (*server, error) {
	if tier < 0 || tier >= len(w.servers) || index < 0 || index >= len(w.servers[tier]) {
		return nil, fmt.Errorf("there is no server %d in tier %d", index, tier)
	}
	return w.servers[tier][index], nil
}

// apply does what the parent says.
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
		b, err := w.serverAt(m.Tier, m.Index)
		if err != nil {
			return err
		}
		w.discovery.updateEndpoint(b, m.Health, m.StartTime, m.Delay)
	case OpServerStart:
		b, err := w.serverAt(m.Tier, m.Index)
		if err != nil {
			return err
		}
		return w.startServer(b)
	case OpChange:
		return w.applyChange(*m.Change)
	case OpPlay:
		k.play(m)
	default:
		return errUnknownOperation
	}
	return nil
}

// eachProcess does something for the nodes of a base name.
func (k *Worker) eachProcess(base string, do func(*process)) {
	for _, p := range k.world.processes {
		if p.base == base {
			do(p)
		}
	}
}

// play begins the scenario's time, and has the clients come if the worker has them.
func (k *Worker) play(m Message) {
	w := k.world
	w.setClock(m.StartTick, time.Unix(0, m.StartWall))
	w.goOwned(func() {
		WatchLateness(w.ctx.Done(), func(late time.Duration) {
			w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.ProcessLate, Duration: late})
		})
	})
	if m.Role != RoleClients {
		return
	}
	w.goOwned(func() {
		w.sleep(-w.now())
		w.playClients()
		k.send(Message{Operation: OpClientsDone})
	})
}
