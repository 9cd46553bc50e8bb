package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
)

// A crowded discovery handles one call after another and answers 503 to those that would wait too long. When all open
// watches fall silent or end at once, each node has its list again within a few times what one call from each takes, and
// the calls of all nodes are not many more than the nodes: calls made beside calls keep the service from serving anybody.
func TestCrowdedDiscoveryServesAll(t *testing.T) {
	for _, nodes := range []int{16, 22, 26, 60, 300} {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes/ended=%v", nodes, ended), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					q := newQueue(200*time.Millisecond, 1500*time.Millisecond)
					last, calls, lists := crowd(t, q, nodes, ended)
					inTurn := time.Duration(nodes) * q.one
					if most := inTurn + inTurn/5 + 2*time.Second; last > most {
						t.Errorf("the last node had its list after %v, want %v at most", last, most)
					}
					if lists > nodes {
						t.Errorf("%d lists for %d nodes: some of its work was for nobody", lists, nodes)
					}
					// A node has to know within 6 s that discovery is back, so it calls every few seconds for as long as it takes.
					if most := nodes * max(4, int(inTurn/(4*time.Second))); calls > most {
						t.Errorf("%d calls, want %d at most", calls, most)
					}
					t.Logf("last list after %v, %.2f calls and %.2f lists a node, in turn %v", last, float64(calls)/float64(nodes), float64(lists)/float64(nodes), inTurn)
				})
			})
		}
	}
}

// newQueue is a discovery without faults.
func newQueue(one, wait time.Duration) *queue {
	return &queue{one: one, wait: wait, faults: map[string]int{},
		silent: make(chan struct{}), ended: make(chan struct{}), change: make(chan struct{})}
}

// crowd has nodes watch a discovery, breaks all watches at once, and says after how long the last node had its list, and
// how many calls all of them made until then.
func crowd(t *testing.T, q *queue, nodes int, ended bool) (last time.Duration, calls, lists int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	told, missing := make([]bool, nodes), nodes
	all := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	begin := time.Now()
	for i := range nodes {
		config := testConfig(caller(i), "on_request")
		config.MaxPollInterval, config.Pollers = 10*time.Second, nodes
		d := New(config, slog.New(slog.DiscardHandler), nil)
		d.ApplyUpdate = func(_ context.Context, u engine.Update) error {
			mu.Lock()
			defer mu.Unlock()
			if u.Failed {
				time.AfterFunc(rand.N(600*time.Millisecond), d.Subscribe)
				return nil
			}
			if u.Version == 100 && !told[i] {
				told[i] = true
				last = time.Since(begin)
				if missing--; missing == 0 {
					close(all)
				}
			}
			return nil
		}
		piped(t, q)(d)
		d.Subscribe()
		running.Go(func() {
			<-time.After(time.Duration(i) * q.one) // each starts when discovery is free for it
			d.Run(ctx)
		})
	}
	<-time.After(time.Duration(nodes)*q.one + 5*time.Second)
	q.mu.Lock()
	before, listsBefore := q.calls, q.lists
	q.mu.Unlock()
	begin = time.Now()
	q.trouble(ended, 0)
	select {
	case <-all:
	case <-time.After(5 * time.Minute):
		last = 5 * time.Minute
	}
	q.mu.Lock()
	calls, lists = q.calls-before, q.lists-listsBefore
	q.mu.Unlock()
	cancel()
	running.Wait()
	<-time.After(time.Hour) // the stand-in works on for callers that have gone
	return last, calls, lists
}

// A discovery that takes long over each call is heard at the first call's answer: no call is given up while it may be
// answered.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		for _, takes := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
			for _, ended := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/ended=%v", mode, takes, ended), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &slow{answers: make(chan struct{})}
						_, heard := watchOn(t, "agent:1", mode, piped(t, s), func(d *Source) { d.Subscribe() })
						<-heard
						began := time.Now()
						s.set(takes, ended)
						for u := range heard {
							if u.Failed {
								continue
							}
							// A watch that fell silent is noticed within 2.8 s; one that ended is called anew within 0.2 s.
							if after, most := time.Since(began), takes+3*time.Second; after > most {
								t.Errorf("heard after %v, want %v at most", after, most)
							}
							return
						}
					})
				})
			}
		}
	}
}

// slow is a discovery that answers each call on its own, after a while.
type slow struct {
	mu      sync.Mutex
	takes   time.Duration
	answers chan struct{} // closed: open watches are silent, or end
	ended   bool
}

// set has the open watches fall silent or end, and each call from now on take a while.
func (s *slow) set(takes time.Duration, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takes, s.ended = takes, ended
	close(s.answers)
	s.answers = make(chan struct{})
}

func (s *slow) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	takes, broken := s.takes, s.answers
	s.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintln(w, `{"seq":50,"whole":false,"hosts":[]}`)
	w.(http.Flusher).Flush()
	select {
	case <-broken:
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended {
		panic(http.ErrAbortHandler)
	}
	<-r.Context().Done()
}
