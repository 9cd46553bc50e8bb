package soak

import (
	"math/rand/v2"
	"time"
)

// outageStartStream is the random stream of starts in outages, separate for the same reason as answerStream.
const outageStartStream = 0x57a7

// Parameters of starts in outages.
const (
	pushedRatio          = 1.0 / 3                // share of plans in which lists are pushed
	maxDrainBeforeOutage = 6 * time.Second        // from a drain to the outage
	minStartOutage       = 2 * time.Second        // length of the outage
	maxStartOutage       = 7 * time.Second        // long enough for the drain to count as known during the outage
	maxOutageStarts      = 3                      // nodes that are killed before and during the outage
	killBeforeOutage     = 200 * time.Millisecond // earliest kill; the process starts again as the outage begins
)

// drawOutageStarts draws whether lists are pushed, and an outage in which nodes start: a server begins to drain before the
// outage, and nodes are killed during it, some of them more than once. All faults end before the plan's recovery time.
func drawOutageStarts(seed uint64, p Plan) (pushed bool, faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, outageStartStream))
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(time.Millisecond)
	}
	latestDrain := p.Length - recoveryTime - maxDrainBeforeOutage - maxStartOutage
	if latestDrain <= firstFault {
		return false, nil // the plan is too short
	}
	pushed = rng.Float64() < pushedRatio
	drain := between(firstFault, latestDrain)
	from := between(drain, drain+maxDrainBeforeOutage)
	to := from + between(minStartOutage, maxStartOutage)
	faults = append(faults,
		Fault{Kind: ServerDrain, From: drain, Target: rng.IntN(p.Servers)},
		Fault{Kind: DiscoveryOutage, From: from, To: to})
	for range 1 + rng.IntN(maxOutageStarts) {
		faults = append(faults, Fault{Kind: NodeKill, From: between(from-killBeforeOutage, to), Target: rng.IntN(p.Nodes)})
	}
	return pushed, faults
}
