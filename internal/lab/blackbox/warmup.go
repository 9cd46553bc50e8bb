package blackbox

import "time"

// serverStart is the latest start of a server: the nodes that were notified of it, and the recent arrivals.
type serverStart struct {
	notifiedNodes map[string]bool
	arrivals      []Event
}

// recordArrival adds an arrival and drops those that are older than the window of the rule.
func (s *serverStart) recordArrival(e Event, window time.Duration) {
	s.arrivals = append(s.arrivals, e)
	for len(s.arrivals) > 0 && s.arrivals[0].At <= e.At-window {
		s.arrivals = s.arrivals[1:]
	}
}

// mostlyFromNotified reports whether more than two thirds of the recent work was sent by nodes that had been notified of
// the start. Only then does an overload break the rule: the other nodes could not know that the server is warming up.
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
