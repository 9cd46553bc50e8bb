package model

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const (
	// IngressDrainDelay is how long the front still deals connections to a node that has been told to stop.
	IngressDrainDelay = 300 * time.Millisecond
	// OverloadDowntime is how long a cold box that was pushed over stays down.
	OverloadDowntime = 5 * time.Second
)

// MaxRetries is how often a client tries again, at most: more often in a storm of a size above 1.
func MaxRetries(s *scenario.Scenario, storm float64) int {
	if storm > 1 {
		return int(float64(max(1, s.Clients.Retries)) * storm)
	}
	return s.Clients.Retries
}

// TryTimeout is the time that a client gives a try, of what it has left: all of it for the last, else a share of the
// class's deadline.
func TryTimeout(s *scenario.Scenario, class, try, retries int, left time.Duration) time.Duration {
	if try >= retries {
		return left
	}
	return min(left, time.Duration(s.Clients.TryTimeoutShare*float64(s.Classes[class].Deadline)))
}

// LongestDeadline is that of all classes.
func LongestDeadline(s *scenario.Scenario) (longest time.Duration) {
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
