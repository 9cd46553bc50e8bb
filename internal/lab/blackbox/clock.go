package blackbox

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// mutedWatch is what keeps a node from hearing.
type mutedWatch struct {
	since      time.Duration
	endVisible bool // its end would be: it is a watch on which discovery falls silent, not a link
	pending    []Event
}

// timedEvent is an event, and when it was written.
type timedEvent struct {
	Event
	written time.Duration
}

// countNotifications puts what nodes are told at the time at which it counts, by the operators' one clock. What is written to a
// node that does not hear arrives when it hears again, if the connection is up by then; in any case a connection that it
// left open counts as read 6 s after it fell silent. A watch that the node gave up meanwhile brings nothing: what it
// missed comes with the next call, which it owes, and counts 6 s after discovery could be reached, whatever becomes of that. What was written later goes before what counts later.
func countNotifications(events []Event) []Event {
	silent := map[requestKey]*mutedWatch{} // of a node, and a watch of its; "": all
	list := make([]timedEvent, 0, len(events))
	add := func(e Event, at time.Duration) {
		written := e.At
		e.At = at
		list = append(list, timedEvent{e, written})
	}
	for _, e := range events {
		s := silent[requestKey{e.Node, e.ID}]
		if s == nil && e.Kind == EndpointNotified {
			s = silent[requestKey{e.Node, ""}]
		}
		switch {
		case e.Kind == WatchMuted:
			if s == nil {
				silent[requestKey{e.Node, e.ID}] = &mutedWatch{since: e.At, endVisible: e.Ready}
			}
		case e.Kind == NodeStarted:
			maps.DeleteFunc(silent, func(c requestKey, _ *mutedWatch) bool { return c.node == e.Node })
			add(e, e.At)
		case e.Kind == EndpointNotified && s != nil:
			s.pending = append(s.pending, e)
		case e.Kind == WatchUnmuted && s != nil:
			for _, t := range s.pending {
				if bound := max(t.At, s.since+endpointlease.NotificationDeadline); e.Ready {
					add(t, min(e.At, bound))
				} else if s.endVisible && bound < e.At-e.Duration { // it kept the watch for longer than the clock lets it
					add(t, bound)
				} else {
					add(t, e.At+endpointlease.NotificationDeadline) // from then on discovery could be reached
				}
			}
			delete(silent, requestKey{e.Node, e.ID})
		case e.Kind != WatchUnmuted:
			add(e, e.At)
		}
	}
	for _, s := range silent { // these are open to the end
		for _, t := range s.pending {
			if s.endVisible {
				add(t, max(t.At, s.since+endpointlease.NotificationDeadline))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b timedEvent) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.written, b.written))
	})
	last := map[requestKey]time.Duration{} // of a node and a server: when the news that it has was written
	out := make([]Event, 0, len(list))
	for _, e := range list {
		if key := (requestKey{e.Node, e.Server}); e.Kind == EndpointNotified {
			if newest, told := last[key]; told && e.written < newest {
				continue
			}
			last[key] = e.written
		}
		out = append(out, e.Event)
	}
	return out
}
