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

// All watches fall silent or end, and of each node the first poll after that, or the first three, are lost in one way or
// another. Discovery has a change meanwhile, say an endpoint that drains. Each node must have it within the notification
// deadline, counted from when discovery had it: alone, and as one of 30 and of 300 at a discovery that takes 1.9 s for 300
// polls in turn and rejects those that wait for 2 s. Nodes that know that they share it make up for one lost poll in time,
// and open parallel polls no sooner. HOOKWALK_FIGURES=1 plays 300 nodes with every fault, and prints the worst.
func TestChangeArrivesBeforeNotificationDeadline(t *testing.T) {
	for _, c := range deadlineCases(reportTimings()) {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDeadline(t, c) })
		})
	}
}

// reportTimings says whether all cases are played, and their figures printed.
func reportTimings() bool { return os.Getenv("HOOKWALK_FIGURES") != "" }

// deadlineCase is one way in which watches and polls fail.
type deadlineCase struct {
	mode       string
	fault      string // of pollFaults
	lostPolls  int    // of each node, how many polls meet the fault
	watchesEnd bool   // else they fall silent
	nodes      int
	shared     bool // the nodes know that they share discovery
}

func (c deadlineCase) String() string {
	name := fmt.Sprintf("%s/%s x%d/ended=%v/%d nodes", c.mode, c.fault, c.lostPolls, c.watchesEnd, c.nodes)
	if c.shared {
		name += " that share"
	}
	return name
}

// deadlineCases are all cases, or those that are quick.
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

// checkDeadline plays a case and checks that each node has the change before the deadline.
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
			t.Fatalf("node %d never had the change", i)
		}
		worst = max(worst, changedAt[i].Sub(begin))
	}
	if worst > endpointlease.NotificationDeadline {
		t.Errorf("the last node had the change after %v", worst)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reportTimings() {
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
				t.Errorf("updated %v after the return", after)
			}
		})
	}
}
