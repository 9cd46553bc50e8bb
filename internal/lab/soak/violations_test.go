package soak

import (
	"strings"
	"testing"
	"time"
)

// second abbreviates time.Second in the tables of these tests.
const second = time.Second

// A check that misses violations makes every soak pass, and one that is too strict hides faults among false reports. Each
// rule is reported if it is broken by the smallest amount, and not if it is just kept.
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
		want         string // prefix of the only violation; "" for none
	}{
		"no violation":                   {Observations{Requests: answered, Attempts: []*Attempt{attempt(10500*time.Millisecond, unchanged)}}, ""},
		"sent before the drain deadline": {Observations{Drains: drained, Attempts: []*Attempt{attempt(10300*time.Millisecond, unchanged)}}, ""},
		"sent after the drain deadline":  {Observations{Drains: drained, Attempts: []*Attempt{attempt(10400*time.Millisecond, unchanged)}}, "drain"},
		"sent after a delivered list":    {Observations{Drains: drained, Deliveries: []Delivery{{At: 5 * second, Version: 2}}, Attempts: []*Attempt{attempt(5400*time.Millisecond, unchanged)}}, "drain"},
		"4 s after a change of address":  {Observations{Drains: drained, AddressChanges: []AddressChange{{At: 5 * second}}, Attempts: []*Attempt{attempt(9400*time.Millisecond, unchanged)}}, "drain"},
		"while discovery is unreachable": {Observations{Drains: drained, Outages: []Span{{From: 3 * second, To: 8 * second}}, Attempts: []*Attempt{attempt(14300*time.Millisecond, unchanged)}}, ""},
		"6 s after an outage":            {Observations{Drains: drained, Outages: []Span{{From: 3 * second, To: 8 * second}}, Attempts: []*Attempt{attempt(14400*time.Millisecond, unchanged)}}, "drain"},
		"started after the deadline":     {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 10*second + 300*time.Millisecond}}, Attempts: []*Attempt{attempt(10400*time.Millisecond, unchanged)}}, "drain"},
		"started in time":                {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 8 * second}}, Attempts: []*Attempt{attempt(10300*time.Millisecond, unchanged)}}, ""},
		"a restart extends no deadline":  {Observations{Drains: drained, Incarnations: []Incarnation{{Started: 5 * second}}, Attempts: []*Attempt{attempt(10400*time.Millisecond, unchanged)}}, "drain"},
		"executed twice":                 {Observations{Requests: answered, Attempts: []*Attempt{attempt(10*second, unchanged), attempt(11*second, unchanged)}}, "duplicate"},
		"rejected, then executed":        {Observations{Requests: answered, Attempts: []*Attempt{attempt(10*second, func(a *Attempt) { a.Executed = false }), attempt(11*second, unchanged)}}, ""},
		"two attempts in flight":         {Observations{Attempts: []*Attempt{attempt(10*second, func(a *Attempt) { a.Finished = 0 }), attempt(11*second, unchanged)}}, "duplicate"},
		"an answer after the deadline":   {Observations{Requests: requests(func(a *Request) { a.Finished = 12700 * time.Millisecond })}, "lost"},
		"long, begun in time":            {Observations{Requests: requests(func(a *Request) { a.LongAnswer, a.FirstByte, a.Finished = true, 12600*time.Millisecond, 20*second })}, ""},
		"long, begun late":               {Observations{Requests: requests(func(a *Request) { a.LongAnswer, a.FirstByte, a.Finished = true, 12700*time.Millisecond, 20*second })}, "lost"},
		"long, cut off":                  {Observations{LongAnswers: map[string]bool{"r": true}, Requests: requests(func(a *Request) { a.Status, a.FirstByte = 0, 11*second })}, "lost"},
		"long, cut off by the kill":      {Observations{LongAnswers: map[string]bool{"r": true}, Requests: requests(func(a *Request) { a.Status, a.FirstByte, a.NewConnection = 0, 10500*time.Millisecond, true }), Incarnations: restarted(8 * second)}, ""},
		"short, cut off by the kill": {Observations{Requests: requests(func(a *Request) {
			a.Status, a.FirstByte, a.NewConnection, a.Written = 0, 10500*time.Millisecond, true, 8*second
		}), Incarnations: restarted(8 * second)}, "lost"},
		"a slow body, not accepted":      {Observations{Requests: requests(func(a *Request) { a.Upload, a.Status = true, 400 })}, "lost"},
		"a long body, late":              {Observations{Requests: requests(func(a *Request) { a.Upload, a.Written, a.Finished = true, 10*second, 12700*time.Millisecond })}, "lost"},
		"answered before its last byte":  {Observations{Requests: requests(func(a *Request) { a.Upload, a.Finished = true, 19*second })}, ""},
		"forwarded, no answer":           {Observations{Requests: requests(func(a *Request) { a.Status = 0 }), Attempts: []*Attempt{attempt(10*second, unchanged)}}, "lost"},
		"unread on a reused connection":  {Observations{Requests: requests(func(a *Request) { a.Status, a.Unread = 0, true })}, ""},
		"read on a reused connection":    {Observations{Requests: requests(func(a *Request) { a.Status = 0 })}, "lost"},
		"no answer on a new connection":  {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true })}, "lost"},
		"its node was killed":            {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 11 * second}}}, ""},
		"its killed node still accepted": {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 9990 * time.Millisecond, Exited: 10010 * time.Millisecond}}}, ""},
		"its node had exited before":     {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Incarnations: []Incarnation{{Killed: 9 * second, Exited: 9990 * time.Millisecond}}}, "lost"},
		"unread on a new connection":     {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection, a.Unread = 0, true, true })}, "lost"},
		"unread in a connection flood":   {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection, a.Unread = 0, true, true }), Floods: []FloodSpan{{From: 9 * second, To: 13 * second}}}, ""},
		"read in a connection flood":     {Observations{Requests: requests(func(a *Request) { a.Status, a.NewConnection = 0, true }), Floods: []FloodSpan{{From: 9 * second, To: 13 * second}}}, "lost"},
		"refused by a node in service":   {Observations{Requests: requests(refuse), Incarnations: []Incarnation{{Ready: second}}}, "lost"},
		"refused by a terminating node":  {Observations{Requests: requests(refuse), Incarnations: []Incarnation{{Ready: second, Terminated: 10 * second}}}, ""},
		"refused just after SIGTERM":     {Observations{Requests: requests(func(a *Request) { refuse(a); a.Finished = a.At }), Incarnations: []Incarnation{{Ready: second, Terminated: 9800 * time.Millisecond}}}, "lost"},
		"refused before it is ready":     {Observations{Requests: requests(refuse), Incarnations: []Incarnation{{Ready: second, Killed: 9 * second, Exited: 9 * second}, {Started: 9 * second}}}, ""},
		"read 0.7 s after SIGTERM":       {Observations{Requests: requests(func(a *Request) { a.Status, a.Finished = 0, 12*second }), Incarnations: restarted(9300 * time.Millisecond)}, "lost"},
		"read later, and killed":         {Observations{Requests: requests(func(a *Request) { a.Status, a.Finished = 0, 12*second }), Incarnations: restarted(9299 * time.Millisecond)}, ""},
		"read later, and the node exits": {Observations{Requests: requests(func(a *Request) { a.Status = 0 }), Incarnations: []Incarnation{{Ready: second, Terminated: 9 * second, Exited: 11 * second}}}, "lost"},
		"unread, and killed":             {Observations{Requests: requests(func(a *Request) { a.Status, a.Unread, a.Finished = 0, true, 12*second }), Incarnations: restarted(9300 * time.Millisecond)}, ""},
		"a restart that takes too long":  {Observations{Incarnations: []Incarnation{{Terminated: second, Killed: 5 * second, Exited: 5 * second}}}, "restart"},
		"rejected without Retry-After":   {Observations{Requests: requests(func(a *Request) { a.Status = 503 })}, "lost"},
		"sent after the client was gone": {Observations{Requests: requests(func(a *Request) { a.ClientGone = 10 * second }), Attempts: []*Attempt{attempt(10300*time.Millisecond, unchanged)}}, "lost"},
		"the answer to another request":  {Observations{Requests: requests(func(a *Request) { a.WrongBody = `"ok r-7"` })}, "lost"},
		"a late second answer":           {Observations{Requests: requests(func(a *Request) { a.WrongBody, a.SecondAnswerOf = `"second r-7"`, "r-7" }), SecondAnswers: map[string]time.Duration{"r-7": detectableSecondAnswerDelay + 1}}, ""},
		"a detectable second answer":     {Observations{Requests: requests(func(a *Request) { a.WrongBody, a.SecondAnswerOf = `"second r-7"`, "r-7" }), SecondAnswers: map[string]time.Duration{"r-7": detectableSecondAnswerDelay}}, "lost"},
		"misplaced after a late second":  {Observations{Requests: requests(func(a *Request) { a.WrongBody = `"ok r-7"` }), SecondAnswers: map[string]time.Duration{"r-7": second, "r": second}}, "lost"},
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

