// Package discovery is the node's source of its list of servers: it keeps a watch on discovery, reads what that writes and
// hands each list or change on, in order and whole. The rules of when to call are listclock's, the form of the lists is
// endpoints'; this package owns the calls, their goroutines and their ends. The node gives it a Config, the function Tell
// that takes each update, and a context that ends it. This file has the Source, stream.go its calls.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// ToServer is an endpoint as the decision module knows it.
func ToServer(h discoveryapi.Endpoint) balancer.Server {
	s := balancer.Server{ID: h.Host, Zone: h.Site, Kind: h.Class, Cell: h.Block, StartTime: time.Duration(h.Born * float64(time.Millisecond))}
	switch h.Health {
	case "in_service":
		s.State = balancer.Ready
	case "terminated":
		s.State = balancer.Removed
	default: // a state we don't know is no invitation to send
		s.State = balancer.Draining
	}
	return s
}

// ToUpdate is what the engine is told of a list.
func ToUpdate(l discoveryapi.List) engine.Update {
	u := engine.Update{Version: l.Seq, Complete: l.Complete, Endpoints: make([]engine.Endpoint, len(l.Endpoints))}
	for i, h := range l.Endpoints {
		u.Endpoints[i] = engine.Endpoint{Server: ToServer(h), Addr: h.Dial}
	}
	return u
}

// Config says which discovery is asked, how, and what is held from before.
type Config struct {
	Addr            string        // HOST:PORT
	Polled          bool          // lists are asked for, and Subscribe says when the first is; else they are pushed
	MaxPollInterval time.Duration // where they are asked for: a list held without a watch binds so long after the last call
	Pollers         int           // nodes that call the same discovery; 0: not known
	Version         int64         // of the list held
}

// Source keeps a watch on the list. The clock says when to call, and when a call or a watch that says nothing has
// another beside it; where lists are asked for the module says when the first goes out. All streams are read by goroutines
// of their own and end in the one that runs Run.
type Source struct {
	// Client makes the calls, and Tell hands an update to the engine; it fails only as its context ends. Both may be replaced
	// before Run.
	Client      *http.Client
	ApplyUpdate func(context.Context, engine.Update) error
	// RenewLease, if it is there, is told until when the list may be relied on, whenever that changes. It must not block.
	RenewLease func(engine.Lease)

	asked      bool
	seq        int64
	generation int  // of the address from which the list held came
	incomplete bool // what is held is nothing to build on: the whole list comes first
	older      int  // whole lists in a row that were older than the one held
	log        *slog.Logger
	asks       chan struct{} // the module's wish for a watch
	moves      chan struct{} // addr has changed
	version    atomic.Int64  // seq, for others
	streams    map[int]*subscription
	reads      chan reading
	state      endpointlease.State // as the log has it
	away       bool                // likewise
	logged     time.Time           // when a call that ended was logged last
	ends       int                 // calls that ended since
	epoch      time.Time

	mu      sync.Mutex
	addr    string
	clock   endpointlease.Tracker
	expires time.Duration // as Renew was told last
}

// dialTimeout is how long a connection to discovery may take to come up. The system sends its first packet again after 1 s.
const dialTimeout = 2 * time.Second

// New makes a Source that makes no call yet. Run does.
func New(cfg Config, log *slog.Logger, tell func(context.Context, engine.Update) error) *Source {
	d := &Source{addr: cfg.Addr, asked: cfg.Polled,
		log: log, ApplyUpdate: tell, asks: make(chan struct{}, 1), moves: make(chan struct{}, 1),
		streams: map[int]*subscription{}, reads: make(chan reading), epoch: time.Now(),
		clock: endpointlease.Tracker{Options: endpointlease.Options{Pushed: !cfg.Polled, MaxPollInterval: cfg.MaxPollInterval, Pollers: cfg.Pollers}},
		Client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}}}
	d.ResumeFrom(cfg.Version)
	return d
}

// now is the clock's time.
func (d *Source) now() time.Duration { return time.Since(d.epoch) }

// Subscribe asks for a watch; one that is asked for already is enough.
func (d *Source) Subscribe() { signal(d.asks) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

var (
	errMoved   = errors.New("discovery has moved")
	errDropped = errors.New("another stream serves")
)

// Addr is the address that is called.
func (d *Source) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// ResumeFrom has Run begin from a version that another process of the node held. It is for the time before Run.
func (d *Source) ResumeFrom(version int64) {
	d.seq = version
	d.version.Store(version)
}

// ResumeVersion is the version from which another process of the node may ask at the present address: none, where the list held
// came from an earlier one, for each may count in its own way.
func (d *Source) ResumeVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clock.DiscoveryChanging() {
		return 0
	}
	return d.Version()
}

