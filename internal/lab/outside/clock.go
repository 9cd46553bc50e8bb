package outside

import (
	"cmp"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/listclock"
)

// askedAnew is how long a node without a watch is held to its list once discovery is there again for it.
const askedAnew = 10 * time.Second

// clocked puts what nodes are told at the time at which it counts, by the operators' one clock. What is written to a
// node that does not hear arrives when it hears again, if the connection is up by then; in any case a connection that it
// left open counts as read 6 s after it fell silent. A watch that the node gave up meanwhile brings nothing: what it
// missed comes with the next call, which it owes.
func clocked(events []Event) []Event {
	type silence struct {
		since time.Duration
		held  []Event
	}
	silent := map[string]*silence{}
	list := make([]Event, 0, len(events))
	for _, e := range events {
		s := silent[e.Node]
		switch {
		case e.What == Deaf:
			if s == nil {
				silent[e.Node] = &silence{since: e.At}
			}
		case e.What == Start:
			delete(silent, e.Node)
			list = append(list, e)
		case e.What == Told && s != nil:
			s.held = append(s.held, e)
		case e.What == Hears && s != nil:
			for _, t := range s.held {
				if t.At = min(e.At, max(t.At, s.since+listclock.Told)); !e.Ready {
					t.At = e.At + askedAnew
				}
				list = append(list, t)
			}
			delete(silent, e.Node)
		case e.What != Hears:
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return list
}
