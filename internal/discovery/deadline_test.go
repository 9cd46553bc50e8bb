package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/endpointlease"
)

// All watches fall silent or end, and the first poll or the first three polls of each node after that are lost in various
// ways. Meanwhile discovery has a change, for example a draining endpoint. Each node must receive the change within the
// notification deadline, counted from when discovery had it. This holds for a single node, and for one of 30 or of 300
// nodes at a discovery that takes 1.9 s to handle 300 polls one after another and rejects those that wait for 2 s. Nodes
// that know that they share discovery recover in time from one lost poll, and do not open hedged polls any sooner.
// HOOKWALK_FIGURES=1 runs 300 nodes with every fault and prints the worst time.
func TestChangeArrivesBeforeNotificationDeadline(t *testing.T) {
	for _, c := range deadlineCases(reportTimings()) {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDeadline(t, c) })
		})
	}
}

// reportTimings reports whether all cases run and their measurements are printed.
func reportTimings() bool { return os.Getenv("HOOKWALK_FIGURES") != "" }

// deadlineCase is one combination of lost watches and lost polls.
type deadlineCase struct {
	mode       string
	fault      string // key of pollFaults
	lostPolls  int    // number of polls of each node that meet the fault
	watchesEnd bool   // the watches end; otherwise they fall silent
	nodes      int
	shared     bool // the nodes know that they share discovery
}

func (c deadlineCase) String() string {
	name := fmt.Sprintf("%s/%s x%d/ended=%v/%d nodes", c.mode, c.fault, c.lostPolls, c.watchesEnd, c.nodes)
	if c.shared {
		name += " that know of each other"
	}
	return name
}

// deadlineCases returns all cases, or only those that run quickly.
func deadlineCases(all bool) (cases []deadlineCase) {
	for _, mode := range []string{"on_request", "pushed"} {
		for name, fault := range pollFaults {
			for _, watchesEnd := range []bool{false, true} {
				for _, lostPolls := range []int{1, 3} {
					for _, nodes := range []int{1, 30, 300} {
						quick := nodes < 300 || name == "no answer" && !watchesEnd
						if fault == nil && lostPolls > 1 || !quick && !all {
							continue
						}
						c := deadlineCase{mode: mode, fault: name, lostPolls: lostPolls, watchesEnd: watchesEnd, nodes: nodes}
						cases = append(cases, c)
						if lostPolls == 1 && nodes > 1 {
							c.shared = true
							cases = append(cases, c)
						}
					}
				}
			}
		}
	}
	return cases
}

// checkDeadline runs a case and checks that each node receives the change before the deadline.
func checkDeadline(t *testing.T, c deadlineCase) {
	t.Helper()
	n, pollers := c.nodes, 0
	if c.shared {
		pollers = n
	}
	q := newSerialDiscovery(1900*time.Millisecond/300, 2*time.Second)
	q.fault = pollFaults[c.fault]
	var mu sync.Mutex
	changedAt, lists := make([]time.Time, n), 0
	startNodes(t, n, pollers, c.mode, withPipe(t, q), func(i int, version int64) {
		mu.Lock()
		defer mu.Unlock()
		if lists++; version == 100 && changedAt[i].IsZero() {
			changedAt[i] = time.Now()
		}
	})
	time.Sleep(10 * time.Second)
	q.mu.Lock()
	pollsBefore := q.polls
	q.mu.Unlock()
	begin := time.Now()
	lostPolls := c.lostPolls
	if q.fault == nil {
		lostPolls = 0
	}
	q.breakWatches(c.watchesEnd, lostPolls)
	time.Sleep(30 * time.Second)
	worst := time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for i := range changedAt {
		if changedAt[i].IsZero() {
			t.Fatalf("node %d never received the change", i)
		}
		worst = max(worst, changedAt[i].Sub(begin))
	}
	if worst > endpointlease.NotificationDeadline {
		t.Errorf("the last node received the change after %v", worst)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reportTimings() {
		t.Logf("worst time %v, polls per node %.2f", worst, float64(q.polls-pollsBefore)/float64(n))
	}
}

// An agent that pushes lists is available again after an outage in which it refused connections. A node counts as
// notified as soon as the agent has a change, so the node must receive it within the time that a drain leaves for sends.
func TestPushedListAfterAnOutage(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			agent := discoverytest.NewAgent(discoverytest.CompleteList)
			back := make(chan struct{})
			_, updates := startSource(t, "agent:1", "pushed", withPipe(t, agent), func(source *Source) {
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
			agent.WantPoll(t, "watch 1")
			agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
			<-updates
			if after := time.Since(begin); after > 200*time.Millisecond {
				t.Errorf("updated %v after the end of the outage", after)
			}
		})
	}
}
