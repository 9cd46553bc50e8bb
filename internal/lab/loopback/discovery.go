package loopback

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// roster is a list, or its changes, in discovery's published form.
type roster struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// discovery is the stand-in service: a list for each tier, watches, one queue of calls, and faults. Each node asks
// at an address of its own, which is how the service knows whom it tells.
type discovery struct {
	w *World

	mu      sync.Mutex
	tiers   []*tierList
	doors   map[*process]*door
	down    bool
	watches atomic.Int64 // so far
	free    time.Time    // when the calls so far are worked off
}

// door is the address of one node.
type door struct {
	addr   string
	server *http.Server
	quiet  chan struct{}    // closed: what is open there brings nothing any more
	mute   bool             // a call is taken, and never answered
	given  []blackbox.Event // watches that the node gave up meanwhile
}

// hush has nothing more come on the watches that a node has open. While it is on, the node's calls are taken and not
// answered either.
func (d *discovery) hush(p *process, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	door := d.doors[p]
	if door.mute = on; on {
		close(door.quiet)
		door.quiet = make(chan struct{})
		return
	}
	for _, e := range door.given { // from now on it can ask anew
		now := d.w.now()
		e.At, e.Budget = now, now-e.At
		d.w.facts.seen(e)
	}
	door.given = nil
}

// given notes that a node has given up a watch that had fallen silent.
func (d *discovery) given(p *process, e blackbox.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if door := d.doors[p]; door.mute {
		door.given = append(door.given, e)
		return
	}
	d.w.facts.seen(e)
}

type tierList struct {
	seq     int64
	hosts   []entry
	changed []int64       // the version that changed an entry last
	news    chan struct{} // closed at a change
	orders  map[string]int
}

// open lists all boxes as they are and listens.
func (d *discovery) open() error {
	for _, row := range d.w.boxes {
		l := &tierList{seq: 1, news: make(chan struct{}), orders: map[string]int{}}
		for i, b := range row {
			l.hosts = append(l.hosts, entry{Host: b.model.ID, Dial: b.addr, Site: "benchland", Class: b.model.Kind.Name,
				Block: i / 6, Health: "in_service", Share: 1})
			l.changed = append(l.changed, 1)
		}
		d.tiers = append(d.tiers, l)
	}
	for _, p := range d.w.processes {
		d.doors[p] = &door{}
		if err := d.listen(p); err != nil {
			return err
		}
	}
	return nil
}

// listen begins to serve a node's list, at its old address if it had one.
func (d *discovery) listen(p *process) error {
	ln, err := d.w.listenAt(d.addr(p), link.ForDiscovery)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { d.serve(rw, r, p) }),
		ReadHeaderTimeout: 5 * time.Second}
	d.mu.Lock()
	*d.doors[p] = door{addr: ln.Addr().String(), server: server, quiet: make(chan struct{}), mute: d.doors[p].mute, given: d.doors[p].given}
	d.mu.Unlock()
	d.w.own(func() { server.Serve(ln) })
	return nil
}

func (d *discovery) addr(p *process) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.doors[p].addr
}

// known is the whole list of a node's tier.
func (d *discovery) known(p *process) roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.tiers[p.tier]
	return roster{Seq: l.seq, Whole: true, Hosts: p.dialed(slices.Clone(l.hosts))}
}

// dialed are boxes with the addresses at which a node reaches them.
func (p *process) dialed(hosts []entry) []entry {
	for i, h := range hosts {
		if addr := p.dials[h.Host]; addr != "" {
			hosts[i].Dial = addr
		}
	}
	return hosts
}

// learn lists a box's state after a while; what is older and comes later is stale.
func (d *discovery) learn(b *box, health string, boot time.Duration, wait time.Duration) {
	t := b.model.Tier
	d.mu.Lock()
	d.tiers[t].orders[b.model.ID]++
	order := d.tiers[t].orders[b.model.ID]
	d.mu.Unlock()
	d.w.afterwards(wait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		l := d.tiers[t]
		if l.orders[b.model.ID] != order {
			return
		}
		i := b.model.Index
		l.seq++
		l.hosts[i].Health, l.changed[i] = health, l.seq
		if boot > 0 {
			l.hosts[i].Born = millis(time.Duration(d.w.wall.Load()) + boot)
		}
		close(l.news)
		l.news = make(chan struct{})
	})
}

