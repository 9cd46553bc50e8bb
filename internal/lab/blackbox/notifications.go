package blackbox

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// watchKey is a watch of a node; without an ID, all of its watches.
type watchKey struct{ node, id string }

// mutedWatch is a watch, or all watches of a node, on which nothing arrives.
type mutedWatch struct {
	since      time.Duration
	endVisible bool    // its end will be seen: discovery has muted a watch, no link is cut
	pending    []Event // what was written since
}

// timedEvent is an event at the time at which it counts, and when it was written.
type timedEvent struct {
	Event
	writtenAt time.Duration
}

// notificationClock puts notifications at the time at which they count.
type notificationClock struct {
	muted  map[watchKey]*mutedWatch
	events []timedEvent
}

// countNotifications puts what nodes are notified of at the time at which it counts, by the operators' one clock. What is
// written to a muted node arrives when it is unmuted, if the connection is still up by then; in any case a connection that
// the node left open counts as read endpointlease.NotificationDeadline after it was muted. A watch that the node gave up
// brings nothing: what it missed comes with the next poll, which the node owes, and counts that deadline after discovery
// could be reached, whatever becomes of the poll. Of one server, what was written later replaces what counts later.
func countNotifications(events []Event) []Event {
	c := &notificationClock{muted: map[watchKey]*mutedWatch{}, events: make([]timedEvent, 0, len(events))}
	for _, e := range events {
		c.apply(e)
	}
	c.end()
	slices.SortStableFunc(c.events, func(a, b timedEvent) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.writtenAt, b.writtenAt))
	})
	return dropSuperseded(c.events)
}

// add adds an event that counts at a time.
func (c *notificationClock) add(e Event, at time.Duration) {
	written := e.At
	e.At = at
	c.events = append(c.events, timedEvent{e, written})
}

// find returns the muted watch that an event is about; nil: it is not muted.
func (c *notificationClock) find(e Event) *mutedWatch {
	m := c.muted[watchKey{e.Node, e.ID}]
	if m == nil && e.Kind == EndpointNotified {
		m = c.muted[watchKey{e.Node, ""}]
	}
	return m
}

func (c *notificationClock) apply(e Event) {
	m := c.find(e)
	switch {
	case e.Kind == WatchMuted:
		if m == nil {
			c.muted[watchKey{e.Node, e.ID}] = &mutedWatch{since: e.At, endVisible: e.endVisible()}
		}
	case e.Kind == NodeStarted:
		maps.DeleteFunc(c.muted, func(k watchKey, _ *mutedWatch) bool { return k.node == e.Node })
		c.add(e, e.At)
	case e.Kind == EndpointNotified && m != nil:
		m.pending = append(m.pending, e)
	case e.Kind == WatchUnmuted && m != nil:
		c.unmute(e, m)
		delete(c.muted, watchKey{e.Node, e.ID})
	case e.Kind != WatchUnmuted:
		c.add(e, e.At)
	}
}

// unmute has what was written in the meantime count.
func (c *notificationClock) unmute(e Event, m *mutedWatch) {
	for _, p := range m.pending {
		bound := m.bound(p)
		switch {
		case e.onSameConnection():
			c.add(p, min(e.At, bound))
		case m.endVisible && bound < e.At-e.Duration: // it kept the watch for longer than the lease allows
			c.add(p, bound)
		default:
			c.add(p, e.At+endpointlease.NotificationDeadline) // from then on discovery could be reached
		}
	}
}

// end has what was written on watches that stay open to the end count.
func (c *notificationClock) end() {
	for _, m := range c.muted {
		for _, p := range m.pending {
			if m.endVisible {
				c.add(p, m.bound(p))
			}
		}
	}
}

// bound is when a notification on an open watch counts at the latest.
func (m *mutedWatch) bound(e Event) time.Duration {
	return max(e.At, m.since+endpointlease.NotificationDeadline)
}

// dropSuperseded drops the notifications of a server that were written before one that already counts.
func dropSuperseded(events []timedEvent) []Event {
	newest := map[linkKey]time.Duration{} // when the last notification that counts was written
	out := make([]Event, 0, len(events))
	for _, e := range events {
		if key := (linkKey{e.Node, e.Server}); e.Kind == EndpointNotified {
			if last, notified := newest[key]; notified && e.writtenAt < last {
				continue
			}
			newest[key] = e.writtenAt
		}
		out = append(out, e.Event)
	}
	return out
}
