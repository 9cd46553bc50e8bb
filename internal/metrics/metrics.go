// Package metrics counts what a node does and exports it, as StatsD or InfluxDB lines, to standard error, a file or a UDP
// address. Recording never waits for an export: a value that finds the buffer full, and a batch that can't be written, is
// dropped and counted. One goroutine (Run) exports.
//
// The files: metrics.go what is counted and recording it, tags.go by what it is told apart, flush.go the goroutine that
// exports, format.go the two forms of a line, exporters.go the destinations.
package metrics

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// namePrefix begins each metric's name.
const namePrefix = "hookwalk."

// Counter is a metric that is summed over a flush interval.
type Counter int

// The counters; docs/features.md has them by their names.
const (
	Requests             Counter = iota // all that were read, also those that were not accepted
	Served                              // answered 200
	Rejected                            // answered 429 or 503
	NotAccepted                         // answered another 4xx
	Failed                              // answered anything else
	ClientGone                          // closed or canceled by the client before an answer
	FaultInjected                       // with an injected fault
	Violations                          // of an invariant; without tags
	RejectedExpired                     // of the rejected: while the endpoint list had expired
	ConnectionsOpened                   // to servers; without tags, as those below
	UnsolicitedResponses                // bytes of servers that nobody asked for
	ConnectionsAbandoned                // to servers, for such bytes on them or on another connection to the same server
	Suspicions                          // servers that came under suspicion for such bytes
	EarlyResponses                      // of servers, so early and soon behind another that their connections are not reused for a while
	counterCount                        // how many there are
)

var counterNames = [counterCount]string{"requests", "served", "refused", "turned_away", "failed", "left", "drill.applied",
	"invariant.violations", "refused.list_expired", "server_connections", "unasked_responses", "connections_given_up", "suspicions",
	"early_responses"}

// Gauge is a metric that rises and falls.
type Gauge int

// The gauges; docs/features.md has them by their names.
const (
	OpenConnections Gauge = iota // of clients; tagged by the last request on each
	OpenRequests
	gaugeCount // how many there are
)

var gaugeNames = [gaugeCount]string{"open_connections", "open_requests"}

const (
	// latencyName is the timer of each answer, in ms.
	latencyName = "latency"
	// droppedName is the counter of batches that could not be written and of timers that found the buffer full.
	droppedName = "figures.dropped"
)

// maxTimers is how many times of one flush interval are kept, and the size of each of the two buffers: 64 KiB. What
// comes beyond is dropped; a busy node flushes early, when half of it is used.
const maxTimers = 4096

// timer is one measured time.
type timer struct {
	at   int64  // Unix time in ns, no two the same: InfluxDB takes points with one time for one
	us   uint32 // microseconds; no request takes longer than its budget, an hour at most
	tags int32  // a Tags
}

// Reporter records metrics and exports them. Its methods may be called from any goroutine and do not block, but for Run and
// Wait. A nil Reporter records nothing.
type Reporter struct {
	format        format
	interval      time.Duration // between two flushes
	maxBatchBytes int
	exporters     []exporter
	log           *slog.Logger
	flushEarly    chan struct{} // buffers one request: the buffer of timers is half full
	done          chan struct{} // closed when Run has returned

	mu              sync.Mutex // of these
	classes         map[string]bool
	tenants         map[string]bool
	unlistedTenants map[string]bool
	tags            map[tagKey]Tags
	series          []*series // by Tags
	timers          []timer
	lastTimer       int64 // the newest timer's time
	timersDropped   int64 // that found the buffer full

	// Run's own.
	flushing            []timer // of the interval that is exported
	line                []byte
	batch               []byte
	dropped             int64 // batches and timers, not yet reported
	droppedInBatch      int64 // of them, reported by the batch
	droppedSinceWarning int64 // batches
	nextWarning         time.Time
}

// New returns a Reporter for the classes and tenants of the platform's settings. It exports nothing before Run. stderr is the
// destination where the settings name no other. Errors of destinations go to the log.
func New(set settings.Metrics, classes, tenants []string, stderr io.Writer, log *slog.Logger) *Reporter {
	r := &Reporter{
		format:          formats[set.Format],
		interval:        set.Flush,
		maxBatchBytes:   set.MaxBatch,
		log:             log,
		flushEarly:      make(chan struct{}, 1),
		done:            make(chan struct{}),
		classes:         map[string]bool{},
		tenants:         map[string]bool{},
		unlistedTenants: map[string]bool{},
		tags:            map[tagKey]Tags{},
	}
	for _, class := range classes {
		r.classes[class] = true
	}
	for _, tenant := range tenants {
		r.tenants[tenant] = true
	}
	if set.File != "" {
		r.exporters = append(r.exporters, &fileExporter{path: set.File})
	}
	if set.UDP != "" {
		r.exporters = append(r.exporters, &udpExporter{addr: set.UDP})
	}
	if len(r.exporters) == 0 {
		r.exporters = append(r.exporters, lineExporter{stderr})
	}
	r.Tags("", "") // the zero Tags
	return r
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

// Add changes a gauge by a difference.
func (r *Reporter) Add(t Tags, g Gauge, by int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[t].gauges[g] += by
}

// Latency records how long a request took, from its head to its answer.
func (r *Reporter) Latency(t Tags, took time.Duration) {
	if r == nil {
		return
	}
	now := time.Now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.timers) >= maxTimers {
		r.timersDropped++
		return
	}
	r.lastTimer = max(now, r.lastTimer+1)
	r.timers = append(r.timers, timer{at: r.lastTimer, us: uint32(took.Microseconds()), tags: int32(t)})
	if len(r.timers) == maxTimers/2 {
		select {
		case r.flushEarly <- struct{}{}:
		default:
		}
	}
}
