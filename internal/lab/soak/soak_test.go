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
		p := Draw(seed, 24, 20*second)
		if !reflect.DeepEqual(p, Draw(seed, 24, 20*second)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		for _, f := range p.Faults {
			seen[f.Kind] = true
			if f.From < 0 || f.From > p.Length-healTime+second || f.To > p.Length-healTime || f.Which >= max(p.Nodes, p.Servers) {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	for _, kind := range kinds {
		if !seen[kind] {
			t.Errorf("no plan has %s", kind)
		}
	}
}

// Each rule is named where it is broken, and not where it is just kept.
func TestJudge(t *testing.T) {
	asked := func(change func(*Asked)) []*Asked {
		a := &Asked{ID: "r", At: 10 * second, Deadline: 12 * second, Over: 11 * second, Status: 200, Unsafe: true}
		change(a)
		return []*Asked{a}
	}
	kept := asked(func(*Asked) {})
	arrival := func(at time.Duration, change func(*Arrival)) *Arrival {
		a := &Arrival{ID: "r", Server: 3, At: at, Left: second, Ran: true, Over: at + 1}
		change(a)
		return a
	}
	as := func(*Arrival) {}
	drained := []Drained{{At: 4 * second, Server: 3, Version: 2}}
	for name, c := range map[string]struct {
		facts Facts
		want  string // what the one line begins with; "": none
	}{
		"sound":                    {Facts{Asked: kept, Arrivals: []*Arrival{arrival(10500*time.Millisecond, as)}}, ""},
		"a drain nobody told":      {Facts{Drains: drained, Arrivals: []*Arrival{arrival(10300*time.Millisecond, as)}}, ""},
		"6 s after it":             {Facts{Drains: drained, Arrivals: []*Arrival{arrival(10400*time.Millisecond, as)}}, "drain"},
		"written":                  {Facts{Drains: drained, Written: []Written{{At: 5 * second, Version: 2}}, Arrivals: []*Arrival{arrival(5400*time.Millisecond, as)}}, "drain"},
		"4 s after a move":         {Facts{Drains: drained, Moves: []Moved{{At: 5 * second}}, Arrivals: []*Arrival{arrival(9400*time.Millisecond, as)}}, "drain"},
		"while discovery is down":  {Facts{Drains: drained, Downs: []Span{{From: 3 * second, To: 8 * second}}, Arrivals: []*Arrival{arrival(14300*time.Millisecond, as)}}, ""},
		"6 s after its return":     {Facts{Drains: drained, Downs: []Span{{From: 3 * second, To: 8 * second}}, Arrivals: []*Arrival{arrival(14400*time.Millisecond, as)}}, "drain"},
		"a new process":            {Facts{Drains: drained, Lives: []Life{{From: 5 * second}}, Arrivals: []*Arrival{arrival(11300*time.Millisecond, as)}}, ""},
		"ran twice":                {Facts{Asked: kept, Arrivals: []*Arrival{arrival(10*second, as), arrival(11*second, as)}}, "duplicate"},
		"turned down, then ran":    {Facts{Asked: kept, Arrivals: []*Arrival{arrival(10*second, func(a *Arrival) { a.Ran = false }), arrival(11*second, as)}}, ""},
		"out twice at once":        {Facts{Arrivals: []*Arrival{arrival(10*second, func(a *Arrival) { a.Over = 0 }), arrival(11*second, as)}}, "duplicate"},
		"a late answer":            {Facts{Asked: asked(func(a *Asked) { a.Over = 12700 * time.Millisecond })}, "lost"},
		"forwarded, no answer":     {Facts{Asked: asked(func(a *Asked) { a.Status = 0 }), Arrivals: []*Arrival{arrival(10*second, as)}}, "lost"},
		"unread on a kept one":     {Facts{Asked: asked(func(a *Asked) { a.Status = 0 })}, ""},
		"no answer on a new one":   {Facts{Asked: asked(func(a *Asked) { a.Status, a.Fresh = 0, true })}, "lost"},
		"its node was killed":      {Facts{Asked: asked(func(a *Asked) { a.Status, a.Fresh = 0, true }), Lives: []Life{{Killed: 11 * second}}}, ""},
		"refused without advice":   {Facts{Asked: asked(func(a *Asked) { a.Status = 503 })}, "lost"},
		"sent for one that left":   {Facts{Asked: asked(func(a *Asked) { a.Left = 10 * second }), Arrivals: []*Arrival{arrival(10300*time.Millisecond, as)}}, "lost"},
		"too much time":            {Facts{Asked: kept, Arrivals: []*Arrival{arrival(10*second, func(a *Arrival) { a.Left = 2300 * time.Millisecond })}}, "budget"},
		"what a node complains of": {Facts{Complaint: []string{"n1: invariant broken"}}, "n1"},
	} {
		p := &Played{Plan: Plan{Length: 60 * second}, Facts: &c.facts}
		got := strings.Join(p.Judge(), "; ")
		if (got == "") != (c.want == "") || !strings.HasPrefix(got, c.want) || strings.Contains(got, "; ") {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
	p := &Played{Plan: Plan{Length: 12 * second}, Facts: &Facts{Asked: asked(func(a *Asked) { a.Status, a.Advice = 503, true })}}
	if got := p.Judge(); len(got) != 1 || !strings.HasPrefix(got[0], "service") {
		t.Errorf("nothing served at the end: %q", got)
	}
}
