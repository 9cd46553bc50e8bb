package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// Bounds of what a histogram of latencies holds, in nanoseconds.
const (
	shortestLatency  = int64(time.Microsecond) // less counts as this
	longestLatency   = int64(time.Minute)      // more counts as this; twice a call's deadline
	latencyPrecision = 3                       // significant decimal digits
)

// maxIdleConnections is how many connections a generator keeps open to one address.
const maxIdleConnections = 256

// Latencies are the times that calls took, and how many failed. A time runs from the moment at which the call was due,
// not from the moment at which it was sent, so a generator that falls behind or a server that stalls shows in all the
// calls that were due meanwhile.
type Latencies struct {
	Calls    int64
	Failures int64
	Lag      time.Duration // within which 99 in 100 calls were sent after they were due
	latency  *hdrhistogram.Histogram
}

// Quantile is the time within which a share of the calls, in percent, was answered.
func (l *Latencies) Quantile(percent float64) time.Duration {
	return time.Duration(l.latency.ValueAtPercentile(percent))
}

// OpenLoad makes calls at random moments (a Poisson process) whether or not earlier ones have been answered.
type OpenLoad struct {
	Rate     float64 // calls a second
	Duration time.Duration
	Seed     uint64
	URL      func() string // of the next call
	Name     string        // prefix of the calls' IDs
	Class    string        // ReadClass or WriteClass
}

// Run makes the calls and returns when all are answered.
func (l OpenLoad) Run(ctx context.Context, client *http.Client) (*Latencies, error) {
	pace, err := newPacer()
	if err != nil {
		return nil, err
	}
	defer pace.Close()
	record := newRecorder()
	var open sync.WaitGroup
	defer open.Wait()
	random := rand.New(rand.NewPCG(l.Seed, 0))
	began := loopback.Monotonic()
	due := began
	for number := 0; ; number++ {
		due += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if due-began > l.Duration || ctx.Err() != nil {
			break
		}
		if err := pace.Wait(due); err != nil {
			return nil, err
		}
		at, id := due, l.Name+strconv.Itoa(number)
		open.Go(func() {
			sent := loopback.Monotonic()
			err := call(ctx, client, l.URL(), l.Class, id)
			record.record(sent-at, loopback.Monotonic()-at, err)
		})
	}
	open.Wait()
	return record.result(), ctx.Err()
}

// call makes one call and reads its answer.
func call(ctx context.Context, client *http.Client, url, class, id string) error {
	method := http.MethodGet
	if class == WriteClass {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("X-Call-Id", id)
	request.Header.Set("X-Call-Class", class)
	request.Header.Set("X-Caller", "benchland")
	request.Header.Set("X-Budget", strconv.FormatInt(callDeadline.Microseconds(), 10)+"u")
	return roundTrip(client, request)
}

// roundTrip sends a request and reads the answer, which must be 200.
func roundTrip(client *http.Client, request *http.Request) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		err = errors.Join(err, fmt.Errorf("scale: answered %s", response.Status))
	}
	return err
}

// newClient is a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Timeout: 2 * callDeadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}
}

// recorder records what became of calls. Its methods may be called from any goroutine.
type recorder struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram
	calls    int64
	failures int64
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(shortestLatency, longestLatency, latencyPrecision)
	}
	return &recorder{latency: histogram(), lag: histogram()}
}

func (r *recorder) record(lag, latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if err != nil {
		r.failures++
	}
	_ = r.lag.RecordValue(min(int64(lag), longestLatency)) // within the bounds
	_ = r.latency.RecordValue(min(int64(latency), longestLatency))
}

func (r *recorder) result() *Latencies {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Latencies{Calls: r.calls, Failures: r.failures, Lag: time.Duration(r.lag.ValueAtPercentile(99)), latency: r.latency}
}
