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

// sharedWorld is a world with just enough capacity for a client that sends half as much again as all others, and a machine that is
// unreachable for a while.
const sharedWorld = `scenario "shared" { seed = 5 length_s = 15 }
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

// behavior is what one client does, two hundred times a second, within the protocol.
type behavior struct {
	class       string
	budget      time.Duration
	marksRetry  bool
	leavesAfter time.Duration // so long after its request; 0: never
}

var behaviors = []struct {
	name string
	behavior
}{
	{"floods", behavior{class: "block-view", budget: 800 * time.Millisecond}},
	{"only weigh-ins", behavior{class: "bin-weighin", budget: 800 * time.Millisecond}},
	{"abandons its calls", behavior{class: "block-view", budget: 800 * time.Millisecond, leavesAfter: 10 * time.Millisecond}},
	{"marks all as retries", behavior{class: "block-view", budget: 800 * time.Millisecond, marksRetry: true}},
	{"shortest budgets", behavior{class: "block-view", budget: 15 * time.Millisecond}},
	{"longest budgets", behavior{class: "bin-weighin", budget: time.Hour}},
}

// effects are what the others notice of a client, and where the ingress nodes' attempts went.
type effects struct {
	valueShare, late, rejected float64
	p95                        time.Duration
	leftShare                  float64 // share of the ingress nodes' draws that went to the left group
	busiest                    float64 // the busiest server's draws over the mean
}

func (n effects) String() string {
	return fmt.Sprintf("value %.4f, late %.4f, rejected %.4f, p95 %v, left %.3f, busiest %.2f",
		n.valueShare, n.late, n.rejected, n.p95.Round(time.Millisecond), n.leftShare, n.busiest)
}

// playBeside plays the shared world with such a client, or without one, and returns what the others notice.
func playBeside(t *testing.T, seed uint64, o *behavior, attacks int) effects {
	t.Helper()
	s := parsed(t, sharedWorld)
	s.Seed = seed
	draws := map[string]int{}
	w, err := New(s, func(name string, set balancer.Settings, seed uint64, truth policies.InFlight) (policies.Decider, error) {
		d, err := policies.New(name, set, seed, truth)
		if set.Tier > 0 {
			return d, err
		}
		return &violatingDecider{d, func(_ time.Duration, _ balancer.Event, out []balancer.Action) []balancer.Action {
			for _, a := range out {
				if send, ok := a.(balancer.Send); ok {
					draws[send.Server]++
				}
			}
			return out
		}}, err
	})
	if err != nil {
		t.Fatal(err)
	}
	if o != nil {
		class := 0
		for i, c := range s.Classes {
			if c.Name == o.class {
				class = i
			}
		}
		for i := range attacks {
			at := time.Second + time.Duration(i)*5*time.Millisecond
			w.at(at, func() {
				n := w.ingress.nodes[i%len(w.ingress.nodes)]
				r := &clientRequest{done: true} // it does not count
				c := &nodeRequest{id: fmt.Sprint("odd", i), class: class, deadline: w.now + o.budget, work: 1, client: r, reply: func(checker.Answer, time.Duration) {}}
				n.accept(c)
				n.handle(balancer.Request{ID: c.id, Class: o.class, Deadline: c.deadline, ClientRetry: o.marksRetry})
				if o.leavesAfter > 0 {
					w.after(o.leavesAfter, func() { n.clientGone(c.id) })
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
	f := got.Metrics(0)
	inTime, late, failed, _ := got.Counts()
	n := effects{valueShare: f["worth"], rejected: f["refusals"], p95: got.Quantile(95),
		late: float64(late) / float64(inTime+late+failed)}
	order, all := slices.Sorted(maps.Keys(draws)), 0
	for i, id := range order {
		all += draws[id]
		if i < (len(order)+1)/2 {
			n.leftShare += float64(draws[id])
		}
		n.busiest = max(n.busiest, float64(draws[id]*len(order)))
	}
	n.leftShare, n.busiest = n.leftShare/float64(all), n.busiest/float64(all)
	return n
}

// One client that floods, abandons or marks its calls must not take capacity from the others: what it does within the
// protocol costs them no more than the same load from a polite client.
func TestMisbehavingClientCostsOthersNothing(t *testing.T) {
	polite := behavior{class: "block-view", budget: 800 * time.Millisecond}
	for _, o := range behaviors {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			lost := 0.0
			for seed := range uint64(3) {
				alone, fair, odd := playBeside(t, seed, nil, 0), playBeside(t, seed, &polite, 2600), playBeside(t, seed, &o.behavior, 2600)
				t.Logf("%s, seed %d:\nalone %v\npolite %v\nodd %v", o.name, seed, alone, fair, odd)
				lost += (min(alone.valueShare, fair.valueShare) - odd.valueShare) / 3
				// A crowd moves draws to the right, and what such a client has done makes less of a crowd than a polite one's.
				if least, most := min(alone.leftShare, fair.leftShare), max(alone.leftShare, fair.leftShare); odd.leftShare < least-0.05 || odd.leftShare > most+0.05 {
					t.Errorf("seed %d: %.3f of the draws go left, %.3f beside a polite one, %.3f alone", seed, odd.leftShare, fair.leftShare, alone.leftShare)
				}
			}
			if lost > 0.01 {
				t.Errorf("the others lose %.4f of their value to it", lost)
			}
		})
	}
}
