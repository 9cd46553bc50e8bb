package balancer

import "slices"

// pool holds the servers that the classes of one placement may use, and what was learned from requests sent
// to them. A server is always chosen from the pool of the request's class, so that no code path can send a
// request to a server that its class must not use. A full, slow or unavailable pool does not block classes
// that may use other servers.
type pool struct {
	allowedZones, allowedKinds []string  // nil: all
	inService                  []*server // listed as ready and not disabled, in the order of their IDs
	preferred                  []*server // the servers to use first (zonepreference.go)

	crossZoneShare      float64 // share of requests that may use servers that are not preferred
	preferredLogLatency float64 // mean log of latency over the class's mean, at preferred servers
	otherLogLatency     float64 // the same at all other servers

	queued            []*request
	inFlight          int     // attempts that count in the admission window
	serversPerReplica float64 // servers that count for this pool (updatePreferredServers), per replica

	window          float64 // attempts admitted at once, on tier 0 (admission.go)
	loadRatio       float64 // mean latency over the latency objective
	unloadedRatio   float64 // the same, of successes while almost no load was shed
	unloadedSamples float64 // number of successes in unloadedRatio
	peakInFlight    float64 // recent peak of inFlight: rises at once and falls slowly
	floorServers    float64 // servers per replica that raise the window's floor (enforceWindowFloor)
	roundingDraw    float64 // from 0 to 1, drawn while the window falls; 0: the window is rounded up
	shedShare       float64 // share of recent requests answered without an attempt

	allDisabled bool // no server is in service, but some would be if operators had not disabled them
}

// allows reports whether the placement of the pool's classes allows them to use a server.
func (p *pool) allows(s *server) bool {
	return (p.allowedZones == nil || slices.Contains(p.allowedZones, s.Zone)) &&
		(p.allowedKinds == nil || slices.Contains(p.allowedKinds, s.Kind))
}

// removeRequest removes a request from a list of requests, in place, and returns the shortened list.
func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(o *request) bool { return o == r })
}
