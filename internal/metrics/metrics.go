// Package metrics counts what a node does and reports it, as StatsD or InfluxDB lines. Recording never waits: what
// finds the buffer full, and what can't be written, is dropped and counted. One goroutine writes.
package metrics

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

const (
	prefix      = "hookwalk."
	maxInvented = 16               // tenants kept that the settings don't name
	maxInvent   = 64               // bytes of such a tenant's name
	maxTimers   = 4096             // between two flushes; there are two buffers of them
	lastFlush   = time.Second      // the longest wait for the last flush
	warnEvery   = 10 * time.Second // between two log lines of dropped batches
	absent      = "none"           // the tag of what has no class or tenant
	others      = "other"          // the tag that all classes and tenants share for which there is no room
)

// Counter is a figure that is summed over a flush.
type Counter int

// Counters.
const (
	Requests        Counter = iota // all that came, those that were turned away among them
	Served                         // answered 200
	Rejected                       // answered 429 or 503
	NotAccepted                    // not taken: answered another 4xx
	Failed                         // answered anything else
	ClientGone                     // given up by the client
	FaultInjected                  // part of a drill
	Violations                     // of an invariant; without tags
	RejectedExpired                // of the refused, while the list of servers had expired
	counters
)

var counterNames = [counters]string{"requests", "served", "refused", "turned_away", "failed", "left", "drill.applied", "invariant.violations",
	"refused.list_expired"}

// Gauge is a figure that rises and falls.
type Gauge int

// Gauges.
const (
	OpenConnections Gauge = iota // of callers; tagged by the last request on each
	OpenRequests
	gauges
)

var gaugeNames = [gauges]string{"open_connections", "open_requests"}

const (
	timerName   = "latency"
	droppedName = "figures.dropped"
)

// Tags are the class and the tenant of a figure. The zero Tags are those of what has neither.
type Tags int

// series holds the figures of one class and tenant.
type series struct {
	tags     string // as they are written
	counts   [counters]int64
	gauges   [gauges]int64
	reported [gauges]int64 // as last written
}

// timer is one measured time.
type timer struct {
	at   int64  // Unix time in ns, no two the same: InfluxDB takes points of one time for one
	us   uint32 // no request takes longer than its budget, an hour at most
	tags int32
}

// Reporter takes figures. A nil Reporter takes none.
type Reporter struct {
	format  format
	classes map[string]bool
	tenants map[string]bool
	flush   time.Duration
	max     int
	outs    []out
	log     *slog.Logger
	early   chan struct{} // the buffer of timers is half full

	mu       sync.Mutex
	tags     map[[2]string]Tags
	series   []*series
	invented map[string]bool
	timers   []timer
	last     int64 // the newest timer's time
	overflow int64 // timers that found no room

	// The writer's own.
	spare    []timer
	line     []byte
	batch    []byte
	carries  int64 // how many dropped batches the batch tells of
	dropped  int64 // not yet told
	nextWarn time.Time
	since    int64 // dropped since the last log line
	ended    chan struct{}
}

// New returns a Reporter for the classes and tenants of the platform's settings. It writes nothing before Run.
func New(set settings.Metrics, classes, tenants []string, stderr io.Writer, log *slog.Logger) *Reporter {
	r := &Reporter{format: formats[set.Format], classes: map[string]bool{}, tenants: map[string]bool{},
		flush: set.Flush, max: set.MaxBatch, log: log, early: make(chan struct{}, 1), tags: map[[2]string]Tags{},
		invented: map[string]bool{}, ended: make(chan struct{})}
	for _, c := range classes {
		r.classes[c] = true
	}
	for _, t := range tenants {
		r.tenants[t] = true
	}
	if set.File != "" {
		r.outs = append(r.outs, &fileOut{path: set.File})
	}
	if set.UDP != "" {
		r.outs = append(r.outs, &udpOut{addr: set.UDP})
	}
	if len(r.outs) == 0 {
		r.outs = append(r.outs, lineOut{stderr})
	}
	r.Tags("", "")
	return r
}

// mostNames bounds the classes and the tenants that settings have named over a node's life.
const mostNames = 256

// Name adds the classes and tenants of other settings to those that are told apart.
func (r *Reporter) Name(classes, tenants []string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range []struct {
		known map[string]bool
		names []string
	}{{r.classes, classes}, {r.tenants, tenants}} {
		for _, name := range n.names {
			if len(n.known) < mostNames {
				n.known[name] = true
			}
		}
	}
}

