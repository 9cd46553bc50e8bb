package model

import (
	"math"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// OverloadDowntime is how long a warming server that fell over stays down.
const OverloadDowntime = 5 * time.Second

// allowedDeviations is how many standard deviations of a Poisson count of requests a warming server bears beyond the
// allowed mean, and how many requests in any case, as the operators count.
const allowedDeviations = 3

// overloadGuard watches what a warming server is sent: a server that gets more than a multiple of what it can do within a
// window falls over, and would take a node's other requests with it.
type overloadGuard struct {
	multiple    float64 // of its capacity; 0: it never falls over
	window      time.Duration
	arrivals    []arrivedWork // within the window
	largestWork float64       // of a request since the start, in seconds
}

// arrivedWork is the work of one request that arrived.
type arrivedWork struct {
	at   time.Duration
	work float64 // in seconds at speed 1
}

// RecordArrival notes work sent to a server and returns whether the server falls over. With a mean allowance of N
// requests in the window it falls with more than N + 3 x root of N + 3 of them. Where the mean work is not known, one
// largest request is granted for chance: an idle server that gets a single long one is not overloaded.
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

// forgetArrivalsBefore drops the arrivals up to a time and returns the work of the others, in seconds.
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

// MeanWork is the mean work of a request at a tier's servers, at speed 1.
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
