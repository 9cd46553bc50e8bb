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
	// requestHeaderTimeout limits how long a node may take to send the header of a call.
	requestHeaderTimeout = 5 * time.Second

	// oldAddressGracePeriod is how long discovery still serves its old address after a move, as the platform does.
	oldAddressGracePeriod = 1500 * time.Millisecond

	// endpointsPath is the path of discovery's calls.
	endpointsPath = "/v1/endpoints"
)

// discovery is the stand-in for the discovery service: an endpoint list for each tier, watches, a queue of calls, and
// faults. Each node calls discovery at a separate address, by which discovery identifies the node.
type discovery struct {
	world *World

	mu            sync.Mutex
	tiers         []*tierList
	listeners     map[*process]*nodeListener
	down          bool
	queueFreeAt   time.Time    // when the queued calls are done
	watchesOpened atomic.Int64 // so far
}

// nodeListener is the listener for one node.
type nodeListener struct {
	addr         string
	server       *http.Server
	muted        chan struct{}    // closed to mute the watches that are open
	unresponsive bool             // calls are accepted but never answered
	abandoned    []blackbox.Event // muted watches that the node closed while the listener was unresponsive
}

func newDiscovery(w *World) *discovery {
	return &discovery{world: w, listeners: map[*process]*nodeListener{}}
}

// open creates the endpoint lists from the current servers and starts a listener for each node.
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

// listen starts to serve a node, at its previous address if it has one.
func (d *discovery) listen(p *process) error {
	ln, err := d.world.listenAt(d.discoveryAddr(p), link.ForDiscovery)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { d.serve(rw, r, p) }),
		ReadHeaderTimeout: requestHeaderTimeout}
	d.mu.Lock()
	l := d.listeners[p]
	l.addr, l.server, l.muted = ln.Addr().String(), server, make(chan struct{})
	d.mu.Unlock()
	d.world.spawn(func() { server.Serve(ln) })
	return nil
}

// close closes all listeners and their watches.
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

// bootstrapList implements bootstrapLists. It returns the complete list of a node's tier.
func (d *discovery) bootstrapList(p *process) EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.tiers[p.tier].complete()
	p.withDialAddresses(list.Endpoints)
	return list
}

// setMuted mutes a node's watches or ends the mute. Watches that are open when the mute begins stay muted for good.
// During the mute, the node's calls are accepted but not answered.
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
	for _, e := range l.abandoned { // the node can poll again only from now on
		now := d.world.now()
		e.At, e.Duration = now, now-e.At
		d.world.observations.record(e)
	}
	l.abandoned = nil
}

// watchAbandoned records that a node has closed a muted watch. While the listener is unresponsive, so that the node
// can't poll, the record is postponed.
func (d *discovery) watchAbandoned(p *process, e blackbox.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listeners[p]; l.unresponsive {
		l.abandoned = append(l.abandoned, e)
		return
	}
	d.world.observations.record(e)
}

// updateEndpoint publishes a server's state after a delay. startTime is when the server started again, or 0.
func (d *discovery) updateEndpoint(s *server, health string, startTime, wait time.Duration) {
	tier, id := s.model.Tier, s.model.ID
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
		startedMS := 0.0
		if startTime > 0 {
			startedMS = milliseconds(time.Duration(d.world.startWall.Load()) + startTime)
		}
		l.set(s.model.Index, health, startedMS)
	})
}

// waitInQueue waits in the queue that all calls share. It returns false if the call timed out or was canceled, or if
// discovery is down.
func (d *discovery) waitInQueue(r *http.Request) bool {
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

// enqueue adds a call to the queue and returns when the call completes. If the queue is too long, ok is false and at is
// when the call times out. If discovery is down, at is zero and the call fails at once.
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

// serve answers a node's call with a list or a watch.
func (d *discovery) serve(rw http.ResponseWriter, r *http.Request, p *process) {
	if r.URL.Path != endpointsPath {
		http.NotFound(rw, r)
		return
	}
	incarnation := p.incarnationName() // a call belongs to one incarnation, even if the node restarts during the call
	d.world.observations.discoveryCalled(d.world.now(), incarnation)
	d.mu.Lock()
	muted, unresponsive := d.listeners[p].muted, d.listeners[p].unresponsive
	d.mu.Unlock()
	if !unresponsive && !d.waitInQueue(r) {
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
		encoder.Encode(d.bootstrapList(p)) // an error means that the node has closed the connection
		return
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(rw, "from is no number", http.StatusBadRequest)
		return
	}
	w := &watch{discovery: d, rw: rw, ctx: r.Context(), encoder: encoder, process: p, incarnation: incarnation,
		id: strconv.FormatInt(d.watchesOpened.Add(1), 10), muted: muted}
	w.serve(from, unresponsive)
}

// applyChange stops discovery, starts it again, or moves it to other addresses.
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

// move listens at a new address for each node and makes the node reload its configuration.
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
	d.world.afterDelay(oldAddressGracePeriod, func() {
		for _, s := range old {
			s.Close()
		}
	})
	return nil
}