// InheritAge has the list held be as old as it was in the other process of the node that handed it over. It is for the time
// before Run.
func (d *Source) InheritAge(age time.Duration) {
	d.clocked(func(c *endpointlease.Tracker) { c.InheritAge(d.now(), age) })
}

// Age is how long ago the list held was last known to be all that discovery had, as far as that shortens its lease.
func (d *Source) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(endpointlease.NotificationDeadline-max(d.clock.Expires()-d.now(), 0), 0)
}

// Version is that of the list held.
func (d *Source) Version() int64 { return d.version.Load() }

// SetAddress takes the watch to another address, at once: the old one is about to close, and what the new one
// has to tell counts as told soon. The servers held stay until its list is there.
func (d *Source) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.clock.DiscoveryChanged(d.now())
	d.renew()
	d.log.Info("discovery has moved", "addr", addr, "version", d.seq)
	signal(d.moves)
}

// Run watches until ctx ends.
func (d *Source) Run(ctx context.Context) {
	var reading sync.WaitGroup
	defer reading.Wait()
	ctx, end := context.WithCancel(ctx)
	defer end()
	look := time.NewTimer(0)
	defer look.Stop()
	for ctx.Err() == nil {
		look.Reset(d.steps(ctx, &reading))
		select {
		case <-look.C:
		case <-d.asks: // counts the first time
			d.clocked((*endpointlease.Tracker).RequestPoll)
		case <-d.moves: // the clock has it
		case r := <-d.reads:
			d.take(ctx, r)
		case <-ctx.Done():
		}
	}
}

// steps does what the clock wants done now, and says how long nothing more is.
func (d *Source) steps(ctx context.Context, reading *sync.WaitGroup) time.Duration {
	for {
		d.mu.Lock()
		now := d.now()
		do, name, look := d.clock.Step(now)
		var s *subscription
		if do == endpointlease.OpenStream {
			name = d.clock.StreamOpened(now, rand.Float64())
			s = &subscription{d: d, name: name, generation: d.clock.Generation(), addr: d.addr, began: now}
		}
		state, _, again := d.clock.Lease(now)
		away := d.clock.Unavailable()
		d.renew()
		d.mu.Unlock()
		d.noteLease(state, away)
		switch do {
		case endpointlease.NoAction:
			return max(min(look, again)-now, 1)
		case endpointlease.OpenStream:
			d.call(ctx, s, reading)
		case endpointlease.DropStream:
			d.end(name, errDropped)
		case endpointlease.AbortStalledStream:
			d.failed(ctx, d.streams[name], &discoveryapi.UnreadableError{Err: discoveryapi.ErrIncomplete})
		}
	}
}

// call opens a stream. A version that an earlier address told may be counted in its own way: of the present one all
// changes are asked for. The whole list as a call of its own would double the queue at a service that all nodes move to
// at once.
func (d *Source) call(ctx context.Context, s *subscription, reading *sync.WaitGroup) {
	s.whole = d.incomplete
	query := "?watch=1&from=" + strconv.FormatInt(d.base(s), 10)
	if s.whole {
		query = ""
	}
	var here context.Context
	here, s.cancel = context.WithCancelCause(ctx)
	d.streams[s.name] = s
	reading.Go(func() { s.read(here, query) })
}

// base is the version on which what a stream brings builds.
func (d *Source) base(s *subscription) int64 {
	if s.generation != d.generation {
		return 0
	}
	return d.seq
}

// noteLease logs what becomes of the lease on the list: an operator sees when a node began to refuse, and why.
func (d *Source) noteLease(state endpointlease.State, away bool) {
	if expired := state == endpointlease.Expired; expired != (d.state == endpointlease.Expired) {
		if expired {
			d.log.Warn("the list has expired: nothing is sent until discovery has answered", "version", d.seq, "addr", d.Addr(),
				"calls", len(d.streams))
		} else {
			d.log.Info("the list may be relied on again", "version", d.seq, "list", state, "away", away)
		}
	}
	if away != d.away {
		d.log.Warn("discovery", "away", away, "addr", d.Addr(), "version", d.seq)
	}
	d.state, d.away = state, away
}

