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

// serialDiscovery is a discovery that works through its polls one after another, rejects those that wait too long, and has faults.
type serialDiscovery struct {
	pollTime, maxWait time.Duration // for the work on a poll, and for its turn

	mu     sync.Mutex
	idleAt time.Time
	faults map[string]int // of each node, by host: how many of its next polls meet the fault
	fault  func(w http.ResponseWriter, r *http.Request)
	polls  int
	lists  int // polls answered with one

	silent chan struct{} // closed: open watches bring nothing any more
	ended  chan struct{} // closed: open watches end
	change chan struct{} // closed: there is a newer version
}

// newSerialDiscovery is a discovery without faults.
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

// breakWatches has all open watches fall silent, or end, gives each node's next polls the fault, and makes a change.
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

// nodeHost is the host by which a node polls, so that discovery tells the nodes apart.
func nodeHost(i int) string { return fmt.Sprintf("n%d:1", i) }

// pollFaults are what may become of a poll.
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

// startNodes runs the sources of n nodes at one discovery, within a bubble of testing/synctest. onList is called with each
// list of a node.
func startNodes(t *testing.T, n, pollers int, mode string, option func(*Source), onList func(node int, version int64)) {
	t.Helper()
	for i := range n {
		config := testConfig(nodeHost(i), mode)
		config.Pollers = pollers
		source := New(config, slog.New(slog.DiscardHandler), nil)
		source.ApplyUpdate = func(ctx context.Context, u engine.Update) error {
			if u.WatchFailed { // the module asks for a poll: its request changes nothing, the tracker polls by itself
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
			time.Sleep(rand.N(2 * time.Second)) // the heartbeats of the watches are apart
			source.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
}
