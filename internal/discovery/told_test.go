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

// queue is a discovery that works through its calls one after another, gives up those that wait too long, and has faults.
type queue struct {
	one, wait time.Duration // of a call's work, and for its turn at most

	mu     sync.Mutex
	free   time.Time
	faults map[string]int // of each caller, how many of its next calls meet the fault
	fault  func(w http.ResponseWriter, r *http.Request)
	calls  int
	lists  int // answered with one

	silent chan struct{} // closed: open watches bring nothing any more
	ended  chan struct{} // closed: open watches end
	change chan struct{} // closed: there is a newer version
}

func (q *queue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q.mu.Lock()
	q.calls++
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
	if q.free.Sub(now) > q.wait {
		q.mu.Unlock()
		time.Sleep(q.wait)
		http.Error(w, "too busy", http.StatusServiceUnavailable)
		return
	}
	q.free = q.free.Add(q.one)
	turn := q.free.Sub(now)
	q.mu.Unlock()
	time.Sleep(turn)
	q.mu.Lock()
	q.lists++
	silent, ended, change := q.silent, q.ended, q.change
	q.mu.Unlock()
	beat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer beat.Stop()
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
		case <-beat.C:
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// trouble has all open watches fall silent, or end, gives each caller's next calls the fault, and makes a change.
func (q *queue) trouble(end bool, faults int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range 300 {
		q.faults[caller(i)] = faults
	}
	if end {
		close(q.ended)
	} else {
		close(q.silent)
	}
	q.silent, q.ended = make(chan struct{}), make(chan struct{})
	close(q.change)
}

func caller(i int) string { return fmt.Sprintf("n%d:1", i) }

var callFaults = map[string]func(http.ResponseWriter, *http.Request){
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

// callAll runs nodes' sources at one discovery, in a bubble; each says when it was told of the change.
func callAll(t *testing.T, n, callers int, mode string, way func(*Source), told func(caller int, version int64)) {
	for i := range n {
		config := testConfig(caller(i), mode)
		config.Pollers = callers
		d := New(config, slog.New(slog.DiscardHandler), nil)
		d.ApplyUpdate = func(ctx context.Context, u engine.Update) error {
			if u.Failed { // the module's wish, as it draws it
				time.AfterFunc(rand.N(300*time.Millisecond), d.Subscribe)
			} else {
				told(i, u.Version)
			}
			return nil
		}
		way(d)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		d.Subscribe()
		go func() {
			defer close(done)
			time.Sleep(rand.N(2 * time.Second)) // watches don't beat together
			d.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
}

// Whatever becomes of the first call or of three in a row, after a watch that fell silent or ended, every node has a
// change within the operators' clock, counted from when discovery had it: alone, and as one of 30 and of 300 at a discovery
// that takes 1.9 s for 300 calls in turn and gives up those that wait for 2 s. Nodes that know that they share it make up
// for one lost call within the clock, and call beside their calls no sooner. HOOKWALK_FIGURES=1 plays 300 with every
// fault, and prints the worst.
func TestToldWithinTheClock(t *testing.T) {
	figures := os.Getenv("HOOKWALK_FIGURES") != ""
	for _, mode := range []string{"on_request", "pushed"} {
		for name, fault := range callFaults {
			for _, end := range []bool{false, true} {
				for _, faults := range []int{1, 3} {
					for _, n := range []int{1, 30, 300} {
						if fault == nil && faults > 1 || n == 300 && !figures && (name != "no answer" || end) {
							continue
						}
						t.Run(fmt.Sprintf("%s/%s x%d/ended=%v/%d callers", mode, name, faults, end, n), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) { toldInTime(t, mode, n, 0, faults, end, fault) })
						})
						if faults > 1 || n == 1 {
							continue
						}
						t.Run(fmt.Sprintf("%s/%s x%d/ended=%v/%d callers that share", mode, name, faults, end, n), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) { toldInTime(t, mode, n, n, faults, end, fault) })
						})
					}
				}
			}
		}
	}
}