// turn waits for the one queue that all calls stand in. False: it took too long, or discovery is down.
func (d *discovery) turn(r *http.Request) bool {
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return false
	}
	one := time.Duration(float64(time.Second) / d.w.s.Discovery.Capacity)
	now := time.Now()
	if d.free.Before(now) {
		d.free = now
	}
	at, late := d.free.Add(one), d.free.Add(one).Sub(now) > d.w.s.Discovery.Timeout
	if late {
		at = now.Add(d.w.s.Discovery.Timeout)
	} else {
		d.free = at
	}
	d.mu.Unlock()
	select {
	case <-time.After(time.Until(at)):
		return !late
	case <-r.Context().Done():
		return false
	}
}

func (d *discovery) serve(rw http.ResponseWriter, r *http.Request, p *process) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(rw, r)
		return
	}
	life := p.lifeName() // a call is of one life, whatever becomes of the node while it waits or watches
	d.w.facts.called(d.w.now(), life)
	d.mu.Lock()
	quiet, mute := d.doors[p].quiet, d.doors[p].mute
	d.mu.Unlock()
	if !mute && !d.turn(r) {
		http.Error(rw, "too busy", http.StatusServiceUnavailable)
		return
	}
	enc := json.NewEncoder(rw)
	if d.w.s.Discovery.Indented {
		enc.SetIndent("", "  ")
	}
	if r.URL.Query().Get("watch") == "" {
		if mute {
			<-r.Context().Done()
			return
		}
		enc.Encode(d.known(p)) // one that has gone away reads nothing
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(rw, "from is no number", http.StatusBadRequest)
		return
	}
	w := &watch{rw: rw, r: r, enc: enc, p: p, life: life, id: strconv.FormatInt(d.watches.Add(1), 10), quiet: quiet}
	if mute {
		w.hushed(d)
	}
	d.follow(w, from)
	if w.silent {
		d.given(p, blackbox.Event{At: d.w.now(), What: blackbox.Hears, Node: life, ID: w.id})
	}
}

// watch is one that is open.
type watch struct {
	rw       http.ResponseWriter
	r        *http.Request
	enc      *json.Encoder
	p        *process
	life, id string
	quiet    <-chan struct{}
	silent   bool // nothing is written; what would have been is noted all the same
}

func (w *watch) hushed(d *discovery) {
	w.silent, w.quiet = true, nil
	d.w.facts.seen(blackbox.Event{At: d.w.now(), What: blackbox.Deaf, Node: w.life, ID: w.id, Ready: true})
}

// follow writes the changes since a version, and then every change, until the connection ends.
func (d *discovery) follow(w *watch, from int64) {
	rw, r, p := w.rw, w.r, w.p
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		l := d.tiers[p.tier]
		n := roster{Seq: l.seq, Hosts: []entry{}}
		if from > l.seq {
			from = 0
		}
		for i, h := range l.hosts {
			if l.changed[i] > from {
				n.Hosts = append(n.Hosts, h)
			}
		}
		n.Whole = from == 0
		p.dialed(n.Hosts)
		news := l.news
		d.mu.Unlock()
		if first || n.Seq > from {
			if !first {
				spread := time.Duration(d.w.chance() * float64(d.w.s.Discovery.Spread))
				select {
				case <-time.After(spread):
				case <-r.Context().Done():
					return
				}
			}
			select {
			case <-w.quiet:
				w.hushed(d)
			default:
			}
			before := d.w.now()
			if !w.silent {
				if w.enc.Encode(n) != nil {
					return
				}
				rw.(http.Flusher).Flush()
			}
			d.w.facts.told(before, d.w.now(), w.life, w.id, n)
			from = n.Seq
		}
		select {
		case <-news:
		case <-w.quiet:
			w.hushed(d)
		case <-beat.C:
			if w.silent {
				continue
			}
			if _, err := rw.Write([]byte("\n")); err != nil {
				return
			}
			rw.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// change takes discovery down, up, or to other addresses.
func (d *discovery) change(what model.What) error {
	switch what {
	case model.DiscoveryDown:
		d.mu.Lock()
		d.down = true
		d.mu.Unlock()
		d.close()
	case model.DiscoveryUp:
		d.mu.Lock()
		d.down = false
		d.mu.Unlock()
		for _, p := range d.w.processes {
			if err := d.listen(p); err != nil {
				return err
			}
		}
	case model.DiscoveryMove:
		var old []*http.Server
		for _, p := range d.w.processes {
			d.mu.Lock()
			old = append(old, d.doors[p].server)
			d.doors[p].addr = ""
			d.mu.Unlock()
			if err := d.listen(p); err != nil {
				return err
			}
			if err := p.reload(); err != nil {
				return err
			}
		}
		d.w.afterwards(1500*time.Millisecond, func() { // as the platform does with the old address
			for _, s := range old {
				s.Close()
			}
		})
	}
	return nil
}

func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.doors {
		if l.server != nil {
			l.server.Close()
		}
	}
}
