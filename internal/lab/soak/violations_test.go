package soak

import (
	"strings"
	"testing"
	"time"
)

// second is short for the tables below.
const second = time.Second

// A check that misses a broken rule makes every soak pass, and one that is too strict hides faults in noise: each rule is
// named where it is broken by the least amount, and not where it is just kept.
func TestViolations(t *testing.T) {
	requests := func(change func(*Request)) []*Request {
		a := &Request{ID: "r", At: 10 * second, Deadline: 12 * second, Finished: 11 * second, Status: 200, NonIdempotent: true}
		change(a)
		return []*Request{a}
	}
	refuse := func(a *Request) { a.Status, a.NewConnection, a.ConnectionRefused = 0, true, true }
	restarted := func(at time.Duration) []Incarnation {
		return []Incarnation{{Ready: second, Terminated: at, Killed: at + killDelay, Exited: at + killDelay}}
	}
	answered := requests(func(*Request) {})
	attempt := func(at time.Duration, change func(*Attempt)) *Attempt {
		a := &Attempt{ID: "r", Server: 3, HeadRead: at, At: at, Budget: second, Executed: true, Finished: at + 1}
		change(a)
		return a
	}
	unchanged := func(*Attempt) {}
	drained := []DrainStart{{At: 4 * second, Server: 3, Version: 2}}
	for name, c := range map[string]struct {
		observations Observations
		want         string // what the one line begins with; "": none
	}{
		"no fault":                       {Observations{Requests: answered, Attempts: []*Attempt{attempt(10500*time.Millisecond, unchanged)}}, ""},
		"a drain before its deadline":    {Observations{Drains: drained, Attempts: []*Attempt{attempt(10300*time.Millisecond, unchanged)}}, ""},
		"a drain after its deadline":     {Observations{Drains: drained, Attempts: []*Attempt{attempt(10400*time.Millisecond, unchanged)}}, "drain"},
		"after a delivered list":         {Observations{Drains: drained, Deliveries: []Delivery{{At: 5 * second, Version: 2}}, Attempts: []*Attempt{attempt(5400*time.Millisecond, unchanged)}}, "drain"},
		"4 s after a change of address":  {Observations{Drains: drained, AddressChanges: []AddressChange{{At: 5 * second}}, Attempts: []*Attempt{attempt(9400*time.Millisecond, unchanged)}}, "drain"},
		"while discovery is unreachable": {Observations{Drains: drained, Outages: []Span{{From: 3 * second, To: 8 * second}}, Attempts: []*Attempt{attempt(14300*time.Millisecond, unchanged)}}, ""},
		"6 s after its return":           {Observations{Drains: drained, Outages: []Span{{From: 3 * second, To: 8 * second}}, Attempts: []*Attempt{attempt(14400*time.Millisecond, unchanged)}}, "drain"},
		"a new process":                  {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 8 * second}}, Attempts: []*Attempt{attempt(11300*time.Millisecond, unchanged)}}, ""},
		"a new process, later":           {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 8 * second}}, Attempts: []*Attempt{attempt(11400*time.Millisecond, unchanged)}}, "drain"},
		"a restart puts nothing off":     {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 5 * second}}, Attempts: []*Attempt{attempt(10400*time.Millisecond, unchanged)}}, "drain"},
		"executed twice":                 {Observations{Requests: answered, Attempts: []*Attempt{attempt(10*second, unchanged), attempt(11*second, unchanged)}}, "duplicate"},
		"rejected, then executed":        {Observations{Requests: answered, Attempts: []*Attempt{attempt(10*second, func(a *Attempt) { a.Executed = false }), attempt(11*second, unchanged)}}, ""},
		"out twice at once":              {Observations{Attempts: []*Attempt{attempt(10*second, func(a *Attempt) { a.Finished = 0 }), attempt(11*second, unchanged)}}, "duplicate"},
		"an answer after the deadline":   {Observations{Requests: requests(func(a *Request) { a.Finished = 12700 * time.Millisecond })}, "lost"},
		"forwarded, no answer":           {Observations{Requests: requests(func(a *Request) { a.Status = 0 }), Attempts: []*Attempt{attempt(10*second, unchanged)}}, "lost"},
		"not read on a kept connection":  {Observations{Requests: requests(func(a *Request) { a.Status, a.Unread = 0, true })}, ""},
		"read on a kept connection":      {Observations{Requests: requests(func(a *Request) { a.Status = 0 })}, "lost"},
		"no answer on a new connection":  {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true })}, "lost"},
		"its node was killed":            {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 11 * second}}}, ""},
		"its killed node still accepts":  {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 9990 * time.Millisecond, Exited: 10010 * time.Millisecond}}}, ""},
		"its node was dead before":       {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 9 * second, Exited: 9990 * time.Millisecond}}}, "lost"},
		"not read on a new connection":   {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection, a.Unread = 0, true, true })}, "lost"},
		"the same in a crowd":            {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection, a.Unread = 0, true, true }), Floods: []FloodSpan{{From: 9 * second, To: 13 * second}}}, ""},
		"read in a crowd":                {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Floods: []FloodSpan{{From: 9 * second, To: 13 * second}}}, "lost"},
		"refused by a node in service":   {Observations{Requests: requests(refuse), Incarnations: []Incarnation{{Ready: second}}}, "lost"},
		"refused by a node that ends":    {Observations{Requests: requests(refuse), Incarnations: []Incarnation{{Ready: second, Terminated: 10 * second}}}, ""},
		"refused just after SIGTERM":     {Observations{Requests: requests(func(a *Request) { refuse(a); a.Finished = a.At }), Incarnations: []Incarnation{{Ready: second, Terminated: 9800 * time.Millisecond}}}, "lost"},
		"refused before it is ready":     {Observations{Requests: requests(refuse), Incarnations: []Incarnation{{Ready: second, Killed: 9 * second, Exited: 9 * second}, {Started: 9 * second}}}, ""},
		"read 0.7 s after SIGTERM":       {Observations{Requests: requests(func(a *Request) { a.Status, a.Finished = 0, 12*second }), Incarnations: restarted(9300 * time.Millisecond)}, "lost"},
		"read later, and killed":         {Observations{Requests: requests(func(a *Request) { a.Status, a.Finished = 0, 12*second }), Incarnations: restarted(9299 * time.Millisecond)}, ""},
		"read later, the node exits":     {Observations{Requests: requests(func(a *Request) { a.Status = 0 }), Incarnations: []Incarnation{{Ready: second, Terminated: 9 * second, Exited: 11 * second}}}, "lost"},
		"not read, and killed":           {Observations{Requests: requests(func(a *Request) { a.Status, a.Unread, a.Finished = 0, true, 12*second }), Incarnations: restarted(9300 * time.Millisecond)}, ""},
		"a restart without an end":       {Observations{Incarnations: []Incarnation{{Terminated: second, Killed: 5 * second, Exited: 5 * second}}}, "restart"},
		"rejected without Retry-After":   {Observations{Requests: requests(func(a *Request) { a.Status = 503 })}, "lost"},
		"sent after the client was gone": {Observations{Requests: requests(func(a *Request) { a.ClientGone = 10 * second }), Attempts: []*Attempt{attempt(10300*time.Millisecond, unchanged)}}, "lost"},
		"another one's answer":           {Observations{Requests: requests(func(a *Request) { a.WrongBody = `"ok r-7"` })}, "lost"},
		"a late second answer":           {Observations{Requests: requests(func(a *Request) { a.WrongBody, a.SecondAnswerOf = `"second r-7"`, "r-7" }), SecondAnswers: map[string]time.Duration{"r-7": detectableSecondAnswerDelay + 1}}, ""},
		"a second answer not so late":    {Observations{Requests: requests(func(a *Request) { a.WrongBody, a.SecondAnswerOf = `"second r-7"`, "r-7" }), SecondAnswers: map[string]time.Duration{"r-7": detectableSecondAnswerDelay}}, "lost"},
		"astray behind a late second":    {Observations{Requests: requests(func(a *Request) { a.WrongBody = `"ok r-7"` }), SecondAnswers: map[string]time.Duration{"r-7": second, "r": second}}, "lost"},
		"too large a budget":             {Observations{Requests: answered, Attempts: []*Attempt{attempt(10*second, func(a *Attempt) { a.Budget = 2300 * time.Millisecond })}}, "budget"},
		"a broken invariant of a node":   {Observations{NodeErrors: []string{"n1: invariant broken"}}, "n1"},
	} {
		t.Run(name, func(t *testing.T) {
			result := &Result{Plan: Plan{Length: 60 * second}, Observations: &c.observations}
			got := strings.Join(result.Violations(), "; ")
			if (got == "") != (c.want == "") || !strings.HasPrefix(got, c.want) || strings.Contains(got, "; ") {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// Nodes that answer everything with a rejection break no rule on single requests: that they serve again is checked apart.
func TestMissingRecoveryIsAViolation(t *testing.T) {
	rejected := &Request{ID: "r", At: 10 * second, Deadline: 12 * second, Finished: 11 * second, Status: 503, RetryAfter: true, NonIdempotent: true}
	result := &Result{Plan: Plan{Length: 12 * second}, Observations: &Observations{Requests: []*Request{rejected}}}
	if got := result.Violations(); len(got) != 1 || !strings.HasPrefix(got[0], "service") {
		t.Errorf("nothing served at the end: %q", got)
	}
}

// A late rig and a late node look the same in a budget: how long the rig was stalled tells them apart.
func TestStalledIn(t *testing.T) {
	o := &Observations{Stalls: []Span{{From: second, To: 2 * second}, {From: 3 * second, To: 5 * second}}}
	for _, c := range []struct{ from, to, want time.Duration }{
		{0, second, 0},
		{0, 10 * second, 3 * second},
		{1500 * time.Millisecond, 4 * second, 1500 * time.Millisecond},
		{2 * second, 3 * second, 0},
	} {
		if got := o.stalledIn(c.from, c.to); got != c.want {
			t.Errorf("stalled for %v from %v to %v, want %v", got, c.from, c.to, c.want)
		}
	}
}
