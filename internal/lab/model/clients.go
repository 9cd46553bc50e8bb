package model

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// IngressDrainDelay is how long the ingress still sends new connections to a node that was asked to stop.
const IngressDrainDelay = 300 * time.Millisecond

// MaxRetries is how often a client retries at most: more often in a retry storm of a magnitude above 1.
func MaxRetries(s *scenario.Scenario, storm float64) int {
	if storm > 1 {
		return int(float64(max(1, s.Clients.Retries)) * storm)
	}
	return s.Clients.Retries
}

// TryTimeout is the time that a client gives a try, out of what it has left: all of it for the last try, otherwise a share
// of the class's deadline.
func TryTimeout(s *scenario.Scenario, class, try, retries int, left time.Duration) time.Duration {
	if try >= retries {
		return left
	}
	return min(left, time.Duration(s.Clients.TryTimeoutShare*float64(s.Classes[class].Deadline)))
}

// LongestDeadline is the longest deadline of all classes.
func LongestDeadline(s *scenario.Scenario) (longest time.Duration) {
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
