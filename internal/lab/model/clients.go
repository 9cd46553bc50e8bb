package model

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// IngressDrainDelay is how long the ingress still sends new connections to a node after the node received SIGTERM.
const IngressDrainDelay = 300 * time.Millisecond

// MaxRetries returns how many times a client retries a request at most. A retry storm with a magnitude above 1
// multiplies that number.
func MaxRetries(s *scenario.Scenario, storm float64) int {
	if storm > 1 {
		return int(float64(max(1, s.Clients.Retries)) * storm)
	}
	return s.Clients.Retries
}

// TryTimeout returns the timeout of a client's try. The last try gets all of the time left until the deadline; earlier
// tries get a share of the class's deadline, but no more than the time left.
func TryTimeout(s *scenario.Scenario, class, try, retries int, left time.Duration) time.Duration {
	if try >= retries {
		return left
	}
	return min(left, time.Duration(s.Clients.TryTimeoutShare*float64(s.Classes[class].Deadline)))
}

// LongestDeadline returns the longest deadline of all classes.
func LongestDeadline(s *scenario.Scenario) (longest time.Duration) {
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
