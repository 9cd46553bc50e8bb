package blackbox

import "time"

// start is the last start of a server: who was told of it, and what came lately.
type start struct {
	at   time.Duration
	told map[string]bool
	came []Event
}

// note adds what reached the server, and forgets what came longer ago than the rule looks back.
func (s *start) note(e Event, span time.Duration) {
	s.came = append(s.came, e)
	for len(s.came) > 0 && s.came[0].At <= e.At-span {
		s.came = s.came[1:]
	}
}

// known says that over two thirds of the work that came lately is of nodes that had been told of the start: only then does
// a fall break the rule.
func (s *start) known() bool {
	var all, told time.Duration
	for _, e := range s.came {
		all += e.Work
		if s.told[e.Node] {
			told += e.Work
		}
	}
	return 3*told > 2*all
}
