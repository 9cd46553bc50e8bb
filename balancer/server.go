package balancer

import "time"

// server is a listed server, or one that has left with attempts of ours still out. Its states, several of
// which hold at once, and who changes them:
//
//	listed          on the endpoint list: listed is true (applyEndpointUpdate)
//	draining        listed as Draining: finishes its attempts, is sent no other (applyEndpointUpdate)
//	disabled        by an operator: in Balancer.overrides, whatever discovery says (applyOverride)
//	in service      listed, Ready and not disabled: in the pools that allow it (refreshPools)
//	ejected         an outlier until ejectedUntil (recordFailure)
//	on probation    ejected before, with no success since: ejectionLevel > 0 and consecutiveSuccesses is 0
//	                (isOutlier); each full run of successes takes one level back (recordHealthy)
//	warming up      started less than SlowStartDuration ago (slowStartAdmits)
//	at capacity     has rejected an attempt: takes capacityLimit attempts at once until capacityLimitUntil
//	                (learnRejection)
//	forgotten       neither listed nor with attempts out (refreshPools, handleAttemptEnded)
//
// A new start, and being enabled by an operator, resets all but the attempts in flight.
type server struct {
	Server
	listed   bool
	inFlight []*attempt // own attempts that are out, in order of sending

	consecutiveFailures  int
	ejectionLevel        int // doublings of the next ejection
	consecutiveSuccesses int
	ejectedUntil         time.Duration
	lastSuccess          time.Duration

	capacityLimit         int           // own attempts that it had when it rejected one more
	capacityLimitUntil    time.Duration // until then no more than capacityLimit are sent at once
	consecutiveRejections int

	enabledAt       time.Duration // when an operator enabled it again
	firstRequestDue time.Duration // unused since it was enabled: when it is given a request; 0: it is in use
}

// startedAt is when a server began to serve: its process's start, or when it was enabled, if that was
// later.
func (s *server) startedAt() time.Duration { return max(s.StartTime, s.enabledAt) }

// inFlightCount is how many own attempts are out at a server.
func (s *server) inFlightCount() int { return len(s.inFlight) }