// clocked changes the clock.
func (d *Source) clocked(f func(*endpointlease.Tracker)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.clock)
	d.renew()
}

// renew passes the lease on, if it has changed. The caller holds the lock.
func (d *Source) renew() {
	expires := d.clock.Expires()
	if d.RenewLease == nil || expires == d.expires {
		return
	}
	d.expires = expires
	d.RenewLease(engine.Lease{Until: d.epoch.Add(expires), Unbounded: d.clock.Unbounded()})
}

// State says what the list that the node holds is worth.
func (d *Source) State() endpointlease.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.State(d.now())
}

// Unavailable says that discovery can't be reached at all.
func (d *Source) Unavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.Unavailable()
}

// end ends a stream's reading. What it still brings is nobody's.
func (d *Source) end(name int, why error) {
	d.streams[name].cancel(why)
	delete(d.streams, name)
}

// take takes what a stream has read, if that one still counts.
func (d *Source) take(ctx context.Context, r reading) {
	if r.taken != nil {
		defer close(r.taken)
	}
	s := r.subscription
	if d.streams[s.name] != s {
		return
	}
	if r.err != nil {
		d.failed(ctx, s, r.err)
		return
	}
	if s.generation < d.generation { // a list from a later address is held
		d.clocked(func(c *endpointlease.Tracker) { c.StreamEnded(s.name, d.now()) })
		d.end(s.name, errMoved)
		return
	}
	l := r.list
	if s.whole {
		l.Complete = true
	}
	if err := d.check(s, l); err != nil {
		d.failed(ctx, s, err)
		return
	}
	// The list may be relied on before it is told: else what waited for it would be refused as it comes.
	d.clocked(func(c *endpointlease.Tracker) {
		if s.whole {
			c.PollAnswered(s.name, d.now())
		} else {
			c.ListComplete(s.name, d.now())
		}
	})
	if d.ApplyUpdate(ctx, ToUpdate(l)) != nil {
		return // only as ctx ends
	}
	s.lists++
	d.seq, d.generation, d.older = l.Seq, s.generation, 0
	d.version.Store(l.Seq)
	d.incomplete = d.incomplete && !l.Complete
	if s.whole {
		d.end(s.name, errDropped)
	}
}

// mostOlder is how many whole lists in a row have to be older than the one held before they are believed: a discovery
// that has lost its state counts anew, and one that answers late is passed over.
const mostOlder = 3

// check says why a list is none to build on.
func (d *Source) check(s *subscription, l discoveryapi.List) error {
	base := d.base(s)
	switch {
	case l.Complete && l.Endpoints == nil:
		return &discoveryapi.UnreadableError{Err: discoveryapi.ErrNoEndpoints}
	case !l.Complete && l.Seq < base:
		return &discoveryapi.UnreadableError{Err: discoveryapi.ErrVersionGap}
	case l.Complete && l.Seq < base && d.older < mostOlder-1:
		d.older++
		return &discoveryapi.UnreadableError{Err: discoveryapi.ErrOlderVersion}
	}
	return nil
}

// failed ends a stream that has failed. Where lists are asked for, the module is told when none is left.
func (d *Source) failed(ctx context.Context, s *subscription, err error) {
	d.end(s.name, err)
	unreadable := errors.As(err, new(*discoveryapi.UnreadableError))
	d.incomplete = d.incomplete || unreadable
	d.clocked(func(c *endpointlease.Tracker) {
		switch {
		case unreadable:
			c.MalformedList(s.name, d.now())
		case errors.As(err, new(*StatusError)):
			c.PollRejected(s.name, d.now())
		case neverReached(err):
			c.Unreachable(s.name)
		default:
			c.StreamFailed(s.name)
		}
		c.StreamEnded(s.name, d.now())
	})
	if unreadable { // what the others bring would build on it too
		for name := range d.streams {
			d.end(name, err)
			d.clocked(func(c *endpointlease.Tracker) { c.StreamEnded(name, d.now()) })
		}
	}
	if d.ends++; s.lists > 0 || unreadable || time.Since(d.logged) > time.Second {
		d.log.Warn("watch of discovery ended", "addr", s.addr, "lists", s.lists, "list", d.State(), "err", err, "calls", d.ends,
			"after", d.now()-s.began)
		d.ends, d.logged = 0, time.Now()
	}
	if d.asked && len(d.streams) == 0 {
		d.ApplyUpdate(ctx, engine.Update{Failed: true}) // fails only as ctx ends
	}
}
