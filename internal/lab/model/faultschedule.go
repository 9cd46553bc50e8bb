package model

import (
	"fmt"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// ProcessFault is a trouble between processes, which only a fleet of them can have.
type ProcessFault struct {
	scenario.Fault
	From, To time.Duration
	Targets  []int // a number of the front's nodes, or of the processes that have a tier's boxes; of discovery: 0; by hand: box and tier
}

// ProcessFaults are those of a scenario's troubles, in the order of the file. Whom they meet is drawn from the seed.
func ProcessFaults(s *scenario.Scenario) (list []ProcessFault, err error) {
	for n, t := range s.Faults {
		if !slices.Contains(scenario.ProcessFaultKinds, t.Kind) {
			continue
		}
		rng := Stream(s.Seed, "upset", n)
		who := t.Target
		if t.Kind == "box_kill" {
			who = "boxes"
		}
		count := 1
		tier := slices.IndexFunc(s.Tiers, func(k scenario.Tier) bool { return k.Name == t.Tier })
		switch {
		case t.Kind == "hand":
			who, count = "boxes", s.Tiers[tier].ServerCount()
		case t.Kind == "upgrade", t.Kind == "hush": // those beside boxes too
			who, count = "nodes", s.Ingress.Nodes
			for _, tier := range s.Tiers[:len(s.Tiers)-1] {
				count += tier.ServerCount()
			}
		case who == "nodes":
			count = s.Ingress.Nodes
		case who == "boxes":
			count = (s.Tiers[tier].ServerCount() + s.Fleet.ServersPerProcess - 1) / s.Fleet.ServersPerProcess
		}
		if t.Peer == who && !slices.Contains([]string{"stall", "box_kill", "upgrade", "hand", "hush"}, t.Kind) {
			return nil, fmt.Errorf("%s: %s and %s have no link", t.Position, t.Target, t.Peer)
		}
		t.Target = who
		for _, i := range drawShare(rng, count, t.TargetShare) {
			at := t.At + time.Duration(rng.Float64()*float64(t.Spread))
			u := ProcessFault{Fault: t, From: at, To: at + t.Duration, Targets: []int{i}}
			if t.Kind == "hand" {
				u.Targets = append(u.Targets, tier)
			}
			list = append(list, u)
		}
	}
	return list, nil
}

// WithoutProcessFaults is a scenario with the troubles that every way of playing knows.
func WithoutProcessFaults(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	c.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(t scenario.Fault) bool {
		return slices.Contains(scenario.ProcessFaultKinds, t.Kind)
	})
	return &c
}