func toldInTime(t *testing.T, mode string, n, callers, faults int, end bool, fault http.HandlerFunc) {
	q := &queue{one: 1900 * time.Millisecond / 300, wait: 2 * time.Second, faults: map[string]int{}, fault: fault,
		silent: make(chan struct{}), ended: make(chan struct{}), change: make(chan struct{})}
	var mu sync.Mutex
	at, lists := make([]time.Time, n), 0
	callAll(t, n, callers, mode, piped(t, q), func(i int, version int64) {
		mu.Lock()
		defer mu.Unlock()
		if lists++; version == 100 && at[i].IsZero() {
			at[i] = time.Now()
		}
	})
	time.Sleep(10 * time.Second)
	q.mu.Lock()
	before := q.calls
	q.mu.Unlock()
	begin := time.Now()
	if fault == nil {
		faults = 0
	}
	q.trouble(end, faults)
	time.Sleep(30 * time.Second)
	worst := time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for i := range at {
		if at[i].IsZero() {
			t.Fatalf("caller %d was never told", i)
		}
		worst = max(worst, at[i].Sub(begin))
	}
	if worst > endpointlease.NotificationDeadline {
		t.Errorf("the last was told after %v", worst)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if os.Getenv("HOOKWALK_FIGURES") != "" {
		t.Logf("worst %v, calls a node %.2f", worst, float64(q.calls-before)/float64(n))
	}
}

// Where lists are pushed, what the agent gets at its return counts at once: a node that was refused for long is there
// within the time that a drain leaves for sends.
func TestPushedListAfterAnOutage(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			a := discoverytest.NewAgent(discoverytest.CompleteList)
			back := make(chan struct{})
			_, heard := watchOn(t, "agent:1", "pushed", piped(t, a), func(d *Source) {
				way := d.Client.Transport.(*http.Transport)
				dial := way.DialContext
				way.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
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
			a.WantCall(t, "watch 1")
			a.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
			<-heard
			if after := time.Since(begin); after > 200*time.Millisecond {
				t.Errorf("told %v after the return", after)
			}
		})
	}
}

// An agent that is silent in an outage and goes on on the watch that it has is heard, whatever was called meanwhile.
func TestSilentAgentThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, calls := make(chan string), atomic.Int32{}
		_, heard := watchOn(t, "agent:1", "pushed", piped(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				<-r.Context().Done()
				return
			}
			for {
				select {
				case l := <-lines:
					fmt.Fprintln(w, l)
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})))
		lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-heard
		time.Sleep(8 * time.Second)
		begin := time.Now()
		lines <- `{"seq":44,"whole":false,"hosts":[]}`
		if u := <-heard; u.Version != 44 || time.Since(begin) > 0 {
			t.Errorf("heard %+v after %v", u, time.Since(begin))
		}
	})
}

// A whole list older than the one held is passed over, and the whole list is asked for again: who answers late would
// bring servers back that have drained. A discovery that says so three times in a row counts anew.
func TestOlderListIsPassedOver(t *testing.T) {
	for name, c := range map[string]struct {
		seqs []int // of the answers, one after another
		want int64
	}{
		"one that answers late": {[]int{40, 70}, 70},
		"two in a row":          {[]int{40, 41, 70}, 70},
		"a count begun anew":    {[]int{3, 3, 3}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := atomic.Int32{}
				_, heard := watchOn(t, "agent:1", "on_request", piped(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					seq := c.seqs[min(int(calls.Add(1)), len(c.seqs))-1]
					fmt.Fprintf(w, `{"seq":%d,"whole":true,"hosts":[]}`+"\n", seq)
					w.(http.Flusher).Flush()
					if r.URL.Query().Get("watch") != "" {
						<-r.Context().Done()
					}
				})), func(d *Source) { d.ResumeFrom(50); d.Subscribe() })
				for u := range heard {
					if u.Failed {
						continue
					}
					if u.Version != c.want {
						t.Errorf("was told version %d", u.Version)
					}
					return
				}
			})
		})
	}
}
