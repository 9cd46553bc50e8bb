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

// shared is a world with just enough room for a client that sends half as much again as all others, and a machine that is
// silent for a while.
const shared = `scenario "shared" { seed = 5 length_s = 15 }
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

// oddity is what one client does, two hundred times a second, within the protocol.
type oddity struct {
	class  string
	budget time.Duration
	repeat bool
	leaves time.Duration // so long after it has asked; 0: never
}

var oddities = []struct {
	name string
	oddity
}{
	{"floods", oddity{class: "block-view", budget: 800 * time.Millisecond}},
	{"only weigh-ins", oddity{class: "bin-weighin", budget: 800 * time.Millisecond}},
	{"abandons its calls", oddity{class: "block-view", budget: 800 * time.Millisecond, leaves: 10 * time.Millisecond}},
	{"marks all as retries", oddity{class: "block-view", budget: 800 * time.Millisecond, repeat: true}},
	{"shortest budgets", oddity{class: "block-view", budget: 15 * time.Millisecond}},
	{"longest budgets", oddity{class: "bin-weighin", budget: time.Hour}},
}

// noticed is what the others notice of a client, and where the front nodes' attempts went.
type noticed struct {
	worth, late, refused float64
	p95                  time.Duration
	left                 float64 // share of the front nodes' draws that went to the left group
	most                 float64 // the busiest server's draws over the mean
}

func (n noticed) String() string {
	return fmt.Sprintf("worth %.4f, late %.4f, refused %.4f, p95 %v, left %.3f, busiest %.2f",
		n.worth, n.late, n.refused, n.p95.Round(time.Millisecond), n.left, n.most)
}

// besides plays the shared world with such a client, or without one, and tells what the others notice.
func besides(t *testing.T, seed uint64, o *oddity, attacks int) noticed {
	t.Helper()
	s := parsed(t, shared)
	s.Seed = seed
	draws := map[string]int{}
	w, err := New(s, func(name string, set balancer.Settings, seed uint64, truth policies.InFlight) (policies.Decider, error) {
		d, err := policies.New(name, set, seed, truth)
		if set.Tier > 0 {
			return d, err
		}
		return &rogue{d, func(_ time.Duration, _ balancer.Event, out []balancer.Action) []balancer.Action {
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
				r := &clientRequest{done: true} // it is nobody's loss
				c := &call{id: fmt.Sprint("odd", i), class: class, deadline: w.now + o.budget, work: 1, request: r, reply: func(checker.Answer, time.Duration) {}}
				n.accept(c)
				n.handle(balancer.Request{ID: c.id, Class: o.class, Deadline: c.deadline, ClientRetry: o.repeat})
				if o.leaves > 0 {
					w.after(o.leaves, func() { n.clientGone(c.id) })
				}
			})
		}
	}
	got, auditor, err := w.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range auditor.Violations() {
		t.Errorf("seed %d: %v", seed, v)
	}
	f := got.Metrics(0)
	inTime, late, failed, _ := got.Counts()
	n := noticed{worth: f["worth"], refused: f["refusals"], p95: got.Quantile(95),
		late: float64(late) / float64(inTime+late+failed)}
	order, all := slices.Sorted(maps.Keys(draws)), 0
	for i, id := range order {
		all += draws[id]
		if i < (len(order)+1)/2 {
			n.left += float64(draws[id])
		}
		n.most = max(n.most, float64(draws[id]*len(order)))
	}
	n.left, n.most = n.left/float64(all), n.most/float64(all)
	return n
}

// What one client does within the protocol costs the others no more than the same work asked for in good manners does.
func TestOthersBesideOneThatMisbehaves(t *testing.T) {
	polite := oddity{class: "block-view", budget: 800 * time.Millisecond}
	for _, o := range oddities {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			lost := 0.0
			for seed := range uint64(3) {
				alone, fair, odd := besides(t, seed, nil, 0), besides(t, seed, &polite, 2600), besides(t, seed, &o.oddity, 2600)
				t.Logf("%s, seed %d:\nalone %v\npolite %v\nodd %v", o.name, seed, alone, fair, odd)
				lost += (min(alone.worth, fair.worth) - odd.worth) / 3
				// A crowd moves draws to the right, and what such a client has done makes less of a crowd than a polite one's.
				if least, most := min(alone.left, fair.left), max(alone.left, fair.left); odd.left < least-0.05 || odd.left > most+0.05 {
					t.Errorf("seed %d: %.3f of the draws go left, %.3f beside a polite one, %.3f alone", seed, odd.left, fair.left, alone.left)
				}
			}
			if lost > 0.01 {
				t.Errorf("the others lose %.4f of their worth to it", lost)
			}
		})
	}
}
