package blackbox

import "time"

// serverStart is the last start of a server: which nodes were notified of it, and what arrived lately.
type serverStart struct {
	notifiedNodes map[string]bool
	arrivals      []Event
}

// recordArrival adds what reached the server, and forgets what came longer ago than the rule looks back.
func (s *serverStart) recordArrival(e Event, window time.Duration) {
	s.arrivals = append(s.arrivals, e)
	for len(s.arrivals) > 0 && s.arrivals[0].At <= e.At-window {
		s.arrivals = s.arrivals[1:]
	}
}

// mostlyFromNotified says that over two thirds of the work that came lately is of nodes that had been notified of the
// start. Only then does an overload break the rule: the others could not know that the server warms up.
func (s *serverStart) mostlyFromNotified() bool {
	var all, notified time.Duration
	for _, e := range s.arrivals {
		all += e.Work
		if s.notifiedNodes[e.Node] {
			notified += e.Work
		}
	}
	return 3*notified > 2*all
}
