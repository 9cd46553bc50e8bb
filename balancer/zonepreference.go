// Same-zone preference and cross-zone share.

package balancer

import "slices"

const (
	// minCrossZoneShare is the share of requests that leave the preferred servers anyway, so that the
	// replica knows how long the others take and notices when they have become faster.
	minCrossZoneShare = 0.03
	// crossZoneLogLatencyGap is the difference of mean log latency by which the preferred servers must be slower
	// before more requests leave them: a quarter is about 28 % of the latency. Less would not pay for
	// crossing zones.
	crossZoneLogLatencyGap = 0.25
	// crossZoneWeight is the weight of one answer in the cross-zone share: half that of the latencies it
	// follows, so that requests don't swing between zones together.
	crossZoneWeight = sampleWeight / 2
)

// updatePreferredServers finds the servers that a pool's classes use first: those of the own zone, if any, and of
// these the ones that no narrower pool depends on, if any. Crossing zones costs latency and money, and the
// classes of a narrower pool have nowhere else to go: were its servers filled by others, these classes
// alone would fail, while other servers idle.
//
// Servers that are left to narrower pools are not counted in serversPerReplica either: else the floors of
// two windows would admit twice what one server takes.
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

// excludeUnlessAll leaves out what is unwanted, unless that is all.
func excludeUnlessAll(list []*server, unwanted func(*server) bool) []*server {
	if kept := slices.DeleteFunc(slices.Clone(list), unwanted); len(kept) > 0 {
		return kept
	}
	return list
}

// crossesZones says whether a request may go to all servers of a pool rather than to the preferred ones.
// Where there is a difference it draws, by the cross-zone share.
func (b *Balancer) crossesZones(p *pool) bool {
	n := len(p.preferred)
	return n == 0 || n == len(p.inService) || b.rng.Float64() < max(p.crossZoneShare, minCrossZoneShare)
}

// learnZoneLatency learns from the latency of an attempt whether requests should leave the preferred
// servers. Input: where it ran, and the log of its latency over the class's mean, so that classes of any
// length compare. Output: the cross-zone share. While the preferred servers are slower than the others by
// more than crossZoneGain, more requests leave them, whatever the reason; else fewer. Without this a zone
// that has lost half of its servers would choke while others have capacity; it shows as time-outs and
// rejections in one zone only.
func (p *pool) learnZoneLatency(preferred bool, logRatio float64) {
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
