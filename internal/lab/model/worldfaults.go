package model

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Steps of a rolling release of servers, as shares of the time that each server has: after the drain it finishes its
// requests, is replaced, and starts again before the next server drains.
const (
	releaseCrashPercent = 60 // its process ends
	releaseStartPercent = 80 // it starts again
)

// A node in a crash loop is down for a quarter of the period, as a supervisor restarts it soon, and never for longer
// than it takes the ingress to notice.
const (
	crashLoopDownShare = 4           // divisor of the period
	crashLoopMaxDown   = time.Second // below the default detection time of the ingress
)

// WorldChanges turns the faults of a scenario into changes in order of time. The servers and nodes that a fault hits are
// drawn from the scenario's seed. A fault that needs processes is an error.
func WorldChanges(s *scenario.Scenario) ([]Change, error) {
	var changes []Change
	for n, f := range s.Faults {
		p := newFaultPlan(s, f, Stream(s.Seed, "trouble", n))
		if err := p.add(); err != nil {
			return nil, err
		}
		changes = append(changes, p.changes...)
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return mergeDiscoveryOutages(changes), nil
}

// faultPlan collects the changes of one fault.
type faultPlan struct {
	scenario *scenario.Scenario
	fault    scenario.Fault
	rng      *rand.Rand
	tier     int
	class    int // -1: all
	servers  []int
	end      time.Duration
	changes  []Change
}

// newFaultPlan draws the servers that a fault hits, also where its kind hits none: the draws that follow depend on it.
func newFaultPlan(s *scenario.Scenario, f scenario.Fault, rng *rand.Rand) *faultPlan {
	tier := tierIndex(s, f.Tier)
	class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == f.Class })
	return &faultPlan{scenario: s, fault: f, rng: rng, tier: tier, class: class, end: f.At + f.Duration,
		servers: drawShare(rng, s.Tiers[tier].ServerCount(), f.TargetShare)}
}

// change adds one change.
func (p *faultPlan) change(at time.Duration, kind ChangeKind, index int, magnitude float64) {
	p.changes = append(p.changes, Change{At: at, Kind: kind, Tier: p.tier, Index: index, Magnitude: magnitude,
		Share: p.fault.Share, Class: p.class, Folder: p.fault.Folder})
}

// forAll adds a change to all servers that the fault hits at its beginning, and another one at its end.
func (p *faultPlan) forAll(begin, end ChangeKind) {
	for _, i := range p.servers {
		p.change(p.fault.At, begin, i, 0)
		p.change(p.end, end, i, 0)
	}
}

// add adds the changes of the fault.
func (p *faultPlan) add() error {
	at, magnitude := p.fault.At, p.fault.Magnitude
	switch p.fault.Kind {
	case scenario.FaultCrash:
		p.forAll(Crash, Start)
	case scenario.FaultUnreachable:
		p.forAll(Disconnect, Reconnect)
	case scenario.FaultNoisyNeighbor:
		return p.addNeighbor()
	case scenario.FaultSharedSlowdown:
		p.servers = drawShare(p.rng, p.scenario.Tiers[p.tier].ServerCount(), 1)
		p.addSlowdown(1 / magnitude)
	case scenario.FaultHeavyTail:
		p.change(at, HeavyTail, 0, magnitude)
		p.change(p.end, HeavyTail, 0, 1)
	case scenario.FaultTruncatedResponses:
		p.addBrokenAnswers()
	case scenario.FaultIdleResets:
		for _, i := range p.servers {
			p.change(at, ResetIdleConnections, i, 0)
		}
	case scenario.FaultRollingRelease:
		p.addRelease()
	case scenario.FaultNodeRestart:
		p.addNodeRestarts(NodeTerminate)
	case scenario.FaultNodeKill:
		p.addNodeRestarts(NodeKill)
	case scenario.FaultKill:
		p.addNodeKills()
	case scenario.FaultDiscoveryDown:
		p.change(at, DiscoveryDown, 0, 0)
		p.change(p.end, DiscoveryUp, 0, 0)
	case scenario.FaultDiscoveryMoved:
		p.change(at, DiscoveryMove, 0, 0)
	case scenario.FaultOverload:
		p.change(at, Overload, 0, magnitude)
		p.change(p.end, Overload, 0, 1)
	case scenario.FaultRetryStorm:
		p.change(at, RetryStorm, 0, magnitude)
		p.change(p.end, RetryStorm, 0, 1)
	default:
		return fmt.Errorf("%s: trouble %q needs processes: lab fleet plays it", p.fault.Position, p.fault.Kind)
	}
	return nil
}

