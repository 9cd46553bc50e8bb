package policies

import "math"

// leftShare is the share of the servers that forms the left group of TwoLeft.
const leftShare = 0.5

// maxFirstIndex bounds the random index at which round-robin starts, so that nodes don't all start with the same
// server.
const maxFirstIndex = 1 << 20

// chooser chooses one of the servers, of which there is at least one.
type chooser func(servers []*endpoint) *endpoint

// random chooses a server at random.
func (r *reference) random(servers []*endpoint) *endpoint { return servers[r.rng.IntN(len(servers))] }

// roundRobin chooses the servers in turn.
func (r *reference) roundRobin() chooser {
	next := r.rng.IntN(maxFirstIndex)
	return func(servers []*endpoint) *endpoint {
		next++
		return servers[next%len(servers)]
	}
}

// leastOfTwo draws two different servers and chooses the one with fewer attempts in flight. Ties go to the first.
func (r *reference) leastOfTwo(servers []*endpoint) *endpoint {
	i := r.rng.IntN(len(servers))
	j := (i + 1 + r.rng.IntN(max(1, len(servers)-1))) % len(servers)
	if servers[j].inFlight < servers[i].inFlight {
		return servers[j]
	}
	return servers[i]
}

// twoRandom draws two servers with replacement and chooses the one with fewer attempts in flight. Ties are broken at
// random.
func (r *reference) twoRandom(servers []*endpoint) *endpoint {
	first, second := servers[r.rng.IntN(len(servers))], servers[r.rng.IntN(len(servers))]
	if second.inFlight < first.inFlight || second.inFlight == first.inFlight && r.rng.IntN(2) == 0 {
		return second
	}
	return first
}

// twoLeft draws one server from the left group and one from the others, and chooses the one with fewer attempts in
// flight. Ties go to the left group.
func (r *reference) twoLeft(servers []*endpoint) *endpoint {
	cut := int(math.Round(leftShare * float64(len(servers))))
	if cut == 0 || cut == len(servers) {
		return servers[r.rng.IntN(len(servers))]
	}
	left, right := servers[r.rng.IntN(cut)], servers[cut+r.rng.IntN(len(servers)-cut)]
	if right.inFlight < left.inFlight {
		return right
	}
	return left
}

// shortestQueue chooses the server that actually holds the fewest requests. Ties are broken at random.
func (r *reference) shortestQueue(inFlight InFlight) chooser {
	return func(servers []*endpoint) (best *endpoint) {
		fewest, ties := math.MaxInt, 0
		for _, s := range servers {
			held := inFlight(s.ID)
			switch {
			case held < fewest:
				best, fewest, ties = s, held, 1
			case held == fewest:
				if ties++; r.rng.IntN(ties) == 0 {
					best = s
				}
			}
		}
		return best
	}
}
