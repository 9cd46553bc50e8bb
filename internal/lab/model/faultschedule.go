package model

import (
	"fmt"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Upset is a trouble between processes, which only a fleet of them can have.
type Upset struct {
	scenario.Trouble
	From, To time.Duration
	Who      []int // a number of the front's nodes, or of the processes that have a tier's boxes; of discovery: 0; by hand: box and tier
}

// Upsets are those of a scenario's troubles, in the order of the file. Whom they meet is drawn from the seed.
func Upsets(s *scenario.Scenario) (list []Upset, err error) {
	for n, t := range s.Troubles {
		if !slices.Contains(scenario.FleetKinds, t.Kind) {
			continue
		}
		rng := Stream(s.Seed, "upset", n)
		who := t.Who
		if t.Kind == "box_kill" {
			who = "boxes"
		}
		count := 1
		tier := slices.IndexFunc(s.Tiers, func(k scenario.Tier) bool { return k.Name == t.Tier })
		switch {
		case t.Kind == "hand":
			who, count = "boxes", s.Tiers[tier].Boxes()
		case t.Kind == "upgrade", t.Kind == "hush": // those beside boxes too
			who, count = "nodes", s.Front.Nodes
			for _, tier := range s.Tiers[:len(s.Tiers)-1] {
				count += tier.Boxes()
			}
		case who == "nodes":
			count = s.Front.Nodes
		case who == "boxes":
			count = (s.Tiers[tier].Boxes() + s.Fleet.BoxesPer - 1) / s.Fleet.BoxesPer
		}
		if t.Whom == who && !slices.Contains([]string{"stall", "box_kill", "upgrade", "hand", "hush"}, t.Kind) {
			return nil, fmt.Errorf("%s: %s and %s have no link", t.Pos, t.Who, t.Whom)
		}
		t.Who = who
		for _, i := range part(rng, count, t.Part) {
			at := t.At + time.Duration(rng.Float64()*float64(t.Spread))
			u := Upset{Trouble: t, From: at, To: at + t.Length, Who: []int{i}}
			if t.Kind == "hand" {
				u.Who = append(u.Who, tier)
			}
			list = append(list, u)
		}
	}
	return list, nil
}

// WithoutUpsets is a scenario with the troubles that every way of playing knows.
func WithoutUpsets(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	c.Troubles = slices.DeleteFunc(slices.Clone(s.Troubles), func(t scenario.Trouble) bool {
		return slices.Contains(scenario.FleetKinds, t.Kind)
	})
	return &c
}