// Nodes that reject every request break no rule about a single request. A separate rule requires that they serve after all
// faults.
func TestMissingRecoveryIsAViolation(t *testing.T) {
	rejected := &Request{ID: "r", At: 10 * second, Deadline: 12 * second, Finished: 11 * second, Status: 503, RetryAfter: true, NonIdempotent: true}
	result := &Result{Plan: Plan{Length: 12 * second}, Observations: &Observations{Requests: []*Request{rejected}}}
	if got := result.Violations(); len(got) != 1 || !strings.HasPrefix(got[0], "service") {
		t.Errorf("violations of nodes that reject everything: %q, want one that begins with service", got)
	}
}

// A late soak process and a late node have the same effect on a budget. The duration of the stalls distinguishes them.
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

// Where lists are pushed, a node without a watch counts as notified at once, also if it has just started. A watch that has
// fallen silent has until the notification deadline, and a node whose discovery has moved the deadline after a change.
func TestPushedAt(t *testing.T) {
	const drain = 10 * time.Second
	for name, c := range map[string]struct {
		observed Observations
		want     time.Duration
	}{
		"no watch":               {Observations{}, drain},
		"watch of another node":  {Observations{Watches: []*Watch{{Node: 1, From: 0}}}, drain},
		"watch ended before":     {Observations{Watches: []*Watch{{From: 0, To: 9 * time.Second}}}, drain},
		"watch ends":             {Observations{Watches: []*Watch{{From: 0, To: 11 * time.Second}}}, 11 * time.Second},
		"watch silent":           {Observations{Watches: []*Watch{{From: 0, SilentAt: 8 * time.Second}}}, 14 * time.Second},
		"watch silent, and ends": {Observations{Watches: []*Watch{{From: 0, To: 11 * time.Second, SilentAt: 8 * time.Second}}}, 11 * time.Second},
		"outage":                 {Observations{Outages: []Span{{From: 9 * time.Second, To: 12 * time.Second}}}, 12 * time.Second},
		"watch ends with an outage": {Observations{Watches: []*Watch{{From: 0, To: 11 * time.Second}},
			Outages: []Span{{From: 11 * time.Second, To: 13 * time.Second}}}, 13 * time.Second},
		"address changed before": {Observations{AddressChanges: []AddressChange{{At: 9 * time.Second}}}, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := pushedAt(&c.observed, drain, 0); got != c.want {
				t.Errorf("notified at %v, want %v", got, c.want)
			}
		})
	}
}
