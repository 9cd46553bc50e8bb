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

// Part is what one process has of a world whose boxes, discovery and clients are processes of their own. It plays its
// part with the code that plays a whole world; what concerns the others goes over two pipes, a line of JSON each.
type Part struct {
	world *World
	mu    sync.Mutex
	out   *json.Encoder
}

// Message is one line between a part and its parent.
type Message struct {
	Do string `json:"do"`

	Scenario *scenario.Scenario `json:"scenario,omitempty"` // init
	Has      string             `json:"has,omitempty"`      // init: boxes, discovery or clients
	History  string             `json:"history,omitempty"`  // init: the file
	Boxes    [][2]int           `json:"boxes,omitempty"`    // init: tier and index of each
	Ports    int                `json:"ports,omitempty"`    // init: the rig's block
	Cold     bool               `json:"cold,omitempty"`     // init: they are down until DoUp

	Addrs map[string]string            `json:"addrs,omitempty"` // ready: of boxes by id, or of discovery by node
	Dials map[string]map[string]string `json:"dials,omitempty"` // init of discovery: by node, where it reaches boxes

	Place string `json:"place,omitempty"` // life: the node
	Name  string `json:"name,omitempty"`  // in this life
	Addr  string `json:"addr,omitempty"`

	Tier   int           `json:"tier,omitempty"` // learn, want, up, down
	Index  int           `json:"index,omitempty"`
	Health string        `json:"health,omitempty"`
	Boot   time.Duration `json:"boot,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	Hears  bool          `json:"hears,omitempty"` // hear: the front takes the node for one that serves

	Change *model.Change `json:"change,omitempty"`

	Began time.Duration `json:"began,omitempty"` // play: on the monotonic clock
	Wall  int64         `json:"wall,omitempty"`
	Err   string        `json:"err,omitempty"`
}

// What a Message says. The first lines are the parent's, the last ones a part's.
const (
	DoInit   = "init"
	DoLife   = "life" // a node has begun a life
	DoHear   = "hear"
	DoHush   = "hush" // discovery says nothing more on a node's watches, or answers it again
	DoChange = "change"
	DoPlay   = "play"

	DoReady = "ready" // all that was asked for at the start is there
	DoLearn = "learn" // both: discovery is to list a box's state after a while
	DoDown  = "down"  // a box's process has died
	DoWant  = "want"  // a box starts as soon as its node is ready: the parent answers with DoUp
	DoUp    = "up"    // both: a box starts, or has started
	DoDone  = "done"  // the clients have all their answers
)

func (p *Part) tell(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.out.Encode(m) // a parent that is gone has closed the other pipe too
}

// Lateness tells, until stop, by how much a process of the rig is late, each time that it is worse than before: what is
// late then may be the machine's doing.
func Lateness(stop <-chan struct{}, tell func(late time.Duration)) {
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

// beforePlay is the clock of a part until the play begins: all that it notes so far is noted at 0.
const beforePlay = time.Duration(1) << 60

// ServePart plays a part of a world as its parent says, until that closes the pipe or ctx ends.
func ServePart(ctx context.Context, in io.Reader, out io.Writer) error {
	p := &Part{out: json.NewEncoder(out)}
	lines := bufio.NewReader(in)
	first, err := read(lines)
	if err != nil {
		return fmt.Errorf("part: %w", err)
	}
	if first.Do != DoInit || first.Scenario == nil {
		return errors.New("part: the first line is no init")
	}
	file, err := os.OpenFile(first.History, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("part: %w", err)
	}
	defer file.Close()
	w, err := newWorld(ctx, first.Scenario, Options{Record: blackbox.Continue(file), Ports: first.Ports})
	if w.dir != "" {
		defer os.RemoveAll(w.dir)
	}
	defer w.Down(false)
	if err != nil {
		return err
	}
	p.world, w.away = w, p
	w.setClock(beforePlay, time.Now())
	if first.Began > 0 { // the play has begun without it
		w.setClock(first.Began, time.Unix(0, first.Wall))
	}
	if err := p.begin(first); err != nil {
		p.tell(Message{Do: DoReady, Err: err.Error()})
		return err
	}
	for {
		m, err := read(lines)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("part: %w", err)
		}
		if err := p.take(m); err != nil {
			return fmt.Errorf("part: %s: %w", m.Do, err)
		}
	}
}

func read(lines *bufio.Reader) (m Message, err error) {
	text, err := lines.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}

// begin opens what a part has.
func (p *Part) begin(m Message) error {
	w := p.world
	ready := Message{Do: DoReady, Addrs: map[string]string{}}
	switch m.Has {
	case "boxes":
		for _, at := range m.Boxes {
			b, err := w.box(at[0], at[1])
			if err != nil {
				return err
			}
			if m.Cold {
				b.model.Stop()
				continue
			}
			if err := b.start(); err != nil {
				return err
			}
			ready.Addrs[b.model.ID] = b.addr
		}
	case "discovery":
		for _, n := range w.processes {
			n.dials = m.Dials[n.place]
		}
		w.disc = &discovery{w: w, doors: map[*process]*door{}}
		if err := w.disc.open(); err != nil {
			return err
		}
		for _, n := range w.processes {
			ready.Addrs[n.place] = w.disc.addr(n)
		}
	case "clients":
	default:
		return fmt.Errorf("there is no part %q", m.Has)
	}
	p.tell(ready)
	return nil
}

// box finds one that exists.
func (w *World) box(tier, index int) (*box, error) {
	if tier < 0 || tier >= len(w.boxes) || index < 0 || index >= len(w.boxes[tier]) {
		return nil, fmt.Errorf("there is no box %d in tier %d", index, tier)
	}
	return w.boxes[tier][index], nil
}

// take does what the parent says.
func (p *Part) take(m Message) error {
	w := p.world
	switch m.Do {
	case DoLife:
		for _, n := range w.processes {
			if n.place == m.Place {
				n.mu.Lock()
				n.name, n.addr = m.Name, m.Addr
				n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second, DisableCompression: true}}
				n.mu.Unlock()
			}
		}
	case DoHear:
		if m.Index < 0 || m.Index >= len(w.front.knows) {
			return errors.New("there is no such node")
		}
		w.front.hear(m.Index, m.Hears)
	case DoHush:
		for _, n := range w.processes {
			if n.place == m.Place {
				w.disc.hush(n, !m.Hears)
			}
		}
	case DoLearn:
		b, err := w.box(m.Tier, m.Index)
		if err != nil {
			return err
		}
		w.disc.learn(b, m.Health, m.Boot, m.Wait)
	case DoUp:
		b, err := w.box(m.Tier, m.Index)
		if err != nil {
			return err
		}
		return w.bootNow(b)
	case DoChange:
		return w.change(*m.Change)
	case DoPlay:
		w.setClock(m.Began, time.Unix(0, m.Wall))
		w.own(func() {
			Lateness(w.ctx.Done(), func(late time.Duration) { w.facts.seen(blackbox.Event{At: w.now(), What: blackbox.Late, Budget: late}) })
		})
		if m.Has == "clients" {
			w.own(func() {
				w.sleep(-w.now())
				w.clients()
				p.tell(Message{Do: DoDone})
			})
		}
	default:
		return errors.New("it is not known")
	}
	return nil
}
