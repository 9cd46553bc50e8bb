package soak

import "time"

// RegressionPlans are plans that once broke a rule and that no seed has drawn. They are played with the RegressionSeeds.
func RegressionPlans() []Plan {
	return []Plan{RecoveryBetweenOutages(), AddressChangeWhileUnresponsive(), RestartWhileDiscoveryOverloaded()}
}

// RecoveryBetweenOutages has discovery back for a second between two outages, in which it resets the calls that it has. Nodes
// once took both for one outage: the next call that was rejected renewed their lease, and they sent to a server that drains.
func RecoveryBetweenOutages() Plan {
	const (
		firstOutage  = 2 * time.Second
		recovery     = 6600 * time.Millisecond
		secondOutage = 7600 * time.Millisecond
		end          = 13 * time.Second
	)
	return Plan{Name: "a return between outages", Nodes: 16, Servers: planServers, Rate: 16 * planRequestsPerNode,
		Length: end + recoveryTime, Faults: []Fault{
			{Kind: DiscoveryOutage, From: firstOutage, To: recovery, HoldCalls: true},
			{Kind: DiscoverySlow, From: recovery - 100*time.Millisecond, To: end - 500*time.Millisecond, Wait: 5 * time.Second},
			{Kind: ServerDrain, From: recovery - 50*time.Millisecond, Target: 1},
			{Kind: DiscoveryOutage, From: secondOutage, To: end, HoldCalls: true},
		}}
}

// AddressChangeWhileUnresponsive has discovery accept calls and answer none for so long that nodes once served again without it. Then
// its address changes: they went on serving without end, although they count as notified of what is at the new address.
func AddressChangeWhileUnresponsive() Plan {
	const (
		silent   = time.Second
		drain    = 19 * time.Second // later than the end of the lease by more than nodes once waited before they served again
		change   = drain + 500*time.Millisecond
		answered = drain + 6200*time.Millisecond // within the deadline that runs from the drain
	)
	return Plan{Name: "a change of address while discovery is unresponsive", Nodes: 16, Servers: planServers,
		Rate: 16 * planRequestsPerNode, Length: answered + recoveryTime + serviceCheckTime, Faults: []Fault{
			{Kind: DiscoveryNoAnswer, From: silent - 100*time.Millisecond, To: answered, Share: 1},
			{Kind: WatchStall, From: silent},
			{Kind: ServerDrain, From: drain, Target: 1},
			{Kind: DiscoveryMove, From: change, Count: 1, Wait: 100 * time.Millisecond},
		}}
}

// RestartWhileDiscoveryOverloaded has most nodes killed and started again while discovery has more callers than it can serve, and rejects
// most calls after a wait. New processes once took that for an outage, and went on with the list that they were given.
func RestartWhileDiscoveryOverloaded() Plan {
	const (
		silent    = 4500 * time.Millisecond // the watches, so that nobody hears of the drain
		drain     = 4600 * time.Millisecond
		kill      = 6500 * time.Millisecond
		end       = 15 * time.Second
		nodes     = 16
		killed    = 12
		queueTime = 1900 * time.Millisecond // a call, so that a node in three has its list before the end
	)
	plan := Plan{Name: "restarts while discovery is crowded", Nodes: nodes, Servers: planServers, Rate: nodes * planRequestsPerNode,
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
