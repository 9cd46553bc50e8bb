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

// Kind a Change does.
type ChangeKind int

// Changes of the world.
const (
	Crash                ChangeKind = iota // the process of box Tier, Index dies
	Start                                  // it starts, cold
	Drain                                  // it takes nothing new; a Crash follows, after it has finished
	Disconnect                             // the machine is off the network
	Reconnect                              // and back
	ScaleSpeed                             // the box's speed is multiplied by Size
	HeavyTail                              // from now on a Share of class Class has Size times the work; Size 1: none
	BreakAnswers                           // from now on a Share of the box's answers can't be read
	ResetIdleConnections                   // a Share of the kept connections to the box are reset when next used
	NodeTerminate                          // SIGTERM to the first tier's node Index
	NodeKill                               // SIGKILL
	NodeStart                              // it starts from nothing
	DiscoveryDown                          // calls fail, watches end
	DiscoveryUp
	DiscoveryMove // watches end, calls go on
	Overload      // the rate is multiplied by Size
	RetryStorm    // refused clients come back at once, and Size times as often; Size 1: over
)

var changeNames = [...]string{"crash", "boot", "drain", "cut off", "rejoin", "slow", "heavy tail", "broken answers",
	"reset kept", "node leaves", "node killed", "node starts", "discovery down", "discovery up", "discovery moved",
	"overload", "retry storm"}

func (w ChangeKind) String() string { return changeNames[w] }

// Change is one thing that happens to the world.
type Change struct {
	At               time.Duration
	Kind             ChangeKind
	Tier, Index      int
	Magnitude, Share float64
	Class            int    // -1: all
	Folder           string // of a node that ends: what it finds when it starts again
}

// WorldChanges turns a scenario's troubles into changes, in order of time. Which boxes they meet is drawn from the
// scenario's seed.
func WorldChanges(s *scenario.Scenario) ([]Change, error) {
	var list []Change
	for n, t := range s.Faults {
		rng := Stream(s.Seed, "trouble", n)
		tier := slices.IndexFunc(s.Tiers, func(k scenario.Tier) bool { return k.Name == t.Tier })
		class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == t.Class })
		end := t.At + t.Duration
		add := func(at time.Duration, w ChangeKind, index int, size float64) {
			list = append(list, Change{At: at, Kind: w, Tier: tier, Index: index, Magnitude: size, Share: t.Share, Class: class, Folder: t.Folder})
		}
		some := drawShare(rng, s.Tiers[tier].ServerCount(), t.TargetShare)
		switch t.Kind {
		case "crash":
			for _, i := range some {
				add(t.At, Crash, i, 0)
				add(end, Start, i, 0)
			}
		case "cut_off":
			for _, i := range some {
				add(t.At, Disconnect, i, 0)
				add(end, Reconnect, i, 0)
			}
		case "neighbour", "shared_slow":
			if t.Kind == "shared_slow" {
				some = drawShare(rng, s.Tiers[tier].ServerCount(), 1)
			}
			if t.Kind == "neighbour" && t.Magnitude >= 1 {
				return nil, fmt.Errorf("%s: a neighbour's size is the share that it takes, under 1", t.Position)
			}
			factor := 1 / t.Magnitude
			if t.Kind == "neighbour" {
				factor = 1 - t.Magnitude
			}
			step := t.Period
			if step == 0 {
				step = t.Duration
			}
			for at, on := t.At, true; at < end; at, on = at+step, !on {
				for _, i := range some {
					if on {
						add(at, ScaleSpeed, i, factor)
						add(min(at+step, end), ScaleSpeed, i, 1/factor)
					}
				}
			}
		case "heavy_tail":
			add(t.At, HeavyTail, 0, t.Magnitude)
			add(end, HeavyTail, 0, 1)
		case "broken_answers":
			for _, i := range some {
				add(t.At, BreakAnswers, i, 1)
				list = append(list, Change{At: end, Kind: BreakAnswers, Tier: tier, Index: i, Class: class})
			}
		case "kept_resets":
			for _, i := range some {
				add(t.At, ResetIdleConnections, i, 0)
			}
		case "release":
			// One after another: drained, finished, back cold, and then the next.
			step := t.Duration / time.Duration(max(1, len(some)))
			for k, i := range some {
				at := t.At + time.Duration(k)*step
				add(at, Drain, i, 0)
				add(at+step*6/10, Crash, i, 0)
				add(at+step*8/10, Start, i, 0)
			}
		case "node_restart", "node_kill":
			w, nodes := NodeTerminate, drawShare(rng, s.Ingress.Nodes, t.TargetShare)
			if t.Kind == "node_kill" {
				w = NodeKill
			}
			step := t.Duration / time.Duration(max(1, len(nodes)))
			for k, i := range nodes {
				at := t.At + time.Duration(k)*step
				add(at, w, i, 0)
				add(at+step, NodeStart, i, 0)
			}
		case "kill":
			for _, i := range drawShare(rng, s.Ingress.Nodes, t.TargetShare) { // not one after another: all, within the spread
				at := t.At + time.Duration(rng.Float64()*float64(t.Spread))
				if t.Period == 0 {
					add(at, NodeKill, i, 0)
					add(at+t.Duration, NodeStart, i, 0)
				}
				for ; t.Period > 0 && at < end; at += t.Period { // a loop of crashes
					add(at, NodeKill, i, 0)
					add(at+min(t.Period/4, time.Second), NodeStart, i, 0)
				}
			}
		case "discovery_down":
			add(t.At, DiscoveryDown, 0, 0)
			add(end, DiscoveryUp, 0, 0)
		case "discovery_moved":
			add(t.At, DiscoveryMove, 0, 0)
		case "overload":
			add(t.At, Overload, 0, t.Magnitude)
			add(end, Overload, 0, 1)
		case "retry_storm":
			add(t.At, RetryStorm, 0, t.Magnitude)
			add(end, RetryStorm, 0, 1)
		default:
			return nil, fmt.Errorf("%s: trouble %q needs processes: lab fleet plays it", t.Position, t.Kind)
		}
	}
	slices.SortStableFunc(list, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return mergeDiscoveryOutages(list), nil
}

// mergeDiscoveryOutages has discovery, where several troubles have it down at a time, go once and come back after the last.
func mergeDiscoveryOutages(list []Change) []Change {
	down := 0
	return slices.DeleteFunc(list, func(c Change) bool {
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
