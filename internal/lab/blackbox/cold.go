package blackbox

import "time"

// serverStart is the last start of a server: who was told of it, and what came lately.
type serverStart struct {
	startedAt     time.Duration
	notifiedNodes map[string]bool
	arrivals      []Event
}

// recordArrival adds what reached the server, and forgets what came longer ago than the rule looks back.
func (s *serverStart) recordArrival(e Event, span time.Duration) {
	s.arrivals = append(s.arrivals, e)
	for len(s.arrivals) > 0 && s.arrivals[0].At <= e.At-span {
		s.arrivals = s.arrivals[1:]
	}
}

// mostlyFromNotified says that over two thirds of the work that came lately is of nodes that had been told of the start: only then does
// a fall break the rule.
func (s *serverStart) mostlyFromNotified() bool {
	var all, told time.Duration
	for _, e := range s.arrivals {
		all += e.Work
		if s.notifiedNodes[e.Node] {
			told += e.Work
		}
	}
	return 3*told > 2*all
}
