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

// An overloaded discovery handles one poll after another, and answers 503 to polls that would wait too long. All open
// watches fall silent or end at once. If each node opened many polls, discovery would work on polls that no node waits
// for, and serve no node. So every node must have its list again within little more than the time of one poll from each
// node, with not many more polls than nodes.
func TestOverloadedDiscoveryServesAllNodes(t *testing.T) {
	for _, nodes := range []int{16, 22, 26, 60, 300} {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes/ended=%v", nodes, ended), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					queue := newSerialDiscovery(200*time.Millisecond, 1500*time.Millisecond)
					last, polls, lists := breakAllWatches(t, queue, nodes, ended)
					serialTime := time.Duration(nodes) * queue.pollTime
					if maxTime := serialTime + serialTime/5 + 2*time.Second; last > maxTime {
						t.Errorf("the last node received its list after %v, want %v at most", last, maxTime)
					}
					if lists > nodes {
						t.Errorf("%d lists for %d nodes: discovery prepared lists that no node waited for", lists, nodes)
					}
					// A node must find out within 6 s that discovery is back, so it keeps polling every few seconds.
					if maxPolls := nodes * max(4, int(serialTime/(4*time.Second))); polls > maxPolls {
						t.Errorf("%d polls, want %d at most", polls, maxPolls)
					}
					t.Logf("last list after %v, %.2f polls and %.2f lists per node, one poll from each takes %v", last, float64(polls)/float64(nodes), float64(lists)/float64(nodes), serialTime)
				})
			})
		}
	}
}

// breakAllWatches lets nodes watch a discovery and then breaks all watches at once. It returns the time until the last
// node received its list, and the number of polls and lists until then.
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
			<-time.After(time.Duration(i) * queue.pollTime) // each node starts when discovery is idle
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
	<-time.After(time.Hour) // the stand-in finishes its work for nodes that have stopped
	return last, polls, lists
}

// A discovery takes up to 7 s for each poll. A node that abandoned a poll and made another would never receive its list.
// So the list must arrive with the answer to the first poll.
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
							// A silent watch is noticed within 2.8 s; after the end of a watch, discovery is polled within 0.2 s.
							if after, maxTime := time.Since(began), answerDelay+3*time.Second; after > maxTime {
								t.Errorf("updated after %v, want %v at most", after, maxTime)
							}
							return
						}
					})
				})
			}
		}
	}
}

// slowDiscovery answers polls concurrently, each after a delay.
type slowDiscovery struct {
	mu          sync.Mutex
	answerDelay time.Duration
	broken      chan struct{} // closed: open watches fall silent or end
	ended       bool
}

// set makes the open watches fall silent or end, and delays the answers to later polls.
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