// addNeighbor has another tenant of the servers' machines take a share of their cores.
func (p *faultPlan) addNeighbor() error {
	if p.fault.Magnitude >= 1 {
		return fmt.Errorf("%s: a neighbour's size is the share that it takes, under 1", p.fault.Position)
	}
	p.addSlowdown(1 - p.fault.Magnitude)
	return nil
}

// addSlowdown multiplies the speed of the servers by a factor, throughout or on and off by the period.
func (p *faultPlan) addSlowdown(factor float64) {
	step := p.fault.Period
	if step == 0 {
		step = p.fault.Duration
	}
	for at, on := p.fault.At, true; at < p.end; at, on = at+step, !on {
		if !on {
			continue
		}
		for _, i := range p.servers {
			p.change(at, ScaleSpeed, i, factor)
			p.change(min(at+step, p.end), ScaleSpeed, i, 1/factor)
		}
	}
}

func (p *faultPlan) addBrokenAnswers() {
	for _, i := range p.servers {
		p.change(p.fault.At, BreakAnswers, i, 1)
		p.changes = append(p.changes, Change{At: p.end, Kind: BreakAnswers, Tier: p.tier, Index: i, Class: p.class})
	}
}

// addRelease replaces the servers one after another.
func (p *faultPlan) addRelease() {
	step := p.fault.Duration / time.Duration(max(1, len(p.servers)))
	for k, i := range p.servers {
		at := p.fault.At + time.Duration(k)*step
		p.change(at, Drain, i, 0)
		p.change(at+step*releaseCrashPercent/100, Crash, i, 0)
		p.change(at+step*releaseStartPercent/100, Start, i, 0)
	}
}

// addNodeRestarts ends ingress nodes one after another, and starts each again when it is the next one's turn.
func (p *faultPlan) addNodeRestarts(end ChangeKind) {
	nodes := drawShare(p.rng, p.scenario.Ingress.Nodes, p.fault.TargetShare)
	step := p.fault.Duration / time.Duration(max(1, len(nodes)))
	for k, i := range nodes {
		at := p.fault.At + time.Duration(k)*step
		p.change(at, end, i, 0)
		p.change(at+step, NodeStart, i, 0)
	}
}

// addNodeKills kills ingress nodes together, within the spread. With a period each node is in a crash loop.
func (p *faultPlan) addNodeKills() {
	f := p.fault
	for _, i := range drawShare(p.rng, p.scenario.Ingress.Nodes, f.TargetShare) {
		at := f.At + time.Duration(p.rng.Float64()*float64(f.Spread))
		if f.Period == 0 {
			p.change(at, NodeKill, i, 0)
			p.change(at+f.Duration, NodeStart, i, 0)
			continue
		}
		for ; at < p.end; at += f.Period {
			p.change(at, NodeKill, i, 0)
			p.change(at+min(f.Period/crashLoopDownShare, crashLoopMaxDown), NodeStart, i, 0)
		}
	}
}

// mergeDiscoveryOutages drops the changes in between where several faults have discovery down at a time: it goes down
// once and comes back after the last of them.
func mergeDiscoveryOutages(changes []Change) []Change {
	down := 0
	return slices.DeleteFunc(changes, func(c Change) bool {
		switch c.Kind {
		case DiscoveryDown:
			down++
			return down > 1
		case DiscoveryUp:
			down--
			return down > 0
		}
		return false
	})
}

// drawShare draws a share of n things, at least one, in the order of their numbers.
func drawShare(rng *rand.Rand, n int, share float64) []int {
	k := min(n, max(1, int(math.Round(share*float64(n)))))
	list := rng.Perm(n)[:k]
	slices.Sort(list)
	return list
}
