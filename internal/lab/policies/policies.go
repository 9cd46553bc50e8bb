// Package policies has what the lab measures the decision module against: small reference policies behind the
// module's own interface, events in and actions out. They choose a box by a textbook rule and keep the rules on
// further attempts, refusals and drains; they know nothing of health, cold boxes or crowds.
package policies

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Decider is the decision module, or what stands in for it.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Truth is the number of requests that a box truly holds: an oracle's.
type Truth func(box string) int

// New returns the policy of a name. Truth is for the oracle alone.
func New(name string, set balancer.Settings, seed uint64, truth Truth) (Decider, error) {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b9))
	p := &plain{set: set, rng: rng, boxes: map[string]*box{}, open: map[string]*request{}}
	switch name {
	case "deckrelay":
		return balancer.New(set, seed)
	case "random":
		p.choose = func(list []*box) *box { return list[rng.IntN(len(list))] }
	case "round-robin":
		next := rng.IntN(1 << 20)
		p.choose = func(list []*box) *box {
			next++
			return list[next%len(list)]
		}
	case "least-of-two":
		p.choose = func(list []*box) *box {
			i := rng.IntN(len(list))
			j := (i + 1 + rng.IntN(max(1, len(list)-1))) % len(list)
			if list[j].calls < list[i].calls {
				return list[j]
			}
			return list[i]
		}
	case "two-random":
		p.choose = func(list []*box) *box {
			v, w := list[rng.IntN(len(list))], list[rng.IntN(len(list))]
			if w.calls < v.calls || w.calls == v.calls && rng.IntN(2) == 0 {
				return w
			}
			return v
		}
	case "two-left":
		p.choose = func(list []*box) *box { return twoLeft(rng, list, 0.5) }
	case "oracle":
		if truth == nil {
			return nil, fmt.Errorf("policy oracle needs to see the boxes")
		}
		p.choose = func(list []*box) *box { return shortest(rng, list, truth) }
	default:
		return nil, fmt.Errorf("unknown policy %q", name)
	}
	return p, nil
}

// twoLeft is the paper's: one draw from the left share of the list and one from the rest, ties go left.
func twoLeft(rng *rand.Rand, list []*box, alpha float64) *box {
	cut := int(math.Round(alpha * float64(len(list))))
	if cut == 0 || cut == len(list) {
		return list[rng.IntN(len(list))]
	}
	l, r := list[rng.IntN(cut)], list[cut+rng.IntN(len(list)-cut)]
	if r.calls < l.calls {
		return r
	}
	return l
}

// shortest joins the shortest true queue, any of several.
func shortest(rng *rand.Rand, list []*box, truth Truth) (best *box) {
	least, ties := math.MaxInt, 0
	for _, b := range list {
		held := truth(b.ID)
		switch {
		case held < least:
			best, least, ties = b, held, 1
		case held == least:
			if ties++; rng.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

// plain is a policy that differs from others in its choice alone.
type plain struct {
	set    balancer.Settings
	rng    *rand.Rand
	choose func([]*box) *box
	boxes  map[string]*box
	ready  []*box // by id
	open   map[string]*request
	fails  int
	out    []balancer.Action
}

type box struct {
	balancer.Server
	calls int
}

type request struct {
	class    balancer.Class
	deadline time.Duration
	tried    []*box
	mayRun   bool
	out      int
	answered bool
}

func (p *plain) do(a balancer.Action) { p.out = append(p.out, a) }

// Handle takes one event.
func (p *plain) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	p.out = nil
	switch e := e.(type) {
	case balancer.EndpointUpdate:
		p.takeList(e)
	case balancer.WatchFailed:
		p.fails = min(p.fails+1, 4)
		wait := float64(p.set.MaxPollInterval) / 64 * float64(int(1)<<p.fails) * (0.5 + p.rng.Float64()/2)
		p.do(balancer.SetTimer{At: now + time.Duration(wait) + 1, Token: "list"})
	case balancer.TimerFired:
		p.do(balancer.Subscribe{})
	case balancer.Request:
		p.accept(now, e)
	case balancer.AttemptEnded:
		p.outcome(now, e)
	case balancer.ClientGone:
		if r := p.open[e.ID]; r != nil {
			r.answered = true
			p.forget(e.ID, r)
		}
	}
	return p.out
}

func (p *plain) takeList(e balancer.EndpointUpdate) {
	if e.Complete {
		clear(p.boxes) // calls that are out keep the box that they went to
		old := p.ready
		for _, b := range old {
			p.boxes[b.ID] = b
			b.State = balancer.Removed
		}
	}
	for _, s := range e.Servers {
		if b := p.boxes[s.ID]; b != nil && b.StartTime == s.StartTime {
			b.Server = s
		} else {
			p.boxes[s.ID] = &box{Server: s}
		}
	}
	p.ready = nil
	for id, b := range p.boxes {
		switch b.State {
		case balancer.Ready:
			p.ready = append(p.ready, b)
		case balancer.Removed:
			delete(p.boxes, id)
		}
	}
	slices.SortFunc(p.ready, func(a, b *box) int { return strings.Compare(a.ID, b.ID) })
	if e.Cached && p.set.PollDiscovery {
		p.do(balancer.Subscribe{})
	} else {
		p.fails = 0
	}
}

func (p *plain) accept(now time.Duration, e balancer.Request) {
	if p.open[e.ID] != nil {
		return
	}
	r := &request{deadline: e.Deadline}
	for _, c := range p.set.Classes {
		if c.Name == e.Class {
			r.class = c
		}
	}
	p.open[e.ID] = r
	p.next(now, e.ID, r)
}

// next sends a request, or gives its final answer.
func (p *plain) next(now time.Duration, id string, r *request) {
	free := slices.DeleteFunc(slices.Clone(p.ready), func(b *box) bool { return slices.Contains(r.tried, b) })
	if len(free) == 0 || len(r.tried) >= max(1, p.set.MaxAttempts) || r.mayRun && r.class.Effect != balancer.Idempotent || now >= r.deadline {
		r.answered = true
		if r.mayRun && r.class.Effect != balancer.Idempotent {
			p.do(balancer.Fail{ID: id})
		} else {
			p.do(balancer.Reject{ID: id})
		}
		p.forget(id, r)
		return
	}
	b := p.choose(free)
	b.calls++
	r.tried = append(r.tried, b)
	r.out++
	p.do(balancer.Send{ID: id, Server: b.ID, Timeout: r.deadline - now})
}

func (p *plain) outcome(now time.Duration, e balancer.AttemptEnded) {
	r := p.open[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.tried) {
		return
	}
	r.tried[e.Attempt].calls--
	r.out--
	if e.Outcome != balancer.Overloaded && e.Outcome != balancer.Unreachable && e.Outcome != balancer.NotSent {
		r.mayRun = true
	}
	if e.RequestDone {
		r.answered = true
	}
	if !r.answered && r.out == 0 {
		p.next(now, e.ID, r)
		return
	}
	p.forget(e.ID, r)
}

func (p *plain) forget(id string, r *request) {
	if r.answered && r.out == 0 {
		delete(p.open, id)
	}
}
