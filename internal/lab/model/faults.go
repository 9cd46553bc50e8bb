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

// What a Change does.
type What int

// Changes of the world.
const (
	Crash         What = iota // the process of box Tier, Index dies
	Boot                      // it starts, cold
	Drain                     // it takes nothing new; a Crash follows, after it has finished
	CutOff                    // the machine is off the network
	Rejoin                    // and back
	Slow                      // the box's speed is multiplied by Size
	HeavyTail                 // from now on a Share of class Class has Size times the work; Size 1: none
	Broken                    // from now on a Share of the box's answers can't be read
	ResetKept                 // a Share of the kept connections to the box are reset when next used
	NodeLeave                 // SIGTERM to the first tier's node Index
	NodeKill                  // SIGKILL
	NodeStart                 // it starts from nothing
	DiscoveryDown             // calls fail, watches end
	DiscoveryUp
	DiscoveryMove // watches end, calls go on
	Overload      // the rate is multiplied by Size
	Storm         // refused clients come back at once, and Size times as often; Size 1: over
)

var names = [...]string{"crash", "boot", "drain", "cut off", "rejoin", "slow", "heavy tail", "broken answers",
	"reset kept", "node leaves", "node killed", "node starts", "discovery down", "discovery up", "discovery moved",
	"overload", "retry storm"}

func (w What) String() string { return names[w] }

// Change is one thing that happens to the world.
type Change struct {
	At          time.Duration
	What        What
	Tier, Index int
	Size, Share float64
	Class       int    // -1: all
	Folder      string // of a node that ends: what it finds when it starts again
}

// Troubles turns a scenario's troubles into changes, in order of time. Which boxes they meet is drawn from the
// scenario's seed.
func Troubles(s *scenario.Scenario) ([]Change, error) {
	var list []Change
	for n, t := range s.Troubles {
		rng := Stream(s.Seed, "trouble", n)
		tier := slices.IndexFunc(s.Tiers, func(k scenario.Tier) bool { return k.Name == t.Tier })
		class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == t.Class })
		end := t.At + t.Length
		add := func(at time.Duration, w What, index int, size float64) {
			list = append(list, Change{At: at, What: w, Tier: tier, Index: index, Size: size, Share: t.Share, Class: class, Folder: t.Folder})
		}
		some := part(rng, s.Tiers[tier].Boxes(), t.Part)
		switch t.Kind {
		case "crash":
			for _, i := range some {
				add(t.At, Crash, i, 0)
				add(end, Boot, i, 0)
			}
		case "cut_off":
			for _, i := range some {
				add(t.At, CutOff, i, 0)
				add(end, Rejoin, i, 0)
			}
		case "neighbour", "shared_slow":
			if t.Kind == "shared_slow" {
				some = part(rng, s.Tiers[tier].Boxes(), 1)
			}
			if t.Kind == "neighbour" && t.Size >= 1 {
				return nil, fmt.Errorf("%s: a neighbour's size is the share that it takes, under 1", t.Pos)
			}
			factor := 1 / t.Size
			if t.Kind == "neighbour" {
				factor = 1 - t.Size
			}
			step := t.Period
			if step == 0 {
				step = t.Length
			}
			for at, on := t.At, true; at < end; at, on = at+step, !on {
				for _, i := range some {
					if on {
						add(at, Slow, i, factor)
						add(min(at+step, end), Slow, i, 1/factor)
					}
				}
			}
		case "heavy_tail":
			add(t.At, HeavyTail, 0, t.Size)
			add(end, HeavyTail, 0, 1)
		case "broken_answers":
			for _, i := range some {
				add(t.At, Broken, i, 1)
				list = append(list, Change{At: end, What: Broken, Tier: tier, Index: i, Class: class})
			}
		case "kept_resets":
			for _, i := range some {
				add(t.At, ResetKept, i, 0)
			}
		case "release":
			// One after another: drained, finished, back cold, and then the next.
			step := t.Length / time.Duration(max(1, len(some)))
			for k, i := range some {
				at := t.At + time.Duration(k)*step
				add(at, Drain, i, 0)
				add(at+step*6/10, Crash, i, 0)
				add(at+step*8/10, Boot, i, 0)
			}
		case "node_restart", "node_kill":
			w, nodes := NodeLeave, part(rng, s.Front.Nodes, t.Part)
			if t.Kind == "node_kill" {
				w = NodeKill
			}
			step := t.Length / time.Duration(max(1, len(nodes)))
			for k, i := range nodes {
				at := t.At + time.Duration(k)*step
				add(at, w, i, 0)
				add(at+step, NodeStart, i, 0)
			}
		case "kill":
			for _, i := range part(rng, s.Front.Nodes, t.Part) { // not one after another: all, within the spread
				at := t.At + time.Duration(rng.Float64()*float64(t.Spread))
				if t.Period == 0 {
					add(at, NodeKill, i, 0)
					add(at+t.Length, NodeStart, i, 0)
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
			add(t.At, Overload, 0, t.Size)
			add(end, Overload, 0, 1)
		case "retry_storm":
			add(t.At, Storm, 0, t.Size)
			add(end, Storm, 0, 1)
		default:
			return nil, fmt.Errorf("%s: trouble %q needs processes: lab fleet plays it", t.Pos, t.Kind)
		}
	}
	slices.SortStableFunc(list, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return together(list), nil
}

// together has discovery, where several troubles have it down at a time, go once and come back after the last.
func together(list []Change) []Change {
	down := 0
	return slices.DeleteFunc(list, func(c Change) bool {
		switch c.What {
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

// part draws a share of n things, at least one, in the order of their numbers.
func part(rng *rand.Rand, n int, share float64) []int {
	k := min(n, max(1, int(math.Round(share*float64(n)))))
	list := rng.Perm(n)[:k]
	slices.Sort(list)
	return list
}
