package model

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Settings that are the same for all nodes in all scenarios.
const (
	totalValueWeight = 0.6              // weight of the total value served
	worstClassWeight = 0.1              // weight of the class with the lowest value share
	timerTolerance   = time.Millisecond // interval at which timers are checked
)

// NodeSettings returns the settings of a node that sends to a tier. The node is replica number replicaIndex of replicas
// nodes that do so.
func NodeSettings(s *scenario.Scenario, tier, replicaIndex, replicas int) balancer.Settings {
	settings := balancer.Settings{
		Replicas:           replicas,
		ReplicaIndex:       replicaIndex,
		Tier:               tier,
		TotalValueWeight:   totalValueWeight,
		WorstClassWeight:   worstClassWeight,
		ClientsMarkRetries: s.Clients.MarkRetries,
		MaxAttempts:        s.Rules.MaxAttempts,
		PollDiscovery:      s.Discovery.Polled,
		MaxPollInterval:    s.Discovery.MaxPollInterval,
		TimerTolerance:     timerTolerance,
		MaxRetryAfter:      s.Rules.MaxRetryAfter,
		OverloadMultiple:   s.Rules.OverloadMultiple,
		SlowStartMinShare:  1,
	}
	for _, k := range s.Tiers[tier].Kinds {
		settings.SlowStartMinShare = min(settings.SlowStartMinShare, k.WarmupStartShare)
		settings.SlowStartDuration = max(settings.SlowStartDuration, k.WarmupDuration)
	}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:             c.Name,
			Effect:           c.Effect,
			DedupScope:       balancer.ScopeAll,
			DedupWindow:      c.DedupWindow,
			LatencyObjective: c.LatencyObjective,
			Deadline:         c.Deadline,
			LateCredit:       c.LateCredit,
			PriorityWeight:   c.PriorityWeight,
		})
	}
	return settings
}
