package balancer

import "time"

// server is a server on the endpoint list, or one that has left the list but still has attempts of this
// replica in flight. Its states, several of which can hold at once, and the functions that change them:
//
//	listed          on the endpoint list: listed is true (applyEndpointUpdate)
//	draining        listed as Draining: finishes its attempts and is sent no others (applyEndpointUpdate)
//	disabled        by an operator, whatever discovery says: in Balancer.overrides (applyOverride)
//	in service      listed, Ready and not disabled: in the pools that allow it (refreshPools)
//	ejected         an outlier until ejectedUntil (recordFailure)
//	on probation    ejected before, without a success since: ejectionLevel > 0 and consecutiveSuccesses is 0
//	                (isOutlier); each full run of successes lowers ejectionLevel by one (endFailureRun)
//	warming up      started less than SlowStartDuration ago (slowStartAdmits)
//	at capacity     has rejected an attempt: is given at most capacityLimit attempts at once until
//	                capacityLimitUntil (recordRejection)
//	removed         not listed, and without attempts in flight (refreshPools, handleAttemptEnded)
//
// A restart, or an operator enabling the server, resets all of this except the attempts in flight.
type server struct {
	Server
	listed   bool
	inFlight []*attempt // own attempts (those of this replica) in flight, in the order of sending

	consecutiveFailures  int
	ejectionLevel        int // how many times the duration of the next ejection is doubled
	consecutiveSuccesses int
	ejectedUntil         time.Duration
	lastSuccess          time.Duration

	capacityLimit         int           // own attempts in flight when it rejected one more
	capacityLimitUntil    time.Duration // until then at most capacityLimit own attempts are in flight
	consecutiveRejections int

	enabledAt       time.Duration // when an operator last enabled it
	firstRequestDue time.Duration // when to send it a request if unused since enabledAt; 0: it is in use
}

// startedAt returns when a server began to serve: the start of its process, or the time at which an operator
// enabled it, whichever is later.
func (s *server) startedAt() time.Duration { return max(s.StartTime, s.enabledAt) }

// inFlightCount returns the number of own attempts in flight at a server.
func (s *server) inFlightCount() int { return len(s.inFlight) }
