package model

import (
	"math"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// OverloadDowntime is how long a warming server stays down after an overload crashed it.
const OverloadDowntime = 5 * time.Second

// allowedDeviations is how far the number of requests may exceed the allowed mean before a warming server crashes: by
// this many standard deviations of a Poisson count, plus this many requests. The operators use the same definition.
const allowedDeviations = 3

// overloadGuard decides when a warming server crashes from overload: when the work that arrives within a window exceeds
// a multiple of the server's capacity. All requests at the server are then lost.
type overloadGuard struct {
	multiple    float64 // of the server's capacity; 0: the server never crashes from overload
	window      time.Duration
	arrivals    []arrivedWork // within the window
	largestWork float64       // largest work of a request since the start, in seconds
}

// arrivedWork is the work of one request and the time at which the request arrived.
type arrivedWork struct {
	at   time.Duration
	work float64 // in seconds at speed 1
}

// RecordArrival records the work of a request that arrives at a server and reports whether the server crashes from
// overload. If the allowed work in the window is that of N mean requests, the server crashes at more than N + 3 x
// sqrt(N) + 3 of them. If the mean work is not known, the allowance is increased by the largest request instead, so
// that a single long request does not overload an idle server.
func (s *Server) RecordArrival(now, work time.Duration) (overloaded bool) {
	if s.multiple <= 0 || s.WarmShare(now) >= 1 {
		s.arrivals = nil
		return false
	}
	s.arrivals = append(s.arrivals, arrivedWork{now, work.Seconds()})
	s.largestWork = math.Max(s.largestWork, work.Seconds())
	sum := s.forgetArrivalsBefore(now - s.window)
	allowed := s.multiple * s.Capacity(now) * s.window.Seconds()
	if mean := s.MeanWork.Seconds(); mean > 0 {
		n := allowed / mean
		return sum/mean > n+allowedDeviations*math.Sqrt(n)+allowedDeviations
	}
	return sum > allowed+s.largestWork
}

// forgetArrivalsBefore removes the arrivals up to and including begin and returns the work of the others, in seconds.
func (s *Server) forgetArrivalsBefore(begin time.Duration) (sum float64) {
	kept := s.arrivals[:0]
	for _, a := range s.arrivals {
		if a.at > begin {
			kept = append(kept, a)
			sum += a.work
		}
	}
	s.arrivals = kept
	return sum
}

// MeanWork returns the mean work of a request at a tier's servers, at speed 1.
func MeanWork(s *scenario.Scenario, tier int) time.Duration {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		shares += c.Share
	}
	if shares == 0 {
		return 0
	}
	return time.Duration(work / shares * s.Tiers[tier].Work)
}
