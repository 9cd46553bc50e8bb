package model

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Settings are what the instance of a node that sends to a tier is told: self is its number among so many copies.
func Settings(s *scenario.Scenario, tier, self, copies int) balancer.Settings {
	set := balancer.Settings{Replicas: copies, ReplicaIndex: self, Tier: tier, TotalValueWeight: 0.6, WorstClassWeight: 0.1,
		ClientsMarkRetries: s.Clients.Marks, MaxAttempts: s.Rules.MaxAttempts,
		PollDiscovery: s.Discovery.Asked, MaxPollInterval: s.Discovery.Within, Tick: time.Millisecond,
		MaxRetryAfter: s.Rules.MaxRetryAfter, OverloadMultiple: s.Rules.FallMultiple, SlowStartMinShare: 1}
	for _, k := range s.Tiers[tier].Kinds {
		set.SlowStartMinShare = min(set.SlowStartMinShare, k.ColdFrom)
		set.SlowStartDuration = max(set.SlowStartDuration, k.Cold)
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, balancer.Class{Name: c.Name, Effect: c.Effect, DedupScope: balancer.ScopeAll,
			DedupWindow: c.Window, LatencyObjective: c.Aim, Deadline: c.Deadline, LateCredit: c.LateShare, PriorityWeight: c.Worth})
	}
	return set
}
