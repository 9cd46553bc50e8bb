package loopback

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
)

const (
	// headerTimeout is how long a node may take to send the head of a call.
	headerTimeout = 5 * time.Second

	// oldAddressOpen is how long discovery stays at its old address after it has moved, as the platform does it.
	oldAddressOpen = 1500 * time.Millisecond

	// endpointsPath is the path of discovery's calls.
	endpointsPath = "/v1/endpoints"
)

// discovery is the stand-in service: a list for each tier, watches, one queue of calls, and faults. Each node calls it at an
// address of its own, which is how the service knows whom it notifies.
type discovery struct {
	world *World

	mu          sync.Mutex
	tiers       []*tierList
	listeners   map[*process]*nodeListener
	down        bool
	queueFreeAt time.Time    // when the calls so far are done
	watchCount  atomic.Int64 // so far
}

// nodeListener is the address of one node.
type nodeListener struct {
	addr         string
	server       *http.Server
	muted        chan struct{}    // closed: watches that are open bring nothing any more
	unresponsive bool             // a call is accepted and never answered
	abandoned    []blackbox.Event // watches that the node gave up in the meantime
}

func newDiscovery(w *World) *discovery {
	return &discovery{world: w, listeners: map[*process]*nodeListener{}}
}

// open lists all servers as they are, and listens.
func (d *discovery) open() error {
	for _, row := range d.world.servers {
		d.tiers = append(d.tiers, newTierList(row))
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
		ReadHeaderTimeout: headerTimeout}
	d.mu.Lock()
	l := d.listeners[p]
	l.addr, l.server, l.muted = ln.Addr().String(), server, make(chan struct{})
	d.mu.Unlock()
	d.world.goOwned(func() { server.Serve(ln) })
	return nil
}

// close ends all listeners, and the watches with them.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.listeners {
		if l.server != nil {
			l.server.Close()
		}
	}
}

// discoveryAddr implements bootstrapLists.
func (d *discovery) discoveryAddr(p *process) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listeners[p].addr
}

// bootstrapList implements bootstrapLists: the complete list of a node's tier.
func (d *discovery) bootstrapList(p *process) EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.tiers[p.tier].complete()
	p.withDialAddresses(list.Endpoints)
	return list
}

// setMuted mutes the watches that a node has open: nothing more comes on them, for good. While the listener is muted, the
// node's calls are accepted and not answered either.
func (d *discovery) setMuted(p *process, muted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.listeners[p]
	l.unresponsive = muted
	if muted {
		close(l.muted)
		l.muted = make(chan struct{})
		return
	}
	for _, e := range l.abandoned { // from now on the node can poll again
		now := d.world.now()
		e.At, e.Duration = now, now-e.At
		d.world.observations.record(e)
	}
	l.abandoned = nil
}

// watchAbandoned records that a node has given up a muted watch. While the node could not poll, that is put off.
func (d *discovery) watchAbandoned(p *process, e blackbox.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listeners[p]; l.unresponsive {
		l.abandoned = append(l.abandoned, e)
		return
	}
	d.world.observations.record(e)
}

// updateEndpoint lists a server's state after a while; startTime 0: it has not started again.
func (d *discovery) updateEndpoint(b *server, health string, startTime, wait time.Duration) {
	tier, id := b.model.Tier, b.model.ID
	d.mu.Lock()
	d.tiers[tier].revisions[id]++
	revision := d.tiers[tier].revisions[id]
	d.mu.Unlock()
	d.world.afterDelay(wait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		l := d.tiers[tier]
		if l.revisions[id] != revision {
			return
		}
		bornMS := 0.0
		if startTime > 0 {
			bornMS = milliseconds(time.Duration(d.world.startWall.Load()) + startTime)
		}
		l.set(b.model.Index, health, bornMS)
	})
}

// waitForTurn waits in the one queue of all calls. It returns false if that took too long, or discovery is down.
func (d *discovery) waitForTurn(r *http.Request) bool {
	at, ok := d.enqueue(time.Now())
	if at.IsZero() {
		return false
	}
	select {
	case <-time.After(time.Until(at)):
		return ok
	case <-r.Context().Done():
		return false
	}
}

// enqueue returns when a call of now is done, or when it fails because the queue is too long. A zero time: it fails at once.
func (d *discovery) enqueue(now time.Time) (at time.Time, ok bool) {
	settings := d.world.scenario.Discovery
	callTime := time.Duration(float64(time.Second) / settings.CallsPerSecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return time.Time{}, false
	}
	if d.queueFreeAt.Before(now) {
		d.queueFreeAt = now
	}
	at = d.queueFreeAt.Add(callTime)
	if at.Sub(now) > settings.CallTimeout {
		return now.Add(settings.CallTimeout), false
	}
	d.queueFreeAt = at
	return at, true
}

// serve answers a node's call: a list, or a watch.
func (d *discovery) serve(rw http.ResponseWriter, r *http.Request, p *process) {
	if r.URL.Path != endpointsPath {
		http.NotFound(rw, r)
		return
	}
	incarnation := p.incarnationName() // a call is of one incarnation, whatever becomes of the node while it waits or watches
	d.world.observations.discoveryCalled(d.world.now(), incarnation)
	d.mu.Lock()
	muted, unresponsive := d.listeners[p].muted, d.listeners[p].unresponsive
	d.mu.Unlock()
	if !unresponsive && !d.waitForTurn(r) {
		http.Error(rw, "too busy", http.StatusServiceUnavailable)
		return
	}
	encoder := json.NewEncoder(rw)
	if d.world.scenario.Discovery.Indented {
		encoder.SetIndent("", "  ")
	}
	query := r.URL.Query()
	if query.Get("watch") == "" {
		if unresponsive {
			<-r.Context().Done()
			return
		}
		encoder.Encode(d.bootstrapList(p)) // a node that has gone away reads nothing
		return
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(rw, "from is no number", http.StatusBadRequest)
		return
	}
	w := &watch{discovery: d, rw: rw, ctx: r.Context(), encoder: encoder, process: p, incarnation: incarnation,
		id: strconv.FormatInt(d.watchCount.Add(1), 10), muted: muted}
	w.serve(from, unresponsive)
}

// applyChange takes discovery down, up, or to other addresses.
func (d *discovery) applyChange(kind model.ChangeKind) error {
	switch kind {
	case model.DiscoveryDown:
		d.setDown(true)
		d.close()
	case model.DiscoveryUp:
		d.setDown(false)
		for _, p := range d.world.processes {
			if err := d.listen(p); err != nil {
				return err
			}
		}
	case model.DiscoveryMove:
		return d.move()
	}
	return nil
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// move gives each node another address and has it read its configuration again.
func (d *discovery) move() error {
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
	d.world.afterDelay(oldAddressOpen, func() {
		for _, s := range old {
			s.Close()
		}
	})
	return nil
}
