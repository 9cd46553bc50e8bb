package blackbox

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// watchKey identifies a watch of a node or, without an ID, all of its watches.
type watchKey struct{ node, id string }

// mutedWatch is a watch, or all watches of a node, on which no updates arrive.
type mutedWatch struct {
	since      time.Duration
	endVisible bool    // the end of the watch will be recorded: discovery stopped writing, and no link was cut
	pending    []Event // the notifications that were written since
}

// timedEvent is an event with its effective time in At, and the time at which it was written.
type timedEvent struct {
	Event
	writtenAt time.Duration
}

// notificationClock computes the effective times of notifications.
type notificationClock struct {
	muted  map[watchKey]*mutedWatch
	events []timedEvent
}

// countNotifications moves each notification to its effective time, from which on the node must act on it:
//
//   - A notification on a muted watch takes effect when the watch is unmuted on the same connection. If the node keeps
//     the connection open, it takes effect at the latest endpointlease.NotificationDeadline after the watch was muted.
//   - A watch that the node gave up delivers nothing. The node must poll instead, so the notification takes effect
//     NotificationDeadline after discovery could be reached, whatever the outcome of the poll.
//   - A notification that was written earlier than one that already took effect for the same server is dropped.
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

// add adds an event that takes effect at a time.
func (c *notificationClock) add(e Event, at time.Duration) {
	written := e.At
	e.At = at
	c.events = append(c.events, timedEvent{e, written})
}

// find returns the muted watch that an event concerns, or nil if that watch is not muted.
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

// unmute adds the notifications that were written while the watch was muted.
func (c *notificationClock) unmute(e Event, m *mutedWatch) {
	for _, p := range m.pending {
		bound := m.bound(p)
		switch {
		case e.onSameConnection():
			c.add(p, min(e.At, bound))
		case m.endVisible && bound < e.At-e.Duration: // the node kept the watch for longer than the lease allows
			c.add(p, bound)
		default:
			c.add(p, e.At+endpointlease.NotificationDeadline) // discovery can be reached from e.At on
		}
	}
}

// end adds the notifications that were written on watches that stay muted to the end of the history.
func (c *notificationClock) end() {
	for _, m := range c.muted {
		for _, p := range m.pending {
			if m.endVisible {
				c.add(p, m.bound(p))
			}
		}
	}
}

// bound returns the latest time at which a notification on an open watch takes effect.
func (m *mutedWatch) bound(e Event) time.Duration {
	return max(e.At, m.since+endpointlease.NotificationDeadline)
}

// dropSuperseded drops the notifications of a server that were written before one that has already taken effect.
func dropSuperseded(events []timedEvent) []Event {
	newest := map[linkKey]time.Duration{} // when the latest effective notification was written
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
