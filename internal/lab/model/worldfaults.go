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

// Steps of a rolling release, as percentages of the time allotted to each server. A server drains, finishes its
// requests, stops, and starts again before the next server drains.
const (
	releaseCrashPercent = 60 // the old process ends
	releaseStartPercent = 80 // the new process starts
)

// A node in a crash loop is down for a quarter of the period, because a supervisor restarts it soon, and never for
// longer than the ingress needs to detect the failure.
const (
	crashLoopDownShare = 4           // divisor of the period
	crashLoopMaxDown   = time.Second // below the default detection time of the ingress
)

// WorldChanges converts the faults of a scenario into changes, ordered by time. The servers and nodes that a fault hits
// are drawn from the scenario's seed. A fault that needs processes is an error.
func WorldChanges(s *scenario.Scenario) ([]Change, error) {
	var changes []Change
	for n, f := range s.Faults {
		p := newFaultPlan(s, f, Stream(s.Seed, "trouble", n))
		if err := p.addFault(); err != nil {
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

// newFaultPlan draws the servers that a fault hits. It draws them even for kinds that hit no servers, because the draw
// affects all later draws from the stream.
func newFaultPlan(s *scenario.Scenario, f scenario.Fault, rng *rand.Rand) *faultPlan {
	tier := tierIndex(s, f.Tier)
	class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == f.Class })
	return &faultPlan{scenario: s, fault: f, rng: rng, tier: tier, class: class, end: f.At + f.Duration,
		servers: drawShare(rng, s.Tiers[tier].ServerCount(), f.TargetShare)}
}

// addChange adds one change with the fault's tier, share, class and folder state.
func (p *faultPlan) addChange(at time.Duration, kind ChangeKind, index int, magnitude float64) {
	p.changes = append(p.changes, Change{At: at, Kind: kind, Tier: p.tier, Index: index, Magnitude: magnitude,
		Share: p.fault.Share, Class: p.class, Folder: p.fault.Folder})
}

// addForAllServers adds two changes for each server that the fault hits: begin at the start of the fault, end at its
// end.
func (p *faultPlan) addForAllServers(begin, end ChangeKind) {
	for _, i := range p.servers {
		p.addChange(p.fault.At, begin, i, 0)
		p.addChange(p.end, end, i, 0)
	}
}

// addFault adds all changes of the fault.
func (p *faultPlan) addFault() error {
	at, magnitude := p.fault.At, p.fault.Magnitude
	switch p.fault.Kind {
	case scenario.FaultCrash:
		p.addForAllServers(Crash, Start)
	case scenario.FaultUnreachable:
		p.addForAllServers(Disconnect, Reconnect)
	case scenario.FaultNoisyNeighbor:
		return p.addNeighbor()
	case scenario.FaultSharedSlowdown:
		p.servers = drawShare(p.rng, p.scenario.Tiers[p.tier].ServerCount(), 1)
		p.addSlowdown(1 / magnitude)
	case scenario.FaultHeavyTail:
		p.addChange(at, HeavyTail, 0, magnitude)
		p.addChange(p.end, HeavyTail, 0, 1)
	case scenario.FaultTruncatedResponses:
		p.addBrokenAnswers()
	case scenario.FaultIdleResets:
		for _, i := range p.servers {
			p.addChange(at, ResetIdleConnections, i, 0)
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
		p.addChange(at, DiscoveryDown, 0, 0)
		p.addChange(p.end, DiscoveryUp, 0, 0)
	case scenario.FaultDiscoveryMoved:
		p.addChange(at, DiscoveryMove, 0, 0)
	case scenario.FaultOverload:
		p.addChange(at, Overload, 0, magnitude)
		p.addChange(p.end, Overload, 0, 1)
	case scenario.FaultRetryStorm:
		p.addChange(at, RetryStorm, 0, magnitude)
		p.addChange(p.end, RetryStorm, 0, 1)
	default:
		return fmt.Errorf("%s: trouble %q needs processes: run the scenario with lab fleet", p.fault.Position, p.fault.Kind)
	}
	return nil
}

// addNeighbor slows the servers down as if another tenant of their machines took a share of their cores.
func (p *faultPlan) addNeighbor() error {
	if p.fault.Magnitude >= 1 {
		return fmt.Errorf("%s: size of trouble %q is the share of the cores that it takes and must be below 1, not %v", p.fault.Position, p.fault.Kind, p.fault.Magnitude)
	}
	p.addSlowdown(1 - p.fault.Magnitude)
	return nil
}

// addSlowdown multiplies the speed of the servers by a factor: for the whole fault, or, if the fault has a period, in
// every other period.
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
			p.addChange(at, ScaleSpeed, i, factor)
			p.addChange(min(at+step, p.end), ScaleSpeed, i, 1/factor)
		}
	}
}

func (p *faultPlan) addBrokenAnswers() {
	for _, i := range p.servers {
		p.addChange(p.fault.At, BreakAnswers, i, 1)
		p.changes = append(p.changes, Change{At: p.end, Kind: BreakAnswers, Tier: p.tier, Index: i, Class: p.class})
	}
}

// addRelease restarts the servers one after another.
func (p *faultPlan) addRelease() {
	step := p.fault.Duration / time.Duration(max(1, len(p.servers)))
	for k, i := range p.servers {
		at := p.fault.At + time.Duration(k)*step
		p.addChange(at, Drain, i, 0)
		p.addChange(at+step*releaseCrashPercent/100, Crash, i, 0)
		p.addChange(at+step*releaseStartPercent/100, Start, i, 0)
	}
}

// addNodeRestarts ends ingress nodes one after another. Each node starts again when the next one ends.
func (p *faultPlan) addNodeRestarts(end ChangeKind) {
	nodes := drawShare(p.rng, p.scenario.Ingress.Nodes, p.fault.TargetShare)
	step := p.fault.Duration / time.Duration(max(1, len(nodes)))
	for k, i := range nodes {
		at := p.fault.At + time.Duration(k)*step
		p.addChange(at, end, i, 0)
		p.addChange(at+step, NodeStart, i, 0)
	}
}

// addNodeKills kills ingress nodes, each at a time drawn from the spread. With a period, each node is in a crash loop.
func (p *faultPlan) addNodeKills() {
	f := p.fault
	for _, i := range drawShare(p.rng, p.scenario.Ingress.Nodes, f.TargetShare) {
		at := f.At + time.Duration(p.rng.Float64()*float64(f.Spread))
		if f.Period == 0 {
			p.addChange(at, NodeKill, i, 0)
			p.addChange(at+f.Duration, NodeStart, i, 0)
			continue
		}
		for ; at < p.end; at += f.Period {
			p.addChange(at, NodeKill, i, 0)
			p.addChange(at+min(f.Period/crashLoopDownShare, crashLoopMaxDown), NodeStart, i, 0)
		}
	}
}

// mergeDiscoveryOutages merges overlapping discovery outages into one. It removes all changes but the first that takes
// discovery down and the last that brings it back.
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

// drawShare draws a share of the indices below n, but at least one, and returns them in ascending order.
func drawShare(rng *rand.Rand, n int, share float64) []int {
	k := min(n, max(1, int(math.Round(share*float64(n)))))
	list := rng.Perm(n)[:k]
	slices.Sort(list)
	return list
}
