package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// ProcessFault is a fault of processes or of the links between them. It can occur only in a fleet of processes.
type ProcessFault struct {
	scenario.Fault
	From, To time.Duration

	// Targets says what the fault hits: the index of a node, the index of a process that runs servers of a tier, or 0
	// for discovery. An administrative override has the index of a server and the index of its tier.
	Targets []int
}

// ProcessFaults returns the faults of a scenario that need processes, in the order of the file. Their targets are drawn
// from the seed.
func ProcessFaults(s *scenario.Scenario) (list []ProcessFault, err error) {
	for n, f := range s.Faults {
		if !slices.Contains(scenario.ProcessFaultKinds, f.Kind) {
			continue
		}
		target, count := targetOf(s, f)
		if f.Peer == target && affectsLinks(f.Kind) {
			return nil, fmt.Errorf("%s: %s and %s have no link", f.Position, f.Target, f.Peer)
		}
		f.Target = target
		list = append(list, drawProcessFaults(s, f, count, Stream(s.Seed, "upset", n))...)
	}
	return list, nil
}

// targetOf returns the kind of process or object that a fault hits, and how many of them there are to draw from.
func targetOf(s *scenario.Scenario, f scenario.Fault) (target string, count int) {
	tier := tierIndex(s, f.Tier)
	switch {
	case f.Kind == scenario.FaultAdminOverride:
		return scenario.TargetServers, s.Tiers[tier].ServerCount()
	case f.Kind == scenario.FaultUpgrade, f.Kind == scenario.FaultMuteWatches:
		return scenario.TargetNodes, nodeCount(s)
	case f.Kind == scenario.FaultServerKill, f.Target == scenario.TargetServers:
		return scenario.TargetServers, (s.Tiers[tier].ServerCount() + s.Fleet.ServersPerProcess - 1) / s.Fleet.ServersPerProcess
	case f.Target == scenario.TargetNodes:
		return f.Target, s.Ingress.Nodes
	}
	return f.Target, 1
}

// affectsLinks reports whether a kind of fault hits the links between two kinds of processes, not the processes
// themselves.
func affectsLinks(kind string) bool {
	switch kind {
	case scenario.FaultStall, scenario.FaultServerKill, scenario.FaultUpgrade, scenario.FaultAdminOverride, scenario.FaultMuteWatches:
		return false
	}
	return true
}

// nodeCount returns the number of all nodes: the ingress nodes, and one node for each server that calls another tier.
func nodeCount(s *scenario.Scenario) int {
	count := s.Ingress.Nodes
	for _, tier := range s.Tiers[:len(s.Tiers)-1] {
		count += tier.ServerCount()
	}
	return count
}

// drawProcessFaults draws the targets of a fault and the time at which each of them is hit.
func drawProcessFaults(s *scenario.Scenario, f scenario.Fault, count int, rng *rand.Rand) (list []ProcessFault) {
	for _, i := range drawShare(rng, count, f.TargetShare) {
		at := f.At + time.Duration(rng.Float64()*float64(f.Spread))
		p := ProcessFault{Fault: f, From: at, To: at + f.Duration, Targets: []int{i}}
		if f.Kind == scenario.FaultAdminOverride {
			p.Targets = append(p.Targets, tierIndex(s, f.Tier))
		}
		list = append(list, p)
	}
	return list
}

func tierIndex(s *scenario.Scenario, name string) int {
	return slices.IndexFunc(s.Tiers, func(t scenario.Tier) bool { return t.Name == name })
}

// WithoutProcessFaults returns a copy of a scenario without the faults that need processes.
func WithoutProcessFaults(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	c.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f scenario.Fault) bool {
		return slices.Contains(scenario.ProcessFaultKinds, f.Kind)
	})
	return &c
}
