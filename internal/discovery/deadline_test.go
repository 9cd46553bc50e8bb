package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// queue is a discovery that works through its polls one after another, rejects those that wait too long, and has faults.
type queue struct {
	pollTime, maxWait time.Duration // for the work on a poll, and for its turn

	mu     sync.Mutex
	free   time.Time
	faults map[string]int // of each node, by host: how many of its next polls meet the fault
	fault  func(w http.ResponseWriter, r *http.Request)
	polls  int
	lists  int // polls answered with one

	silent chan struct{} // closed: open watches bring nothing any more
	ended  chan struct{} // closed: open watches end
	change chan struct{} // closed: there is a newer version
}

// newQueue is a discovery without faults.
func newQueue(pollTime, maxWait time.Duration) *queue {
	return &queue{pollTime: pollTime, maxWait: maxWait, faults: map[string]int{},
		silent: make(chan struct{}), ended: make(chan struct{}), change: make(chan struct{})}
}

func (q *queue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q.mu.Lock()
	q.polls++
	if q.faults[r.Host] > 0 {
		q.faults[r.Host]--
		q.mu.Unlock()
		q.fault(w, r)
		return
	}
	now := time.Now()
	if q.free.Before(now) {
		q.free = now
	}
	if q.free.Sub(now) > q.maxWait {
		q.mu.Unlock()
		time.Sleep(q.maxWait)
		http.Error(w, "too busy", http.StatusServiceUnavailable)
		return
	}
	q.free = q.free.Add(q.pollTime)
	turn := q.free.Sub(now)
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
func (q *queue) breakWatches(end bool, faults int) {
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
			if u.Failed { // the module requests the next poll
				time.AfterFunc(rand.N(300*time.Millisecond), source.Subscribe)
			} else {
				onList(i, u.Version)
			}
			return nil
		}
		option(source)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		source.Subscribe()
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

// All watches fall silent or end, and of each node the first poll after that, or the first three, are lost in one way or
// another. Discovery has a change meanwhile, say an endpoint that drains. Each node must have it within the notification
// deadline, counted from when discovery had it: alone, and as one of 30 and of 300 at a discovery that takes 1.9 s for 300
// polls in turn and rejects those that wait for 2 s. Nodes that know that they share it make up for one lost poll in time,
// and open parallel polls no sooner. HOOKWALK_FIGURES=1 plays 300 nodes with every fault, and prints the worst.
func TestChangeIsKnownBeforeTheDeadline(t *testing.T) {
	figures := os.Getenv("HOOKWALK_FIGURES") != ""
	for _, mode := range []string{"on_request", "pushed"} {
		for name, fault := range pollFaults {
			for _, end := range []bool{false, true} {
				for _, faults := range []int{1, 3} {
					for _, n := range []int{1, 30, 300} {
						if fault == nil && faults > 1 || n == 300 && !figures && (name != "no answer" || end) {
							continue
						}
						t.Run(fmt.Sprintf("%s/%s x%d/ended=%v/%d nodes", mode, name, faults, end, n), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) { checkDeadline(t, mode, n, 0, faults, end, fault) })
						})
						if faults > 1 || n == 1 {
							continue
						}
						t.Run(fmt.Sprintf("%s/%s x%d/ended=%v/%d nodes that share", mode, name, faults, end, n), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) { checkDeadline(t, mode, n, n, faults, end, fault) })
						})
					}
				}
			}
		}
	}
}

func checkDeadline(t *testing.T, mode string, n, pollers, faults int, end bool, fault http.HandlerFunc) {
	t.Helper()
	q := newQueue(1900*time.Millisecond/300, 2*time.Second)
	q.fault = fault
	var mu sync.Mutex
	at, lists := make([]time.Time, n), 0
	startNodes(t, n, pollers, mode, piped(t, q), func(i int, version int64) {
		mu.Lock()
		defer mu.Unlock()
		if lists++; version == 100 && at[i].IsZero() {
			at[i] = time.Now()
		}
	})
	time.Sleep(10 * time.Second)
	q.mu.Lock()
	pollsBefore := q.polls
	q.mu.Unlock()
	begin := time.Now()
	if fault == nil {
		faults = 0
	}
	q.breakWatches(end, faults)
	time.Sleep(30 * time.Second)
	worst := time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for i := range at {
		if at[i].IsZero() {
			t.Fatalf("node %d never had the change", i)
		}
		worst = max(worst, at[i].Sub(begin))
	}
	if worst > endpointlease.NotificationDeadline {
		t.Errorf("the last node had the change after %v", worst)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if os.Getenv("HOOKWALK_FIGURES") != "" {
		t.Logf("worst %v, polls a node %.2f", worst, float64(q.polls-pollsBefore)/float64(n))
	}
}

// An agent that pushes lists comes back after an outage in which it refused connections. A node counts as notified at once
// of what the agent has, so it must be there within the time that a drain leaves for sends.
func TestPushedListAfterAnOutage(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			agent := discoverytest.NewAgent(discoverytest.CompleteList)
			back := make(chan struct{})
			_, updates := startSource(t, "agent:1", "pushed", piped(t, agent), func(source *Source) {
				transport := source.Client.Transport.(*http.Transport)
				dial := transport.DialContext
				transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					select {
					case <-back:
						return dial(ctx, network, addr)
					default:
						return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
					}
				}
			})
			time.Sleep(12*time.Second + rand.N(time.Second))
			begin := time.Now()
			close(back)
			agent.WantCall(t, "watch 1")
			agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
			<-updates
			if after := time.Since(begin); after > 200*time.Millisecond {
				t.Errorf("updated %v after the return", after)
			}
		})
	}
}

// An agent is silent in an outage, and goes on afterwards on the watch that it has. If the node had closed that watch, it
// would miss the change: polls that were opened meanwhile are never answered here.
func TestSilentWatchIsHeardAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, polls := make(chan string), atomic.Int32{}
		_, updates := startSource(t, "agent:1", "pushed", piped(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if polls.Add(1) > 1 {
				<-r.Context().Done()
				return
			}
			for {
				select {
				case line := <-lines:
					fmt.Fprintln(w, line)
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})))
		lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-updates
		time.Sleep(8 * time.Second)
		begin := time.Now()
		lines <- `{"seq":44,"whole":false,"hosts":[]}`
		if u := <-updates; u.Version != 44 || time.Since(begin) > 0 {
			t.Errorf("updated to %+v after %v", u, time.Since(begin))
		}
	})
}

// A complete list comes that is older than the one held. Applied, it would bring endpoints back that have drained: it is
// ignored, and the complete list is polled again. A discovery that has lost its state counts anew: three such lists in a
// row are believed.
func TestOlderListIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		seqs []int // of the answers, one after another
		want int64
	}{
		"a late answer":         {[]int{40, 70}, 70},
		"two late answers":      {[]int{40, 41, 70}, 70},
		"versions counted anew": {[]int{3, 3, 3}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				polls := atomic.Int32{}
				_, updates := startSource(t, "agent:1", "on_request", piped(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					seq := c.seqs[min(int(polls.Add(1)), len(c.seqs))-1]
					fmt.Fprintf(w, `{"seq":%d,"whole":true,"hosts":[]}`+"\n", seq)
					w.(http.Flusher).Flush()
					if r.URL.Query().Get("watch") != "" {
						<-r.Context().Done()
					}
				})), func(source *Source) { source.ResumeFrom(50); source.Subscribe() })
				for u := range updates {
					if u.Failed {
						continue
					}
					if u.Version != c.want {
						t.Errorf("updated to version %d", u.Version)
					}
					return
				}
			})
		})
	}
}
