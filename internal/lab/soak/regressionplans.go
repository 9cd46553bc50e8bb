package soak

import "time"

// RegressionPlans returns the plans that once broke a rule and were written by hand. They are played with RegressionSeeds.
func RegressionPlans() []Plan {
	return []Plan{RecoveryBetweenOutages(), AddressChangeWhileUnresponsive(), RestartWhileDiscoveryOverloaded()}
}

// RecoveryBetweenOutages makes discovery available for a second between two outages. The beginning of the second outage
// resets the calls that are in progress. Nodes once treated both outages as one: the next rejected call renewed their lease,
// and they sent requests to a draining server.
func RecoveryBetweenOutages() Plan {
	const (
		firstOutage  = 2 * time.Second         // beginning of the first outage
		recovery     = 6600 * time.Millisecond // end of the first outage
		secondOutage = 7600 * time.Millisecond // beginning of the second outage
		end          = 13 * time.Second        // end of the second outage
	)
	return Plan{Name: "recovery between outages", Nodes: 16, Servers: planServers, Rate: 16 * planRequestsPerNode,
		Length: end + recoveryTime, Faults: []Fault{
			{Kind: DiscoveryOutage, From: firstOutage, To: recovery, HoldCalls: true},
			{Kind: DiscoverySlow, From: recovery - 100*time.Millisecond, To: end - 500*time.Millisecond, Wait: 5 * time.Second},
			{Kind: ServerDrain, From: recovery - 50*time.Millisecond, Target: 1},
			{Kind: DiscoveryOutage, From: secondOutage, To: end, HoldCalls: true},
		}}
}

// AddressChangeWhileUnresponsive makes discovery accept calls without answering any, for so long that nodes once resumed
// serving without it. Then its address changes. Nodes once continued to serve without limit, although they count as notified
// of the list at the new address.
func AddressChangeWhileUnresponsive() Plan {
	const (
		silent   = time.Second                   // watches stall, and calls are no longer answered
		drain    = 19 * time.Second              // after the end of the lease plus the time that nodes once waited before they resumed serving
		change   = drain + 500*time.Millisecond  // of discovery's address
		answered = drain + 6200*time.Millisecond // within the notification deadline, which counts from the drain
	)
	return Plan{Name: "address change while discovery is unresponsive", Nodes: 16, Servers: planServers,
		Rate: 16 * planRequestsPerNode, Length: answered + recoveryTime + serviceCheckTime, Faults: []Fault{
			{Kind: DiscoveryNoAnswer, From: silent - 100*time.Millisecond, To: answered, Share: 1},
			{Kind: WatchStall, From: silent},
			{Kind: ServerDrain, From: drain, Target: 1},
			{Kind: DiscoveryMove, From: change, Count: 1, Wait: 100 * time.Millisecond},
		}}
}

// RestartWhileDiscoveryOverloaded kills and restarts most nodes while discovery has more callers than it can serve and
// rejects most calls after a wait. New processes once treated this as an outage and continued to use their bootstrap list.
func RestartWhileDiscoveryOverloaded() Plan {
	const (
		silent    = 4500 * time.Millisecond // the watches stall, so that no node is notified of the drain
		drain     = 4600 * time.Millisecond
		kill      = 6500 * time.Millisecond
		end       = 15 * time.Second // of the overload
		nodes     = 16
		killed    = 12                      // of the nodes
		queueTime = 1900 * time.Millisecond // per call, so that about a third of the nodes get a list before the end
	)
	plan := Plan{Name: "restarts while discovery is overloaded", Nodes: nodes, Servers: planServers, Rate: nodes * planRequestsPerNode,
		Length: end + recoveryTime + serviceCheckTime, Faults: []Fault{
			{Kind: DiscoveryDelayedRejection, From: silent, To: end, Wait: queueTime},
			{Kind: WatchStall, From: silent},
			{Kind: ServerDrain, From: drain, Target: 1},
		}}
	for node := range killed {
		plan.Faults = append(plan.Faults, Fault{Kind: NodeKill, From: kill, Target: node})
	}
	return plan
}
