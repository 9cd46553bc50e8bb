package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/deckrelay"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/listclock"
	"hookwalk.example/hookwalk/internal/roster"
)

const (
	retryMin  = 100 * time.Millisecond
	retryMost = 2 * time.Second
	soundFor  = 2 * retryMost // a watch that could be read for so long: what was unreadable before is over
)

func server(h roster.Host) deckrelay.Server {
	s := deckrelay.Server{ID: h.Host, Zone: h.Site, Kind: h.Class, Cell: h.Block, Boot: millis(h.Born)}
	switch h.Health {
	case "in_service":
		s.State = deckrelay.Ready
	case "terminated":
		s.State = deckrelay.Gone
	default: // a state we don't know is no invitation to send
		s.State = deckrelay.Draining
	}
	return s
}

// news is what the engine is told of a list.
func news(l roster.Roster) engine.News {
	n := engine.News{Version: l.Seq, Whole: l.Whole, Boxes: make([]engine.Box, len(l.Hosts))}
	for i, h := range l.Hosts {
		n.Boxes[i] = engine.Box{Server: server(h), Addr: h.Dial}
	}
	return n
}

// discovery keeps a watch on the list. Where lists are pushed it mends a broken watch by itself;
// where they are asked for, the module says when to ask.
type discovery struct {
	asked   bool
	seq     int64
	lost    bool // what is held is nothing to build on: the whole list comes first
	log     *slog.Logger
	client  *http.Client
	tell    func(context.Context, engine.News) error // hands news to the engine
	asks    chan struct{}                            // the module's wish for a watch
	version atomic.Int64                             // seq, for others
	garbled int                                      // unreadable lists since a watch was sound for a while

	now   func() time.Duration // since some moment
	haste time.Duration        // that clock's time in one of the timers'; 1 but in tests

	mu        sync.Mutex
	addr      string
	clock     listclock.Clock
	interrupt context.CancelCauseFunc // ends what goes on at the address so far
}

func newDiscovery(cfg Config, log *slog.Logger, tell func(context.Context, engine.News) error) *discovery {
	begin := time.Now()
	return &discovery{addr: cfg.Discovery, asked: cfg.Settings.AskDiscovery,
		seq: cfg.Known.Seq, log: log, tell: tell, asks: make(chan struct{}, 1),
		now: func() time.Duration { return time.Since(begin) }, haste: 1,
		clock: listclock.Clock{Rules: listclock.Rules{Pushed: !cfg.Settings.AskDiscovery, AskWithin: cfg.Settings.AskWithin}},
		client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}}}
}

// subscribe asks for a watch; one that is asked for already is enough.
func (d *discovery) subscribe() {
	select {
	case d.asks <- struct{}{}:
	default:
	}
}

var errMoved = errors.New("discovery has moved")

// move takes the watch to another address, at once: the old one is about to close, and what the new one
// has to tell counts as told soon. The servers held stay until its list is there.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.clock.Moved(d.now())
	if d.interrupt != nil {
		d.interrupt(errMoved)
	}
}

// here gives the address to watch and a context that ends when that changes.
func (d *discovery) here(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupt != nil {
		d.interrupt(nil)
	}
	ctx, d.interrupt = context.WithCancelCause(ctx)
	return ctx, d.addr
}

// run watches until ctx ends.
func (d *discovery) run(ctx context.Context) {
	d.version.Store(d.seq)
	wait, last := retryMin, ""
	for ctx.Err() == nil {
		here, addr := d.here(ctx)
		moved := last != "" && addr != last
		last = addr
		if moved {
			// Another address may count its versions in its own way: all of its changes are asked for. The whole
			// list as a call of its own would double the queue at a service that all nodes move to at once.
			d.seq, wait = 0, retryMin
		}
		if d.asked && !moved {
			select {
			case <-d.asks:
			case <-here.Done():
				continue
			}
		}
		if d.garbled > 1 { // one whole list at once; after that a service that writes what can't be read is not to be swamped too
			if !d.rest(here, retryMin<<min(d.garbled, 5)) {
				continue
			}
		}
		begun := d.now()
		lists, err := d.watch(here, addr)
		if ctx.Err() != nil {
			return
		}
		if unreadable := (*roster.UnreadableError)(nil); errors.As(err, &unreadable) {
			if d.lost = true; d.now()-begun > soundFor {
				d.garbled = 0
			}
			d.garbled++
		}
		d.clocked(func(c *listclock.Clock) {
			if c.Ended(d.now()); errors.Is(err, syscall.ECONNREFUSED) {
				c.Down()
			}
		})
		d.log.Warn("watch of discovery ended", "addr", addr, "lists", lists, "list", d.State(), "err", err)
		if here.Err() != nil {
			continue
		}
		if d.asked {
			d.tell(ctx, engine.News{Failed: true}) // fails only as ctx ends
			continue
		}
		if lists > 0 {
			wait = retryMin
		}
		d.rest(here, wait)
		wait = min(2*wait, retryMost)
	}
}

