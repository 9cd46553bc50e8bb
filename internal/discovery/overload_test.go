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

// An overloaded discovery handles one poll after another and answers 503 to those that would wait too long. All open watches
// fall silent or end at once. If each node opened many polls, discovery would work for polls that nobody waits for, and
// serve nobody. So each node has its list again within little more than one poll from each takes, and there are not many
// more polls than nodes.
func TestOverloadedDiscoveryServesAllNodes(t *testing.T) {
	for _, nodes := range []int{16, 22, 26, 60, 300} {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes/ended=%v", nodes, ended), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					queue := newSerialDiscovery(200*time.Millisecond, 1500*time.Millisecond)
					last, polls, lists := breakAllWatches(t, queue, nodes, ended)
					serialTime := time.Duration(nodes) * queue.pollTime
					if most := serialTime + serialTime/5 + 2*time.Second; last > most {
						t.Errorf("the last node had its list after %v, want %v at most", last, most)
					}
					if lists > nodes {
						t.Errorf("%d lists for %d nodes: some of its work was for nobody", lists, nodes)
					}
					// A node must know within 6 s that discovery is back, so it polls every few seconds for as long as it takes.
					if most := nodes * max(4, int(serialTime/(4*time.Second))); polls > most {
						t.Errorf("%d polls, want %d at most", polls, most)
					}
					t.Logf("last list after %v, %.2f polls and %.2f lists a node, in turn %v", last, float64(polls)/float64(nodes), float64(lists)/float64(nodes), serialTime)
				})
			})
		}
	}
}

// breakAllWatches has nodes watch a discovery, breaks all watches at once, and returns after how long the last node had its
// list, and how many polls and lists there were until then.
func breakAllWatches(t *testing.T, queue *serialDiscovery, nodes int, ended bool) (last time.Duration, polls, lists int) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	updated, missing := make([]bool, nodes), nodes
	all := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	begin := time.Now()
	for i := range nodes {
		config := testConfig(nodeHost(i), "on_request")
		config.MaxPollInterval, config.Pollers = 10*time.Second, nodes
		source := New(config, slog.New(slog.DiscardHandler), nil)
		source.ApplyUpdate = func(_ context.Context, u engine.Update) error {
			mu.Lock()
			defer mu.Unlock()
			if u.WatchFailed {
				time.AfterFunc(rand.N(600*time.Millisecond), source.RequestPoll)
				return nil
			}
			if u.Version == 100 && !updated[i] {
				updated[i] = true
				last = time.Since(begin)
				if missing--; missing == 0 {
					close(all)
				}
			}
			return nil
		}
		withPipe(t, queue)(source)
		source.RequestPoll()
		running.Go(func() {
			<-time.After(time.Duration(i) * queue.pollTime) // each starts when discovery is free for it
			source.Run(ctx)
		})
	}
	<-time.After(time.Duration(nodes)*queue.pollTime + 5*time.Second)
	queue.mu.Lock()
	pollsBefore, listsBefore := queue.polls, queue.lists
	queue.mu.Unlock()
	begin = time.Now()
	queue.breakWatches(ended, 0)
	select {
	case <-all:
	case <-time.After(5 * time.Minute):
		last = 5 * time.Minute
	}
	queue.mu.Lock()
	polls, lists = queue.polls-pollsBefore, queue.lists-listsBefore
	queue.mu.Unlock()
	cancel()
	running.Wait()
	<-time.After(time.Hour) // the stand-in works on for nodes that have gone
	return last, polls, lists
}

// A discovery takes up to 7 s for each poll. A node that gives a poll up and makes another never has its list. So the list
// is there with the answer to the first poll.
func TestNodeWaitsForSlowDiscovery(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		for _, answerDelay := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
			for _, ended := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/ended=%v", mode, answerDelay, ended), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &slowDiscovery{broken: make(chan struct{})}
						_, updates := startSource(t, "agent:1", mode, withPipe(t, s), func(source *Source) { source.RequestPoll() })
						<-updates
						began := time.Now()
						s.set(answerDelay, ended)
						for u := range updates {
							if u.WatchFailed {
								continue
							}
							// A watch that fell silent is noticed within 2.8 s; after one that ended discovery is polled within 0.2 s.
							if after, most := time.Since(began), answerDelay+3*time.Second; after > most {
								t.Errorf("updated after %v, want %v at most", after, most)
							}
							return
						}
					})
				})
			}
		}
	}
}

// slowDiscovery answers each poll on its own, after a while.
type slowDiscovery struct {
	mu          sync.Mutex
	answerDelay time.Duration
	broken      chan struct{} // closed: open watches are silent, or end
	ended       bool
}

// set has the open watches fall silent or end, and each poll from now on take a while.
func (s *slowDiscovery) set(answerDelay time.Duration, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerDelay, s.ended = answerDelay, ended
	close(s.broken)
	s.broken = make(chan struct{})
}

func (s *slowDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answerDelay, broken := s.answerDelay, s.broken
	s.mu.Unlock()
	select {
	case <-time.After(answerDelay):
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
