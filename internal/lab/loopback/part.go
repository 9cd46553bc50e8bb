package loopback

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Worker is what one process has of a world whose boxes, discovery and clients are processes of their own. It plays its
// part with the code that plays a whole world; what concerns the others goes over two pipes, a line of JSON each.
type Worker struct {
	world *World
	mu    sync.Mutex
	out   *json.Encoder
}

// Message is one line between a part and its parent.
type Message struct {
	Operation string `json:"do"`

	Scenario *scenario.Scenario `json:"scenario,omitempty"` // init
	Role     string             `json:"has,omitempty"`      // init: boxes, discovery or clients
	History  string             `json:"history,omitempty"`  // init: the file
	Servers  [][2]int           `json:"boxes,omitempty"`    // init: tier and index of each
	Ports    int                `json:"ports,omitempty"`    // init: the rig's block
	Down     bool               `json:"cold,omitempty"`     // init: they are down until DoUp

	Addresses     map[string]string            `json:"addrs,omitempty"` // ready: of boxes by id, or of discovery by node
	DialAddresses map[string]map[string]string `json:"dials,omitempty"` // init of discovery: by node, where it reaches boxes

	Node string `json:"place,omitempty"` // life: the node
	Name string `json:"name,omitempty"`  // in this life
	Addr string `json:"addr,omitempty"`

	Tier      int           `json:"tier,omitempty"` // learn, want, up, down
	Index     int           `json:"index,omitempty"`
	Health    string        `json:"health,omitempty"`
	StartTime time.Duration `json:"boot,omitempty"`
	Delay     time.Duration `json:"wait,omitempty"`
	Serving   bool          `json:"hears,omitempty"` // hear: the front takes the node for one that serves

	Change *model.Change `json:"change,omitempty"`

	StartTick time.Duration `json:"began,omitempty"` // play: on the monotonic clock
	StartWall int64         `json:"wall,omitempty"`
	Err       string        `json:"err,omitempty"`
}

// What a Message says. The first lines are the parent's, the last ones a part's.
const (
	OpInit            = "init"
	OpNodeIncarnation = "life" // a node has begun a life
	OpNodeServing     = "hear"
	OpMuteWatches     = "hush" // discovery says nothing more on a node's watches, or answers it again
	OpChange          = "change"
	OpPlay            = "play"

	OpReady         = "ready" // all that was asked for at the start is there
	OpEndpointState = "learn" // both: discovery is to list a box's state after a while
	OpServerDied    = "down"  // a box's process has died
	OpStartNode     = "want"  // a box starts as soon as its node is ready: the parent answers with DoUp
	OpServerStart   = "up"    // both: a box starts, or has started
	OpClientsDone   = "done"  // the clients have all their answers
)

func (p *Worker) send(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.out.Encode(m) // a parent that is gone has closed the other pipe too
}

// WatchLateness tells, until stop, by how much a process of the rig is late, each time that it is worse than before: what is
// late then may be the machine's doing.
func WatchLateness(stop <-chan struct{}, tell func(late time.Duration)) {
	const every, least = 10 * time.Millisecond, 20 * time.Millisecond
	tick := time.NewTimer(every)
	defer tick.Stop()
	for worst := least; ; tick.Reset(every) {
		before := Monotonic()
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if late := Monotonic() - before - every; late > worst {
			worst = late
			tell(late)
		}
	}
}

// beforeStart is the clock of a part until the play begins: all that it notes so far is noted at 0.
const beforeStart = time.Duration(1) << 60

// ServeWorker plays a part of a world as its parent says, until that closes the pipe or ctx ends.
func ServeWorker(ctx context.Context, in io.Reader, out io.Writer) error {
	p := &Worker{out: json.NewEncoder(out)}
	lines := bufio.NewReader(in)
	first, err := readMessage(lines)
	if err != nil {
		return fmt.Errorf("part: %w", err)
	}
	if first.Operation != OpInit || first.Scenario == nil {
		return errors.New("part: the first line is no init")
	}
	file, err := os.OpenFile(first.History, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("part: %w", err)
	}
	defer file.Close()
	w, err := newWorld(ctx, first.Scenario, Options{Recorder: blackbox.NewHeadlessRecorder(file), Ports: first.Ports})
	if w.dir != "" {
		defer os.RemoveAll(w.dir)
	}
	defer w.Down(false)
	if err != nil {
		return err
	}
	p.world, w.worker = w, p
	w.setClock(beforeStart, time.Now())
	if first.StartTick > 0 { // the play has begun without it
		w.setClock(first.StartTick, time.Unix(0, first.StartWall))
	}
	if err := p.begin(first); err != nil {
		p.send(Message{Operation: OpReady, Err: err.Error()})
		return err
	}
	for {
		m, err := readMessage(lines)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("part: %w", err)
		}
		if err := p.apply(m); err != nil {
			return fmt.Errorf("part: %s: %w", m.Operation, err)
		}
	}
}

func readMessage(lines *bufio.Reader) (m Message, err error) {
	text, err := lines.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}

// startCommand opens what a part has.
func (p *Worker) begin(m Message) error {
	w := p.world
	ready := Message{Operation: OpReady, Addresses: map[string]string{}}
	switch m.Role {
	case "boxes":
		for _, at := range m.Servers {
			b, err := w.serverAt(at[0], at[1])
			if err != nil {
				return err
			}
			if m.Down {
				b.model.Stop()
				continue
			}
			if err := b.start(); err != nil {
				return err
			}
			ready.Addresses[b.model.ID] = b.addr
		}
	case "discovery":
		for _, n := range w.processes {
			n.dialAddresses = m.DialAddresses[n.base]
		}
		w.discovery = &discovery{world: w, listeners: map[*process]*nodeListener{}}
		if err := w.discovery.open(); err != nil {
			return err
		}
		for _, n := range w.processes {
			ready.Addresses[n.base] = w.discovery.discoveryAddr(n)
		}
	case "clients":
	default:
		return fmt.Errorf("there is no part %q", m.Role)
	}
	p.send(ready)
	return nil
}

// server finds one that exists.
func (w *World) serverAt(tier, index int) (*server, error) {
	if tier < 0 || tier >= len(w.servers) || index < 0 || index >= len(w.servers[tier]) {
		return nil, fmt.Errorf("there is no box %d in tier %d", index, tier)
	}
	return w.servers[tier][index], nil
}

// apply does what the parent says.
func (p *Worker) apply(m Message) error {
	w := p.world
	switch m.Operation {
	case OpNodeIncarnation:
		for _, n := range w.processes {
			if n.base == m.Node {
				n.mu.Lock()
				n.name, n.addr = m.Name, m.Addr
				n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second, DisableCompression: true}}
				n.mu.Unlock()
			}
		}
	case OpNodeServing:
		if m.Index < 0 || m.Index >= len(w.ingress.believedServing) {
			return errors.New("there is no such node")
		}
		w.ingress.setServing(m.Index, m.Serving)
	case OpMuteWatches:
		for _, n := range w.processes {
			if n.base == m.Node {
				w.discovery.setMuted(n, !m.Serving)
			}
		}
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
		w.setClock(m.StartTick, time.Unix(0, m.StartWall))
		w.goOwned(func() {
			WatchLateness(w.ctx.Done(), func(late time.Duration) {
				w.observations.record(blackbox.Event{At: w.now(), Kind: blackbox.ProcessLate, Duration: late})
			})
		})
		if m.Role == "clients" {
			w.goOwned(func() {
				w.sleep(-w.now())
				w.playClients()
				p.send(Message{Operation: OpClientsDone})
			})
		}
	default:
		return errors.New("it is not known")
	}
	return nil
}
