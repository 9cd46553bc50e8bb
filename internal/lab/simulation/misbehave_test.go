package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/policies"
)

// sharedScenario has just enough capacity for its clients and an extra client that sends half as many requests as all
// of them together, while a machine is unreachable for some seconds.
const sharedScenario = `scenario "shared" { seed = 5 length_s = 15 }
tier "log-front" { work = 0.4 calls = 1.5
  kind "front" { count = 8 cores = 2 slots = 40 queue = 20 } }
tier "log-store" { work = 0.3
  kind "store" { count = 10 cores = 2 slots = 40 queue = 20 } }
class "block-view"  { share = 70 effect = "safe" worth = 5 work_ms = 60 aim_ms = 500 deadline_ms = 1500 }
class "bin-weighin" { share = 30 effect = "unsafe" worth = 8 work_ms = 60 aim_ms = 500 deadline_ms = 1500 }
clients { rate = 380 retries = 1 backoff_ms = 100 }
front { nodes = 2 }
trouble "cut_off" { at_s = 4 length_s = 5 tier = "log-front" part = 0.1 }
`

// behavior describes the requests of one client that sends two hundred of them a second and follows the protocol.
type behavior struct {
	class       string
	budget      time.Duration
	marksRetry  bool
	leavesAfter time.Duration // time after the request at which the client leaves; 0: never
}

var behaviors = []struct {
	name string
	behavior
}{
	{"floods", behavior{class: "block-view", budget: 800 * time.Millisecond}},
	{"only non-idempotent", behavior{class: "bin-weighin", budget: 800 * time.Millisecond}},
	{"abandons its requests", behavior{class: "block-view", budget: 800 * time.Millisecond, leavesAfter: 10 * time.Millisecond}},
	{"marks all requests as retries", behavior{class: "block-view", budget: 800 * time.Millisecond, marksRetry: true}},
	{"short deadlines", behavior{class: "block-view", budget: 15 * time.Millisecond}},
	{"long deadlines", behavior{class: "bin-weighin", budget: time.Hour}},
}

// otherClientMetrics holds the metrics of all other clients, and how the ingress nodes' attempts were distributed.
type otherClientMetrics struct {
	valueShare, late, rejected float64
	p95                        time.Duration
	firstHalfShare             float64 // share of the ingress nodes' attempts sent to the first half of the servers by ID
	busiestRatio               float64 // attempts sent to the busiest server, divided by the mean of all servers
}

func (m otherClientMetrics) String() string {
	return fmt.Sprintf("value %.4f, late %.4f, rejected %.4f, p95 %v, first half %.3f, busiest %.2f",
		m.valueShare, m.late, m.rejected, m.p95.Round(time.Millisecond), m.firstHalfShare, m.busiestRatio)
}

// runWithExtraClient runs the shared scenario with an extra client that sends extraRequests requests, or without one if
// misbehavior is nil. It returns the metrics of the other clients.
func runWithExtraClient(t *testing.T, seed uint64, misbehavior *behavior, extraRequests int) otherClientMetrics {
	t.Helper()
	s := parseScenario(t, sharedScenario)
	s.Seed = seed
	sends := map[string]int{}
	w, err := New(s, func(name string, settings balancer.Settings, seed uint64, inFlight policies.InFlight) (policies.Decider, error) {
		d, err := policies.New(name, settings, seed, inFlight)
		if settings.Tier > 0 {
			return d, err
		}
		return &violatingDecider{d, func(_ time.Duration, _ balancer.Event, out []balancer.Action) []balancer.Action {
			for _, a := range out {
				if send, ok := a.(balancer.Send); ok {
					sends[send.Server]++
				}
			}
			return out
		}}, err
	})
	if err != nil {
		t.Fatal(err)
	}
	if misbehavior != nil {
		class := 0
		for i, c := range s.Classes {
			if c.Name == misbehavior.class {
				class = i
			}
		}
		for i := range extraRequests {
			at := time.Second + time.Duration(i)*5*time.Millisecond
			w.at(at, func() {
				n := w.ingress.nodes[i%len(w.ingress.nodes)]
				r := &clientRequest{done: true} // excluded from the score
				c := &nodeRequest{id: fmt.Sprint("odd", i), class: class, deadline: w.now + misbehavior.budget, work: 1, client: r, reply: func(checker.Answer, time.Duration) {}}
				n.accept(c)
				n.handle(balancer.Request{ID: c.id, Class: misbehavior.class, Deadline: c.deadline, ClientRetry: misbehavior.marksRetry})
				if misbehavior.leavesAfter > 0 {
					w.after(misbehavior.leavesAfter, func() { n.clientGone(c.id) })
				}
			})
		}
	}
	got, checked, err := w.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range checked.Violations() {
		t.Errorf("seed %d: %v", seed, v)
	}
	reported := got.Metrics(0)
	inTime, late, failed, _ := got.Counts()
	metrics := otherClientMetrics{valueShare: reported["worth"], rejected: reported["refusals"], p95: got.Quantile(95),
		late: float64(late) / float64(inTime+late+failed)}
	ids, total := slices.Sorted(maps.Keys(sends)), 0
	for i, id := range ids {
		total += sends[id]
		if i < (len(ids)+1)/2 {
			metrics.firstHalfShare += float64(sends[id])
		}
		metrics.busiestRatio = max(metrics.busiestRatio, float64(sends[id]*len(ids)))
	}
	metrics.firstHalfShare, metrics.busiestRatio = metrics.firstHalfShare/float64(total), metrics.busiestRatio/float64(total)
	return metrics
}

// A client that floods, abandons its requests or marks them as retries must not take capacity from the others. As long
// as it follows the protocol, it costs them no more than the same load from a polite client.
func TestMisbehavingClientCostsOthersNothing(t *testing.T) {
	polite := behavior{class: "block-view", budget: 800 * time.Millisecond}
	for _, misbehavior := range behaviors {
		t.Run(misbehavior.name, func(t *testing.T) {
			t.Parallel()
			lost := 0.0
			for seed := range uint64(3) {
				alone, besidePolite, besideMisbehaving := runWithExtraClient(t, seed, nil, 0), runWithExtraClient(t, seed, &polite, 2600), runWithExtraClient(t, seed, &misbehavior.behavior, 2600)
				t.Logf("%s, seed %d:\nalone %v\nbeside a polite client %v\nbeside this client %v", misbehavior.name, seed, alone, besidePolite, besideMisbehaving)
				lost += (min(alone.valueShare, besidePolite.valueShare) - besideMisbehaving.valueShare) / 3
				// Crowding shifts attempts to the second half of the servers. A misbehaving client causes less crowding
				// than a polite one, so the share must lie between those of the other two runs, with a tolerance of
				// 0.05.
				if least, most := min(alone.firstHalfShare, besidePolite.firstHalfShare), max(alone.firstHalfShare, besidePolite.firstHalfShare); besideMisbehaving.firstHalfShare < least-0.05 || besideMisbehaving.firstHalfShare > most+0.05 {
					t.Errorf("seed %d: %.3f of the attempts go to the first half of the servers, %.3f beside a polite client, %.3f alone", seed, besideMisbehaving.firstHalfShare, besidePolite.firstHalfShare, alone.firstHalfShare)
				}
			}
			if lost > 0.01 {
				t.Errorf("the other clients lose %.4f of their value share to it, want at most 0.01", lost)
			}
		})
	}
}
