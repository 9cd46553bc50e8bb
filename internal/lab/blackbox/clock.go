package blackbox

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// silence is what keeps a node from hearing.
type silence struct {
	since time.Duration
	seen  bool // its end would be: it is a watch on which discovery falls silent, not a link
	held  []Event
}

// counted is an event, and when it was written.
type counted struct {
	Event
	written time.Duration
}

// clocked puts what nodes are told at the time at which it counts, by the operators' one clock. What is written to a
// node that does not hear arrives when it hears again, if the connection is up by then; in any case a connection that it
// left open counts as read 6 s after it fell silent. A watch that the node gave up meanwhile brings nothing: what it
// missed comes with the next call, which it owes, and counts 6 s after discovery could be reached, whatever becomes of that. What was written later goes before what counts later.
func clocked(events []Event) []Event {
	silent := map[call]*silence{} // of a node, and a watch of its; "": all
	list := make([]counted, 0, len(events))
	add := func(e Event, at time.Duration) {
		written := e.At
		e.At = at
		list = append(list, counted{e, written})
	}
	for _, e := range events {
		s := silent[call{e.Node, e.ID}]
		if s == nil && e.What == Told {
			s = silent[call{e.Node, ""}]
		}
		switch {
		case e.What == Deaf:
			if s == nil {
				silent[call{e.Node, e.ID}] = &silence{since: e.At, seen: e.Ready}
			}
		case e.What == Start:
			maps.DeleteFunc(silent, func(c call, _ *silence) bool { return c.node == e.Node })
			add(e, e.At)
		case e.What == Told && s != nil:
			s.held = append(s.held, e)
		case e.What == Hears && s != nil:
			for _, t := range s.held {
				if bound := max(t.At, s.since+endpointlease.NotificationDeadline); e.Ready {
					add(t, min(e.At, bound))
				} else if s.seen && bound < e.At-e.Budget { // it kept the watch for longer than the clock lets it
					add(t, bound)
				} else {
					add(t, e.At+endpointlease.NotificationDeadline) // from then on discovery could be reached
				}
			}
			delete(silent, call{e.Node, e.ID})
		case e.What != Hears:
			add(e, e.At)
		}
	}
	for _, s := range silent { // these are open to the end
		for _, t := range s.held {
			if s.seen {
				add(t, max(t.At, s.since+endpointlease.NotificationDeadline))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b counted) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.written, b.written))
	})
	last := map[call]time.Duration{} // of a node and a server: when the news that it has was written
	out := make([]Event, 0, len(list))
	for _, e := range list {
		if key := (call{e.Node, e.Server}); e.What == Told {
			if newest, told := last[key]; told && e.written < newest {
				continue
			}
			last[key] = e.written
		}
		out = append(out, e.Event)
	}
	return out
}
