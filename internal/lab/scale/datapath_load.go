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

// Range, in nanoseconds, and precision of the latency histograms.
const (
	shortestLatency  = int64(time.Microsecond) // shorter latencies are recorded as this
	longestLatency   = int64(time.Minute)      // longer latencies are recorded as this; twice a call's deadline
	latencyPrecision = 3                       // significant decimal digits
)

// maxIdleConnections is the maximum number of idle connections that a load generator keeps to one address.
const maxIdleConnections = 256

// Latencies holds the latencies of calls and the number of calls that failed. A latency is counted from the time at which
// the call was due, not from the time at which it was sent. A generator that falls behind or a server that stalls
// therefore increases the latencies of all calls that were due in the meantime.
type Latencies struct {
	Calls    int64
	Failures int64
	Lag      time.Duration // 99th percentile of the time from when a call was due until it was sent
	latency  *hdrhistogram.Histogram
}

// Quantile returns the latency that the given percentage of the calls did not exceed.
func (l *Latencies) Quantile(percent float64) time.Duration {
	return time.Duration(l.latency.ValueAtPercentile(percent))
}

// OpenLoad makes calls at random times (a Poisson process), whether or not earlier calls have been answered.
type OpenLoad struct {
	Rate     float64 // calls a second
	Duration time.Duration
	Seed     uint64
	URL      func() string // returns the URL of the next call
	Name     string        // prefix of the calls' IDs
	Class    string        // ReadClass or WriteClass
}

// Run makes the calls and returns when all of them have ended.
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

// call makes one call and reads its response.
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

// roundTrip sends a request and reads the response. It returns an error unless the status is 200.
func roundTrip(client *http.Client, request *http.Request) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		err = errors.Join(err, fmt.Errorf("scale: unexpected response status %s", response.Status))
	}
	return err
}

// newClient returns a client that keeps its connections open.
func newClient() *http.Client {
	return &http.Client{Timeout: 2 * callDeadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}
}

// recorder records the latencies and failures of calls. It is safe for concurrent use.
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
	_ = r.lag.RecordValue(min(int64(lag), longestLatency)) // never fails: the value is within the histogram's range
	_ = r.latency.RecordValue(min(int64(latency), longestLatency))
}

func (r *recorder) result() *Latencies {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Latencies{Calls: r.calls, Failures: r.failures, Lag: time.Duration(r.lag.ValueAtPercentile(99)), latency: r.latency}
}
