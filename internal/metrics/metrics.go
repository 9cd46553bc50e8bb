// Package metrics records the metrics of a node and exports them as StatsD or InfluxDB lines to standard error, a file or a
// UDP address. Recording never waits for an export: a timer that does not fit into the buffer and a batch that can't be
// written are dropped and counted. One goroutine (Run) exports the metrics.
//
// metrics.go defines and records the metrics, tags.go assigns their tags, flush.go has the exporting goroutine, format.go
// the two line formats, and exporters.go the destinations.
package metrics

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// namePrefix is the prefix of each metric name.
const namePrefix = "hookwalk."

// Counter is a metric that is summed over a flush interval.
type Counter int

// The counters; docs/features.md describes them by their exported names (counterNames).
const (
	Requests             Counter = iota // all requests that were read, including those not accepted
	Served                              // response 200
	Rejected                            // response 429 or 503
	NotAccepted                         // another 4xx response
	Failed                              // any other response
	ClientGone                          // closed or canceled by the client before the response
	FaultInjected                       // a fault was injected into the request
	Violations                          // invariant violations; without tags
	RejectedExpired                     // the rejected requests while the endpoint list had expired
	ConnectionsOpened                   // to servers; this and the counters below have no tags
	UnsolicitedResponses                // from servers: bytes outside of the response to a request
	ConnectionsAbandoned                // to servers, after such bytes on this or another connection to the same server
	Suspicions                          // servers that became suspected because of such bytes
	EarlyResponses                      // from servers, so early and so soon after another one that the reuse delay applies
	ResponsesCutOff                     // that a server had begun: it has stopped, or is too slow
	RequestsReadSlowly                  // that were given up because a server reads them too slowly
	counterCount                        // number of counters
)

var counterNames = [counterCount]string{"requests", "served", "refused", "turned_away", "failed", "left", "drill.applied",
	"invariant.violations", "refused.list_expired", "server_connections", "unasked_responses", "connections_given_up", "suspicions",
	"early_responses", "responses_cut_off", "requests_read_slowly"}

// Gauge is a metric that rises and falls.
type Gauge int

// The gauges; docs/features.md describes them by their exported names (gaugeNames).
const (
	OpenConnections Gauge = iota // of clients; tagged by the last request on each connection
	OpenRequests
	gaugeCount // number of gauges
)

var gaugeNames = [gaugeCount]string{"open_connections", "open_requests"}

const (
	// latencyName is the timer of each request, in ms.
	latencyName = "latency"
	// droppedName is the counter of batches that could not be written and of timers that did not fit into the buffer.
	droppedName = "figures.dropped"
)

// maxTimers is the capacity of each of the two timer buffers (64 KiB each): the number of timers kept per flush interval.
// Further timers are dropped; a busy node flushes early, when the buffer is half full.
const maxTimers = 4096

// timer is one measured latency.
type timer struct {
	at           int64  // Unix time in ns, unique: InfluxDB merges points with the same timestamp
	microseconds uint32 // fits: a request takes no longer than its budget, at most an hour
	tags         int32  // a Tags
}

// Reporter records metrics and exports them. Its methods may be called from any goroutine and, except for Run and Wait, do
// not block. A nil Reporter records nothing.
type Reporter struct {
	format        format
	interval      time.Duration // between flushes
	maxBatchBytes int
	exporters     []exporter
	log           *slog.Logger
	flushEarly    chan struct{} // receives a value, and buffers one, when the timer buffer is half full
	done          chan struct{} // closed when Run has returned

	mu              sync.Mutex // protects the fields of this group
	classes         map[string]bool
	tenants         map[string]bool
	unlistedTenants map[string]bool
	tags            map[tagKey]Tags
	series          []*series // indexed by Tags
	timers          []timer
	lastTimer       int64 // time of the newest timer
	timersDropped   int64 // timers that did not fit into the buffer

	// The fields below are used only by Run.
	flushing            []timer // timers of the interval that is being exported
	line                []byte
	batch               []byte
	dropped             int64 // dropped batches and timers that are not reported yet
	droppedInBatch      int64 // the part of dropped that the current batch reports
	droppedSinceWarning int64 // dropped batches since the last warning
	nextWarning         time.Time
}

// New returns a Reporter for the classes and tenants of the platform's settings. It exports nothing until Run is called.
// stderr is the destination if the settings name no other. Errors of the destinations are logged.
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
	r.Tags("", "") // creates the series of the zero Tags
	return r
}

// Count increments a counter by one.
func (r *Reporter) Count(t Tags, c Counter) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[t].counts[c]++
}

// Add adds a positive or negative value to a gauge.
func (r *Reporter) Add(t Tags, g Gauge, by int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[t].gauges[g] += by
}

// Latency records the latency of a request, from its head to its response.
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
	r.timers = append(r.timers, timer{at: r.lastTimer, microseconds: uint32(took.Microseconds()), tags: int32(t)})
	if len(r.timers) == maxTimers/2 {
		select {
		case r.flushEarly <- struct{}{}:
		default:
		}
	}
}
