package balancer

import "slices"

// pool is the servers open to the classes of one placement, and what was learned of sending to them. Every
// draw is from a pool, so that no path leads to a server that is closed to the class, and a pool that is
// full, slow or dead stops no class that may go elsewhere.
type pool struct {
	allowedZones, allowedKinds []string  // nil: all
	inService                  []*server // listed as ready, not disabled; in the order of their IDs
	preferred                  []*server // those to use first (zonepreference.go)

	crossZoneShare      float64 // share of requests that may go to servers that are not preferred
	preferredLogLatency float64 // mean log of latency over the class mean, at preferred servers
	otherLogLatency     float64 // the same at the others

	queued            []*request
	inFlight          int     // attempts that count in the window
	serversPerReplica float64 // servers that count for this pool (preferServers), over the replicas

	window          float64 // attempts admitted at once, on tier 0 (admission.go)
	loadRatio       float64 // mean latency over the latency objective
	unloadedRatio   float64 // the same of answers while no load was shed
	unloadedSamples float64 // their count
	peakInFlight    float64 // inFlight, quick to rise and slow to fall
	floorServers    float64 // servers a replica for which minWindowPerServer is granted (keepWindowFloor)
	roundingDraw    float64 // from 0 to 1, drawn while the window falls; 0: the window is rounded up
	shedShare       float64 // share of requests answered without an attempt

	allDisabled bool // no server is in service, and some would be if operators had not disabled them
}

// allows says that the placement of a pool's classes lets them go to a server.
func (p *pool) allows(s *server) bool {
	return (p.allowedZones == nil || slices.Contains(p.allowedZones, s.Zone)) &&
		(p.allowedKinds == nil || slices.Contains(p.allowedKinds, s.Kind))
}

// removeRequest takes a request out of a list of requests.
func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(o *request) bool { return o == r })
}
