package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// serialDiscovery is a discovery that handles its polls one after another, rejects those that would wait too long, and
// can have faults.
type serialDiscovery struct {
	pollTime, maxWait time.Duration // time to handle one poll; longest time that a poll may wait for its turn

	mu     sync.Mutex
	idleAt time.Time
	faults map[string]int // by the host of a node: how many of its next polls meet the fault
	fault  func(w http.ResponseWriter, r *http.Request)
	polls  int
	lists  int // polls that were answered with a list

	silent chan struct{} // closed: open watches send nothing more
	ended  chan struct{} // closed: open watches end
	change chan struct{} // closed: there is a newer version
}

// newSerialDiscovery returns a discovery without faults.
func newSerialDiscovery(pollTime, maxWait time.Duration) *serialDiscovery {
	return &serialDiscovery{pollTime: pollTime, maxWait: maxWait, faults: map[string]int{},
		silent: make(chan struct{}), ended: make(chan struct{}), change: make(chan struct{})}
}

func (q *serialDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q.mu.Lock()
	q.polls++
	if q.faults[r.Host] > 0 {
		q.faults[r.Host]--
		q.mu.Unlock()
		q.fault(w, r)
		return
	}
	now := time.Now()
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
	if q.idleAt.Sub(now) > q.maxWait {
		q.mu.Unlock()
		time.Sleep(q.maxWait)
		http.Error(w, "too busy", http.StatusServiceUnavailable)
		return
	}
	q.idleAt = q.idleAt.Add(q.pollTime)
	turn := q.idleAt.Sub(now)
	q.mu.Unlock()
	time.Sleep(turn)
	q.mu.Lock()
	q.lists++
	silent, ended, change := q.silent, q.ended, q.change
	q.mu.Unlock()
	heartbeat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer heartbeat.Stop()
	write := func(seq int) {
		fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`+"\n", seq)
		w.(http.Flusher).Flush()
	}
	select {
	case <-change:
		write(100)
	default:
		write(50)
	}
	for {
		select {
		case <-silent:
			<-r.Context().Done()
			return
		default:
		}
		select {
		case <-silent:
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-change:
			write(100)
			change = nil
		case <-heartbeat.C:
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// breakWatches makes all open watches fall silent or end, gives the next polls of each node the fault, and makes a
// change.
func (q *serialDiscovery) breakWatches(end bool, faults int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range 300 {
		q.faults[nodeHost(i)] = faults
	}
	if end {
		close(q.ended)
	} else {
		close(q.silent)
	}
	q.silent, q.ended = make(chan struct{}), make(chan struct{})
	close(q.change)
}

// nodeHost returns the host that a node polls, by which discovery distinguishes the nodes.
func nodeHost(i int) string { return fmt.Sprintf("n%d:1", i) }

// pollFaults are the faults that a poll can meet, by name.
var pollFaults = map[string]func(http.ResponseWriter, *http.Request){
	"none":      nil,
	"503":       func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"reset":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"no answer": func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	"no list": func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	},
	"half a list": func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"seq":100,"who`)
		panic(http.ErrAbortHandler)
	},
}

// startNodes runs the sources of n nodes that poll one discovery, in a testing/synctest bubble. It calls onList with each
// list that a node receives.
func startNodes(t *testing.T, n, pollers int, mode string, option func(*Source), onList func(node int, version int64)) {
	t.Helper()
	for i := range n {
		config := testConfig(nodeHost(i), mode)
		config.Pollers = pollers
		source := New(config, slog.New(slog.DiscardHandler), nil)
		source.ApplyUpdate = func(ctx context.Context, u engine.Update) error {
			if u.WatchFailed { // as the decision module does; the tracker also polls without this request
				time.AfterFunc(rand.N(300*time.Millisecond), source.RequestPoll)
			} else {
				onList(i, u.Version)
			}
			return nil
		}
		option(source)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		source.RequestPoll()
		go func() {
			defer close(done)
			time.Sleep(rand.N(2 * time.Second)) // spreads the heartbeats of the watches
			source.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
}
