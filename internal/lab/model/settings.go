package model

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// NodeSettings are what the instance of a node that sends to a tier is told: self is its number among so many copies.
func NodeSettings(s *scenario.Scenario, tier, self, copies int) balancer.Settings {
	set := balancer.Settings{Replicas: copies, ReplicaIndex: self, Tier: tier, TotalValueWeight: 0.6, WorstClassWeight: 0.1,
		ClientsMarkRetries: s.Clients.MarkRetries, MaxAttempts: s.Rules.MaxAttempts,
		PollDiscovery: s.Discovery.Polled, MaxPollInterval: s.Discovery.MaxPollInterval, Tick: time.Millisecond,
		MaxRetryAfter: s.Rules.MaxRetryAfter, OverloadMultiple: s.Rules.OverloadMultiple, SlowStartMinShare: 1}
	for _, k := range s.Tiers[tier].Kinds {
		set.SlowStartMinShare = min(set.SlowStartMinShare, k.WarmupStartShare)
		set.SlowStartDuration = max(set.SlowStartDuration, k.WarmupDuration)
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, balancer.Class{Name: c.Name, Effect: c.Effect, DedupScope: balancer.ScopeAll,
			DedupWindow: c.DedupWindow, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, LateCredit: c.LateCredit, PriorityWeight: c.PriorityWeight})
	}
	return set
}