// rest waits; jitter keeps nodes from calling together. False: ctx ended before.
func (d *discovery) rest(ctx context.Context, wait time.Duration) bool {
	over := make(chan struct{})
	wait = min(wait, retryMost)
	defer time.AfterFunc((wait/2+rand.N(wait/2))/d.haste, func() { close(over) }).Stop()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}

// clocked changes the clock.
func (d *discovery) clocked(f func(*listclock.Clock)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.clock)
}

// State says what the list that the node holds is worth.
func (d *discovery) State() listclock.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clock.State(d.now())
}

// SilentError says that discovery was not heard for so long that the clock of the list may run out.
type SilentError struct{ Called bool }

func (e *SilentError) Error() string {
	if e.Called {
		return "discovery has taken a call and not answered it: it is asked anew; if it goes on, look whether it is overloaded or cut off from this node"
	}
	return "the watch is silent: it is opened anew; if it goes on, look whether discovery is cut off from this node"
}

// ear has the clock hear what comes, and ends a call or a watch when its time is over.
type ear struct {
	d      *discovery
	timer  *time.Timer
	called bool
	over   bool
	end    context.CancelCauseFunc
}

// listen begins a call on the clock.
func (d *discovery) listen(end context.CancelCauseFunc) *ear {
	e := &ear{d: d, called: true, end: end}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clock.Call(d.now(), rand.Float64())
	e.timer = time.AfterFunc((d.clock.GiveUp()-d.now())/d.haste, e.due)
	return e
}

// due looks whether what was waited for is late: something may have come just now.
func (e *ear) due() {
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	if e.over {
		return
	}
	if left := e.d.clock.GiveUp() - e.d.now(); left > 0 {
		e.timer.Reset(max(left/e.d.haste, 1))
		return
	}
	if e.d.clock.Stuck() {
		e.end(&roster.UnreadableError{Err: roster.ErrNeverWhole})
		return
	}
	e.end(&SilentError{e.called})
}

func (e *ear) hears(f func(*listclock.Clock, time.Duration)) {
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	now := e.d.now()
	e.called = false
	f(&e.d.clock, now)
	if !e.over {
		e.timer.Reset(max((e.d.clock.GiveUp()-now)/e.d.haste, 1))
	}
}

func (e *ear) Rest() { e.hears((*listclock.Clock).Heard) }
func (e *ear) Part() { e.hears((*listclock.Clock).Heard) }
func (e *ear) Begun() {
	e.hears(func(c *listclock.Clock, now time.Duration) { c.Heard(now); c.Begun(now) })
}

func (e *ear) stop() {
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	e.over = true
	e.timer.Stop()
}

// watch follows the changes from the version held, until the connection ends or falls silent, and counts the lists
// that came. After one that does not follow the one before, or can't be read, the next begins with the whole list.
func (d *discovery) watch(ctx context.Context, addr string) (lists int, err error) {
	if d.lost {
		if err := d.whole(ctx, addr); err != nil {
			return 0, err
		}
	}
	err = d.read(ctx, addr, "?watch=1&from="+strconv.FormatInt(d.seq, 10), func(n roster.Roster) error {
		if !n.Whole && n.Seq < d.seq {
			return &roster.UnreadableError{Err: roster.ErrGap}
		}
		lists++
		return d.take(ctx, n)
	})
	return lists, err
}

// whole fetches the whole list; the watch goes on from there.
func (d *discovery) whole(ctx context.Context, addr string) error {
	err := d.read(ctx, addr, "", func(n roster.Roster) error {
		n.Whole = true
		if n.Hosts == nil {
			return &roster.UnreadableError{Err: roster.ErrNoHosts}
		}
		if err := d.take(ctx, n); err != nil {
			return err
		}
		return io.EOF // there is one
	})
	if errors.Is(err, io.EOF) && !d.lost {
		return nil
	}
	return err
}

// read makes a call and hands on each list of its answer, until that ends, is silent for too long or can't be read.
func (d *discovery) read(ctx context.Context, addr, query string, take func(roster.Roster) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ear := d.listen(cancel)
	defer ear.stop()
	body, err := d.get(ctx, addr, query)
	if err != nil {
		return withCause(ctx, err)
	}
	defer body.Close()
	ear.Part()
	for in := roster.NewReader(body, ear); ; {
		n, err := in.Next()
		if err != nil {
			return withCause(ctx, err)
		}
		if err := take(n); err != nil {
			return err
		}
		ear.hears((*listclock.Clock).Whole)
	}
}

func (d *discovery) take(ctx context.Context, n roster.Roster) error {
	if err := d.tell(ctx, news(n)); err != nil {
		return err
	}
	d.seq = n.Seq
	d.version.Store(n.Seq)
	d.lost = d.lost && !n.Whole
	return nil
}

func (d *discovery) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