// Tags finds the tags of a class and a tenant. Callers can invent both: only so many are kept apart.
func (r *Reporter) Tags(class, tenant string) Tags {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case class == "":
		class = absent
	case !r.classes[class]:
		class = others
	}
	switch {
	case tenant == "":
		tenant = absent
	case r.tenants[tenant] || r.invented[tenant]:
	case len(r.invented) < maxInvented && len(tenant) <= maxInvent:
		r.invented[tenant] = true
	default:
		tenant = others
	}
	key := [2]string{class, tenant}
	t, ok := r.tags[key]
	if !ok {
		t = Tags(len(r.series))
		r.tags[key] = t
		r.series = append(r.series, &series{tags: r.format.tags(class, tenant)})
	}
	return t
}

// Count adds one to a counter.
func (r *Reporter) Count(t Tags, c Counter) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[t].counts[c]++
}

// Add changes a gauge.
func (r *Reporter) Add(t Tags, g Gauge, by int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[t].gauges[g] += by
}

// Latency notes how long a request took.
func (r *Reporter) Latency(t Tags, took time.Duration) {
	if r == nil {
		return
	}
	now := time.Now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.timers) >= maxTimers {
		r.overflow++
		return
	}
	r.last = max(now, r.last+1)
	r.timers = append(r.timers, timer{at: r.last, us: uint32(took.Microseconds()), tags: int32(t)})
	if len(r.timers) == maxTimers/2 {
		select {
		case r.early <- struct{}{}:
		default:
		}
	}
}

// Run writes at every flush time until stop is closed, and once more then.
func (r *Reporter) Run(stop <-chan struct{}) {
	defer close(r.ended)
	tick := time.NewTicker(r.flush)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.write()
		case <-r.early:
			r.write()
		case <-stop:
			r.write()
			for _, o := range r.outs {
				o.close()
			}
			return
		}
	}
}

// Wait waits for Run to end, though not for a destination that is stuck.
func (r *Reporter) Wait() {
	late := time.NewTimer(lastFlush)
	defer late.Stop()
	select {
	case <-r.ended:
	case <-late.C:
	}
}

// write renders all that has come since the last time and hands it out, batch by batch.
func (r *Reporter) write() {
	now := time.Now().UnixNano()
	r.mu.Lock()
	r.timers, r.spare = r.spare[:0], r.timers
	n := len(r.series) // those that come meanwhile are for the next flush
	r.dropped += r.overflow
	r.overflow = 0
	none := r.series[0].tags
	r.mu.Unlock()
	if r.dropped > 0 {
		r.add(r.format.count(r.line[:0], droppedName, none, r.dropped, now))
		r.carries = r.dropped
	}
	for i := range n {
		r.mu.Lock()
		s := *r.series[i]
		r.series[i].counts = [counters]int64{}
		r.series[i].reported = s.gauges
		r.mu.Unlock()
		for c, v := range s.counts {
			if v != 0 {
				r.add(r.format.count(r.line[:0], counterNames[c], s.tags, v, now))
			}
		}
		for g, v := range s.gauges {
			if v != 0 || s.reported[g] != 0 { // one that fell to zero says so once
				r.add(r.format.gauge(r.line[:0], gaugeNames[g], s.tags, v, now))
			}
		}
	}
	for _, t := range r.spare {
		r.mu.Lock()
		tags := r.series[t.tags].tags
		r.mu.Unlock()
		r.add(r.format.timer(r.line[:0], timerName, tags, t.us, t.at))
	}
	r.send()
	for _, o := range r.outs {
		o.flushed()
	}
}

// add puts a line into the batch, which goes out first if it has no room. No batch splits a line.
func (r *Reporter) add(line []byte) {
	r.line = append(line, '\n')
	if len(r.line) > r.max {
		r.drop(errLong)
		return
	}
	if len(r.batch)+len(r.line) > r.max {
		r.send()
	}
	r.batch = append(r.batch, r.line...)
}

// send hands the batch to every destination. One that fails loses it; it is not tried again.
func (r *Reporter) send() {
	if len(r.batch) == 0 {
		return
	}
	taken := false
	for _, o := range r.outs {
		if err := o.write(r.batch); err != nil {
			r.drop(err)
		} else {
			taken = true
		}
	}
	if taken {
		r.dropped -= r.carries
	}
	r.batch, r.carries = r.batch[:0], 0
}

func (r *Reporter) drop(err error) {
	r.dropped++
	r.since++
	if now := time.Now(); now.After(r.nextWarn) {
		r.nextWarn = now.Add(warnEvery)
		r.log.Warn("figures dropped", "batches", r.since, "err", err)
		r.since = 0
	}
}
