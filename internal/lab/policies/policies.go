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

// InFlight is the number of requests that a box truly holds: an oracle's.
type InFlight func(box string) int

// New returns the policy of a name. Truth is for the oracle alone.
func New(name string, set balancer.Settings, seed uint64, truth InFlight) (Decider, error) {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b9))
	p := &reference{set: set, rng: rng, endpoints: map[string]*endpoint{}, open: map[string]*request{}}
	switch name {
	case "deckrelay":
		return balancer.New(set, seed)
	case "random":
		p.choose = func(list []*endpoint) *endpoint { return list[rng.IntN(len(list))] }
	case "round-robin":
		next := rng.IntN(1 << 20)
		p.choose = func(list []*endpoint) *endpoint {
			next++
			return list[next%len(list)]
		}
	case "least-of-two":
		p.choose = func(list []*endpoint) *endpoint {
			i := rng.IntN(len(list))
			j := (i + 1 + rng.IntN(max(1, len(list)-1))) % len(list)
			if list[j].inFlight < list[i].inFlight {
				return list[j]
			}
			return list[i]
		}
	case "two-random":
		p.choose = func(list []*endpoint) *endpoint {
			v, w := list[rng.IntN(len(list))], list[rng.IntN(len(list))]
			if w.inFlight < v.inFlight || w.inFlight == v.inFlight && rng.IntN(2) == 0 {
				return w
			}
			return v
		}
	case "two-left":
		p.choose = func(list []*endpoint) *endpoint { return twoLeft(rng, list, 0.5) }
	case "oracle":
		if truth == nil {
			return nil, fmt.Errorf("policy oracle needs to see the boxes")
		}
		p.choose = func(list []*endpoint) *endpoint { return shortestQueue(rng, list, truth) }
	default:
		return nil, fmt.Errorf("unknown policy %q", name)
	}
	return p, nil
}

// twoLeft is the paper's: one draw from the left share of the list and one from the rest, ties go left.
func twoLeft(rng *rand.Rand, list []*endpoint, alpha float64) *endpoint {
	cut := int(math.Round(alpha * float64(len(list))))
	if cut == 0 || cut == len(list) {
		return list[rng.IntN(len(list))]
	}
	l, r := list[rng.IntN(cut)], list[cut+rng.IntN(len(list)-cut)]
	if r.inFlight < l.inFlight {
		return r
	}
	return l
}

// shortestQueue joins the shortest true queue, any of several.
func shortestQueue(rng *rand.Rand, list []*endpoint, truth InFlight) (best *endpoint) {
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

// reference is a policy that differs from others in its choice alone.
type reference struct {
	set          balancer.Settings
	rng          *rand.Rand
	choose       func([]*endpoint) *endpoint
	endpoints    map[string]*endpoint
	ready        []*endpoint // by id
	open         map[string]*request
	pollFailures int
	actions      []balancer.Action
}

type endpoint struct {
	balancer.Server
	inFlight int
}

type request struct {
	class       balancer.Class
	deadline    time.Duration
	attempts    []*endpoint
	mayHaveRun  bool
	attemptsOut int
	answered    bool
}

func (p *reference) emit(a balancer.Action) { p.actions = append(p.actions, a) }

// Handle takes one event.
func (p *reference) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	p.actions = nil
	switch e := e.(type) {
	case balancer.EndpointUpdate:
		p.applyUpdate(e)
	case balancer.WatchFailed:
		p.pollFailures = min(p.pollFailures+1, 4)
		wait := float64(p.set.MaxPollInterval) / 64 * float64(int(1)<<p.pollFailures) * (0.5 + p.rng.Float64()/2)
		p.emit(balancer.SetTimer{At: now + time.Duration(wait) + 1, Token: "list"})
	case balancer.TimerFired:
		p.emit(balancer.Subscribe{})
	case balancer.Request:
		p.admit(now, e)
	case balancer.AttemptEnded:
		p.attemptEnded(now, e)
	case balancer.ClientGone:
		if r := p.open[e.ID]; r != nil {
			r.answered = true
			p.forgetIfOver(e.ID, r)
		}
	}
	return p.actions
}

func (p *reference) applyUpdate(e balancer.EndpointUpdate) {
	if e.Complete {
		clear(p.endpoints) // calls that are out keep the box that they went to
		old := p.ready
		for _, b := range old {
			p.endpoints[b.ID] = b
			b.State = balancer.Removed
		}
	}
	for _, s := range e.Servers {
		if b := p.endpoints[s.ID]; b != nil && b.StartTime == s.StartTime {
			b.Server = s
		} else {
			p.endpoints[s.ID] = &endpoint{Server: s}
		}
	}
	p.ready = nil
	for id, b := range p.endpoints {
		switch b.State {
		case balancer.Ready:
			p.ready = append(p.ready, b)
		case balancer.Removed:
			delete(p.endpoints, id)
		}
	}
	slices.SortFunc(p.ready, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	if e.Cached && p.set.PollDiscovery {
		p.emit(balancer.Subscribe{})
	} else {
		p.pollFailures = 0
	}
}

func (p *reference) admit(now time.Duration, e balancer.Request) {
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
	p.dispatch(now, e.ID, r)
}

// dispatch sends a request, or gives its final answer.
func (p *reference) dispatch(now time.Duration, id string, r *request) {
	free := slices.DeleteFunc(slices.Clone(p.ready), func(b *endpoint) bool { return slices.Contains(r.attempts, b) })
	if len(free) == 0 || len(r.attempts) >= max(1, p.set.MaxAttempts) || r.mayHaveRun && r.class.Effect != balancer.Idempotent || now >= r.deadline {
		r.answered = true
		if r.mayHaveRun && r.class.Effect != balancer.Idempotent {
			p.emit(balancer.Fail{ID: id})
		} else {
			p.emit(balancer.Reject{ID: id})
		}
		p.forgetIfOver(id, r)
		return
	}
	b := p.choose(free)
	b.inFlight++
	r.attempts = append(r.attempts, b)
	r.attemptsOut++
	p.emit(balancer.Send{ID: id, Server: b.ID, Timeout: r.deadline - now})
}

func (p *reference) attemptEnded(now time.Duration, e balancer.AttemptEnded) {
	r := p.open[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.attempts[e.Attempt].inFlight--
	r.attemptsOut--
	if e.Outcome != balancer.Overloaded && e.Outcome != balancer.Unreachable && e.Outcome != balancer.NotSent {
		r.mayHaveRun = true
	}
	if e.RequestDone {
		r.answered = true
	}
	if !r.answered && r.attemptsOut == 0 {
		p.dispatch(now, e.ID, r)
		return
	}
	p.forgetIfOver(e.ID, r)
}

func (p *reference) forgetIfOver(id string, r *request) {
	if r.answered && r.attemptsOut == 0 {
		delete(p.open, id)
	}
}
