package soak

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const second = time.Second

// The same seed gives the same plan, all faults are over in time, and the plans of many seeds have every kind.
func TestPlans(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		if !reflect.DeepEqual(p, DrawPlan(seed, 24, 20*second)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		for _, f := range p.Faults {
			seen[f.Kind] = true
			if f.From < 0 || f.From > p.Length-recoveryTime+second || f.To > p.Length-recoveryTime || f.Target >= max(p.Nodes, p.Servers) {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	for _, kind := range weightedKinds {
		if !seen[kind] {
			t.Errorf("no plan has %s", kind)
		}
	}
}

// Each rule is named where it is broken, and not where it is just kept.
func TestJudge(t *testing.T) {
	asked := func(change func(*Request)) []*Request {
		a := &Request{ID: "r", At: 10 * second, Deadline: 12 * second, Finished: 11 * second, Status: 200, NonIdempotent: true}
		change(a)
		return []*Request{a}
	}
	kept := asked(func(*Request) {})
	arrival := func(at time.Duration, change func(*Attempt)) *Attempt {
		a := &Attempt{ID: "r", Server: 3, At: at, Budget: second, Executed: true, Finished: at + 1}
		change(a)
		return a
	}
	as := func(*Attempt) {}
	drained := []DrainStart{{At: 4 * second, Server: 3, Version: 2}}
	for name, c := range map[string]struct {
		facts Observations
		want  string // what the one line begins with; "": none
	}{
		"sound":                    {Observations{Requests: kept, Attempts: []*Attempt{arrival(10500*time.Millisecond, as)}}, ""},
		"a drain nobody told":      {Observations{Drains: drained, Attempts: []*Attempt{arrival(10300*time.Millisecond, as)}}, ""},
		"6 s after it":             {Observations{Drains: drained, Attempts: []*Attempt{arrival(10400*time.Millisecond, as)}}, "drain"},
		"written":                  {Observations{Drains: drained, Deliveries: []Delivery{{At: 5 * second, Version: 2}}, Attempts: []*Attempt{arrival(5400*time.Millisecond, as)}}, "drain"},
		"4 s after a move":         {Observations{Drains: drained, AddressChanges: []AddressChange{{At: 5 * second}}, Attempts: []*Attempt{arrival(9400*time.Millisecond, as)}}, "drain"},
		"while discovery is down":  {Observations{Drains: drained, Outages: []Span{{From: 3 * second, To: 8 * second}}, Attempts: []*Attempt{arrival(14300*time.Millisecond, as)}}, ""},
		"6 s after its return":     {Observations{Drains: drained, Outages: []Span{{From: 3 * second, To: 8 * second}}, Attempts: []*Attempt{arrival(14400*time.Millisecond, as)}}, "drain"},
		"a new process":            {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 5 * second}}, Attempts: []*Attempt{arrival(11300*time.Millisecond, as)}}, ""},
		"ran twice":                {Observations{Requests: kept, Attempts: []*Attempt{arrival(10*second, as), arrival(11*second, as)}}, "duplicate"},
		"turned down, then ran":    {Observations{Requests: kept, Attempts: []*Attempt{arrival(10*second, func(a *Attempt) { a.Executed = false }), arrival(11*second, as)}}, ""},
		"out twice at once":        {Observations{Attempts: []*Attempt{arrival(10*second, func(a *Attempt) { a.Finished = 0 }), arrival(11*second, as)}}, "duplicate"},
		"a late answer":            {Observations{Requests: asked(func(a *Request) { a.Finished = 12700 * time.Millisecond })}, "lost"},
		"forwarded, no answer":     {Observations{Requests: asked(func(a *Request) { a.Status = 0 }), Attempts: []*Attempt{arrival(10*second, as)}}, "lost"},
		"unread on a kept one":     {Observations{Requests: asked(func(a *Request) { a.Status = 0 })}, ""},
		"no answer on a new one":   {Observations{Requests: asked(func(a *Request) { a.Status, a.NewConnection = 0, true })}, "lost"},
		"its node was killed":      {Observations{Requests: asked(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 11 * second}}}, ""},
		"refused without advice":   {Observations{Requests: asked(func(a *Request) { a.Status = 503 })}, "lost"},
		"sent for one that left":   {Observations{Requests: asked(func(a *Request) { a.ClientGone = 10 * second }), Attempts: []*Attempt{arrival(10300*time.Millisecond, as)}}, "lost"},
		"too much time":            {Observations{Requests: kept, Attempts: []*Attempt{arrival(10*second, func(a *Attempt) { a.Budget = 2300 * time.Millisecond })}}, "budget"},
		"what a node complains of": {Observations{Complaints: []string{"n1: invariant broken"}}, "n1"},
	} {
		p := &Result{Plan: Plan{Length: 60 * second}, Observations: &c.facts}
		got := strings.Join(p.Violations(), "; ")
		if (got == "") != (c.want == "") || !strings.HasPrefix(got, c.want) || strings.Contains(got, "; ") {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
	p := &Result{Plan: Plan{Length: 12 * second}, Observations: &Observations{Requests: asked(func(a *Request) { a.Status, a.RetryAfter = 503, true })}}
	if got := p.Violations(); len(got) != 1 || !strings.HasPrefix(got[0], "service") {
		t.Errorf("nothing served at the end: %q", got)
	}
}
