package model

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Settings are what the instance of a node that sends to a tier is told: self is its number among so many copies.
func Settings(s *scenario.Scenario, tier, self, copies int) balancer.Settings {
	set := balancer.Settings{Balancers: copies, Self: self, Tier: tier, WholeWeight: 0.6, ClassWeight: 0.1,
		MarksRepeats: s.Clients.Marks, MaxAttempts: s.Rules.MaxAttempts,
		AskDiscovery: s.Discovery.Asked, AskWithin: s.Discovery.Within, Tick: time.Millisecond,
		MaxRetryAfter: s.Rules.MaxRetryAfter, FallMultiple: s.Rules.FallMultiple, ColdFrom: 1}
	for _, k := range s.Tiers[tier].Kinds {
		set.ColdFrom = min(set.ColdFrom, k.ColdFrom)
		set.WarmAfter = max(set.WarmAfter, k.Cold)
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, balancer.Class{Name: c.Name, Effect: c.Effect, Scope: balancer.ScopeAll,
			Window: c.Window, Aim: c.Aim, Deadline: c.Deadline, LateShare: c.LateShare, Worth: c.Worth})
	}
	return set
}
