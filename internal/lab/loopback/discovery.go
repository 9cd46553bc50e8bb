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

// endpointList is a list, or its changes, in discovery's published form.
type endpointList struct {
	Seq       int64      `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []endpoint `json:"hosts"`
}

type endpoint struct {
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
	world *World

	mu          sync.Mutex
	tiers       []*tierList
	listeners   map[*process]*nodeListener
	down        bool
	watchCount  atomic.Int64 // so far
	queueFreeAt time.Time    // when the calls so far are worked off
}

// nodeListener is the address of one node.
type nodeListener struct {
	addr         string
	server       *http.Server
	muted        chan struct{}    // closed: what is open there brings nothing any more
	unresponsive bool             // a call is taken, and never answered
	abandoned    []blackbox.Event // watches that the node gave up meanwhile
}

// setMuted has nothing more come on the watches that a node has open. While it is on, the node's calls are taken and not
// answerReceived either.
func (d *discovery) setMuted(p *process, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	door := d.listeners[p]
	if door.unresponsive = on; on {
		close(door.muted)
		door.muted = make(chan struct{})
		return
	}
	for _, e := range door.abandoned { // from now on it can ask anew
		now := d.world.now()
		e.At, e.Duration = now, now-e.At
		d.world.observations.record(e)
	}
	door.abandoned = nil
}

// addresses notes that a node has given up a watch that had fallen silent.
func (d *discovery) watchAbandoned(p *process, e blackbox.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if door := d.listeners[p]; door.unresponsive {
		door.abandoned = append(door.abandoned, e)
		return
	}
	d.world.observations.record(e)
}

type tierList struct {
	version   int64
	hosts     []endpoint
	changedAt []int64       // the version that changed an entry last
	updated   chan struct{} // closed at a change
	revisions map[string]int
}

// open lists all boxes as they are and listens.
func (d *discovery) open() error {
	for _, row := range d.world.servers {
		l := &tierList{version: 1, updated: make(chan struct{}), revisions: map[string]int{}}
		for i, b := range row {
			l.hosts = append(l.hosts, endpoint{Host: b.model.ID, Dial: b.addr, Site: "benchland", Class: b.model.Kind.Name,
				Block: i / 6, Health: "in_service", Share: 1})
			l.changedAt = append(l.changedAt, 1)
		}
		d.tiers = append(d.tiers, l)
	}
	for _, p := range d.world.processes {
		d.listeners[p] = &nodeListener{}
		if err := d.listen(p); err != nil {
			return err
		}
	}
	return nil
}

// listen begins to serve a node's list, at its old address if it had one.
func (d *discovery) listen(p *process) error {
	ln, err := d.world.listenAt(d.discoveryAddr(p), link.ForDiscovery)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { d.serve(rw, r, p) }),
		ReadHeaderTimeout: 5 * time.Second}
	d.mu.Lock()
	*d.listeners[p] = nodeListener{addr: ln.Addr().String(), server: server, muted: make(chan struct{}), unresponsive: d.listeners[p].unresponsive, abandoned: d.listeners[p].abandoned}
	d.mu.Unlock()
	d.world.goOwned(func() { server.Serve(ln) })
	return nil
}

func (d *discovery) discoveryAddr(p *process) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listeners[p].addr
}

// bootstrapList is the whole list of a node's tier.
func (d *discovery) bootstrapList(p *process) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.tiers[p.tier]
	return endpointList{Seq: l.version, Complete: true, Endpoints: p.withDialAddresses(slices.Clone(l.hosts))}
}

// withDialAddresses are boxes with the addresses at which a node reaches them.
func (p *process) withDialAddresses(hosts []endpoint) []endpoint {
	for i, h := range hosts {
		if addr := p.dialAddresses[h.Host]; addr != "" {
			hosts[i].Dial = addr
		}
	}
	return hosts
}

// updateEndpoint lists a box's state after a while; what is older and comes later is stale.
func (d *discovery) updateEndpoint(b *server, health string, boot time.Duration, wait time.Duration) {
	t := b.model.Tier
	d.mu.Lock()
	d.tiers[t].revisions[b.model.ID]++
	order := d.tiers[t].revisions[b.model.ID]
	d.mu.Unlock()
	d.world.afterDelay(wait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		l := d.tiers[t]
		if l.revisions[b.model.ID] != order {
			return
		}
		i := b.model.Index
		l.version++
		l.hosts[i].Health, l.changedAt[i] = health, l.version
		if boot > 0 {
			l.hosts[i].Born = milliseconds(time.Duration(d.world.startWall.Load()) + boot)
		}
		close(l.updated)
		l.updated = make(chan struct{})
	})
}

// waitForTurn waits for the one queue that all calls stand in. False: it took too long, or discovery is down.
func (d *discovery) waitForTurn(r *http.Request) bool {
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return false
	}
	one := time.Duration(float64(time.Second) / d.world.scenario.Discovery.CallsPerSecond)
	now := time.Now()
	if d.queueFreeAt.Before(now) {
		d.queueFreeAt = now
	}
	at, late := d.queueFreeAt.Add(one), d.queueFreeAt.Add(one).Sub(now) > d.world.scenario.Discovery.CallTimeout
	if late {
		at = now.Add(d.world.scenario.Discovery.CallTimeout)
	} else {
		d.queueFreeAt = at
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
	life := p.incarnationName() // a call is of one life, whatever becomes of the node while it waits or watches
	d.world.observations.discoveryCalled(d.world.now(), life)
	d.mu.Lock()
	quiet, mute := d.listeners[p].muted, d.listeners[p].unresponsive
	d.mu.Unlock()
	if !mute && !d.waitForTurn(r) {
		http.Error(rw, "too busy", http.StatusServiceUnavailable)
		return
	}
	enc := json.NewEncoder(rw)
	if d.world.scenario.Discovery.Indented {
		enc.SetIndent("", "  ")
	}
	if r.URL.Query().Get("watch") == "" {
		if mute {
			<-r.Context().Done()
			return
		}
		enc.Encode(d.bootstrapList(p)) // one that has gone away reads nothing
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(rw, "from is no number", http.StatusBadRequest)
		return
	}
	w := &watch{rw: rw, r: r, enc: enc, process: p, incarnation: life, id: strconv.FormatInt(d.watchCount.Add(1), 10), muted: quiet}
	if mute {
		w.mute(d)
	}
	d.serveWatch(w, from)
	if w.isMuted {
		d.watchAbandoned(p, blackbox.Event{At: d.world.now(), Kind: blackbox.WatchUnmuted, Node: life, ID: w.id})
	}
}

// watch is one that is open.
type watch struct {
	rw              http.ResponseWriter
	r               *http.Request
	enc             *json.Encoder
	process         *process
	incarnation, id string
	muted           <-chan struct{}
	isMuted         bool // nothing is written; what would have been is noted all the same
}

func (w *watch) mute(d *discovery) {
	w.isMuted, w.muted = true, nil
	d.world.observations.record(blackbox.Event{At: d.world.now(), Kind: blackbox.WatchMuted, Node: w.incarnation, ID: w.id, Ready: true})
}

// serveWatch writes the changes since a version, and then every change, until the connection ends.
func (d *discovery) serveWatch(w *watch, from int64) {
	rw, r, p := w.rw, w.r, w.process
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		l := d.tiers[p.tier]
		n := endpointList{Seq: l.version, Endpoints: []endpoint{}}
		if from > l.version {
			from = 0
		}
		for i, h := range l.hosts {
			if l.changedAt[i] > from {
				n.Endpoints = append(n.Endpoints, h)
			}
		}
		n.Complete = from == 0
		p.withDialAddresses(n.Endpoints)
		news := l.updated
		d.mu.Unlock()
		if first || n.Seq > from {
			if !first {
				spread := time.Duration(d.world.randomFloat() * float64(d.world.scenario.Discovery.NotifySpread))
				select {
				case <-time.After(spread):
				case <-r.Context().Done():
					return
				}
			}
			select {
			case <-w.muted:
				w.mute(d)
			default:
			}
			before := d.world.now()
			if !w.isMuted {
				if w.enc.Encode(n) != nil {
					return
				}
				rw.(http.Flusher).Flush()
			}
			d.world.observations.endpointsNotified(before, d.world.now(), w.incarnation, w.id, n)
			from = n.Seq
		}
		select {
		case <-news:
		case <-w.muted:
			w.mute(d)
		case <-beat.C:
			if w.isMuted {
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

// applyChange takes discovery down, up, or to other addresses.
func (d *discovery) applyChange(what model.ChangeKind) error {
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
		for _, p := range d.world.processes {
			if err := d.listen(p); err != nil {
				return err
			}
		}
	case model.DiscoveryMove:
		var old []*http.Server
		for _, p := range d.world.processes {
			d.mu.Lock()
			old = append(old, d.listeners[p].server)
			d.listeners[p].addr = ""
			d.mu.Unlock()
			if err := d.listen(p); err != nil {
				return err
			}
			if err := p.reload(); err != nil {
				return err
			}
		}
		d.world.afterDelay(1500*time.Millisecond, func() { // as the platform does with the old address
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
	for _, l := range d.listeners {
		if l.server != nil {
			l.server.Close()
		}
	}
}
