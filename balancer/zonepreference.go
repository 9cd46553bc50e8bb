// Same-zone preference and cross-zone share.

package balancer

import "slices"

const (
	// minCrossZoneShare is the smallest share of requests that may use all servers rather than only the
	// preferred ones, so that the replica knows the latency of the other servers and notices when they have
	// become faster.
	minCrossZoneShare = 0.03
	// crossZoneLogLatencyGap is how much higher the mean log latency of the preferred servers must be than
	// that of the others before more requests may use all servers. A quarter is about 28 % of the latency; a
	// smaller gain is not worth the cost of crossing zones.
	crossZoneLogLatencyGap = 0.25
	// crossZoneWeight is the weight of one answer in the cross-zone share. It is half the weight of an answer
	// in the latency averages that determine the share, so that requests don't all swing between zones at the
	// same time.
	crossZoneWeight = sampleWeight / 2
)

// updatePreferredServers finds the servers that a pool's classes use first: the servers in this replica's
// zone, and among these the servers that no narrower pool may use. A step that would leave no server is
// skipped. Crossing zones costs latency and money. The classes of a narrower pool can use no other servers:
// if other classes filled these servers, the classes of the narrower pool would fail while other servers are
// idle.
//
// Servers that are reserved for narrower pools are not counted in serversPerReplica either. Otherwise the
// floors of two windows would together admit twice what one server can take.
func (b *Balancer) updatePreferredServers(p *pool) {
	neededByNarrowerPool := func(s *server) bool {
		return slices.ContainsFunc(b.pools, func(narrower *pool) bool {
			return len(narrower.inService) < len(p.inService) && narrower.allows(s)
		})
	}
	otherZone := func(s *server) bool { return s.Zone != b.settings.Zone }
	sameZone, counted := excludeUnlessAll(p.inService, otherZone), p.inService
	if p.preferred = excludeUnlessAll(sameZone, neededByNarrowerPool); len(p.preferred) < len(sameZone) {
		counted = excludeUnlessAll(p.inService, neededByNarrowerPool)
	}
	p.serversPerReplica = float64(len(counted)) / float64(max(1, b.settings.Replicas))
	if p.window == 0 {
		p.floorServers = p.serversPerReplica
		p.window = initialWindowPerServer * p.floorServers
	}
}

// excludeUnlessAll returns the servers of a list that are not unwanted, or the whole list if all are.
func excludeUnlessAll(list []*server, unwanted func(*server) bool) []*server {
	if kept := slices.DeleteFunc(slices.Clone(list), unwanted); len(kept) > 0 {
		return kept
	}
	return list
}

// crossesZones reports whether a request may use all servers of a pool rather than only the preferred ones.
// If these differ, it draws the result: the cross-zone share is the probability that it is true.
func (b *Balancer) crossesZones(p *pool) bool {
	n := len(p.preferred)
	return n == 0 || n == len(p.inService) || b.rng.Float64() < max(p.crossZoneShare, minCrossZoneShare)
}

// recordZoneLatency adds the latency of an attempt to the averages and adjusts the cross-zone share to them.
// Input: whether the attempt's server is preferred, and the logarithm of the latency divided by the class's
// mean, which makes fast and slow classes comparable. Output: the cross-zone share. While the preferred
// servers are slower than the others by more than crossZoneLogLatencyGap, for whatever reason, the share
// rises; otherwise it falls. Without this rule, a zone that has lost half of its servers would be overloaded
// while others have capacity. The symptom is timeouts and rejections in only one zone.
func (p *pool) recordZoneLatency(preferred bool, logRatio float64) {
	average := &p.otherLogLatency
	if preferred {
		average = &p.preferredLogLatency
	}
	moveTowards(average, logRatio, sampleWeight)
	if p.preferredLogLatency > p.otherLogLatency+crossZoneLogLatencyGap {
		moveTowards(&p.crossZoneShare, 1, crossZoneWeight)
	} else {
		moveTowards(&p.crossZoneShare, 0, crossZoneWeight)
	}
}
