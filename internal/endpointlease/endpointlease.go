// Package endpointlease is the one clock by which a list of servers is held: when discovery is called, when what says
// nothing is broken and has another call beside it, and when the lease on the list expires, since from then on changes
// count as told although nobody told them and nothing may be sent on it. It is pure: events go in with the time at which
// they happened, Step says what is to be done, and nothing waits here.
//
// This file has the events, calls.go when to call, lease.go how long the list may be relied on. The source
// (internal/discovery) feeds the clock and carries out its steps; the lab's auditor holds nodes to Told.
package endpointlease

import (
	"slices"
	"time"
)

// The operators' figures.
const (
	HeartbeatInterval               = 2 * time.Second         // a sound watch brings a line so often at least
	NotificationDeadline            = 6 * time.Second         // a change counts as told so long after discovery had it and could be reached
	NotificationDeadlineAfterChange = 4 * time.Second         // what a new discovery has, after SIGHUP names it
	ListTransferTimeout             = 4500 * time.Millisecond // from the first byte of a list till its last
)

const forEver = time.Duration(1<<63 - 1)

// Options are what the settings say of the list.
type Options struct {
	Pushed          bool          // changes come by themselves, and what the agent has counts as told
	MaxPollInterval time.Duration // else: a list held without a watch binds so long after the last call
	Pollers         int           // nodes that call the same discovery, this one among them; 0: it is alone
}

// Tracker is the state of one node's list. The zero Clock with Rules has heard nothing yet.
type Tracker struct {
	Options
	streams    []stream
	names      int
	generation int // how many times the configuration named another discovery

	next    time.Duration // no call before, where none is out
	begun   bool          // the first call was wanted or made: the next ones are made unasked
	mute    int           // calls in a row that had to get another beside them
	hurried bool          // the first of them was made because a watch fell silent
	fails   int           // calls in a row that failed
	crowded bool          // the last of them was turned down at once: discovery is there, and has too many callers
	garbled int           // answers that could not be read, in a row

	current   time.Duration // the list held was all that discovery had
	asked     time.Duration // the last call's begin
	unwatched time.Duration // when the last watch ended, where there is none
	alive     time.Duration // when discovery spoke last, be it to say no at once
	absence   absence
	absent    time.Duration // the begin of the last call that found discovery absent
	fixed     time.Duration // the end of a lease that an outage does not put off; 0: it does
	touched   bool          // discovery could be reached since the list was confirmed last, and told nothing
	moves     []move        // to addresses from which no list has come yet
	watching  bool          // the last watch is open, be it silent; one that ended may be of a discovery that went down
}

// absence says why a discovery that does not tell changes is not held to them.
type absence int

const (
	present      absence = iota
	unreachable          // the last connection was refused, or did not come up
	unresponsive         // connections come up, and calls are turned down after a wait
	hung                 // connections come up, and for long nothing has come of any
)

// move is a configuration that names another discovery.
type move struct {
	generation int // of the streams to that address
	at         time.Duration
}

// Generation counts the addresses so far: it is that of the streams that are called now.
func (c *Tracker) Generation() int { return c.generation }

// DiscoveryChanging says that no list has come yet from the present address.
func (c *Tracker) DiscoveryChanging() bool { return len(c.moves) > 0 }

// mostMoves are kept apart. Of further ones the last is held to the time of the one before it.
const mostMoves = 16

// stream is a call to discovery, and the watch that it becomes with its first list.
type stream struct {
	name       int
	generation int
	begin      time.Duration
	heard      time.Duration // the last byte
	object     time.Duration // when the list that is arriving began; 0: none is
	draw       float64
	reached    bool          // its connection has come up
	listed     time.Duration // the first list was whole; 0: none was
}

// StreamOpened begins a stream and names it. The draw, from 0 to 1, says when this node acts within the time that all share.
func (c *Tracker) StreamOpened(now time.Duration, draw float64) (name int) {
	c.names++
	c.streams = append(c.streams, stream{name: c.names, generation: c.generation, begin: now, heard: now, draw: draw})
	c.asked, c.begun = now, true
	return c.names
}

// RequestPoll notes that the module wants the list to be asked for. Where it is asked for, the first call waits for that.
func (c *Tracker) RequestPoll() { c.begun = true }

func (c *Tracker) stream(name int) *stream {
	for i := range c.streams {
		if c.streams[i].name == name {
			return &c.streams[i]
		}
	}
	return &stream{} // it was dropped, and says nothing any more
}

// Connected notes that a call's connection has come up: discovery can be reached, whether or not it answers.
func (c *Tracker) Connected(name int) {
	c.stream(name).reached = true
	if c.absence == unreachable {
		c.absence = present
	}
}

// Unreachable notes, before its end, that a call's connection was refused or did not come up.
func (c *Tracker) Unreachable(name int) { c.away(unreachable, name) }

// PollRejected notes, before its end, that a call was answered with a no. One that comes at once is of a discovery that is
// there and has too many callers. One that comes late may be of whoever waits for it in vain: a discovery that goes down
// ends its watches, and what stands before it turns calls down after a wait. Where the watch is open and silent, or
// discovery has moved, it may as well be slow.
func (c *Tracker) PollRejected(name int, now time.Duration) {
	s := c.stream(name)
	if s.name == 0 || s.generation != c.generation {
		return
	}
	if c.crowded = now-s.begin <= atOnce; c.crowded {
		c.spoke(now)
	} else if !c.watching {
		c.away(unresponsive, name)
	}
}

// StreamFailed notes, before its end, that a stream was reset or is at its end. A call whose connection had come up, and that
// brought no list, may have been to a discovery that had something to tell.
func (c *Tracker) StreamFailed(name int) {
	s := c.stream(name)
	c.touched = c.touched || s.reached && s.listed == 0
}

// away notes that discovery was absent when a call began. What it may have had before that, while it could be reached and
// told nothing, goes on to count: then the lease keeps its end.
func (c *Tracker) away(how absence, name int) {
	s := c.stream(name)
	if c.absence == present {
		touched := c.touched || slices.ContainsFunc(c.streams, func(o stream) bool { return o.name != name && o.listed == 0 && o.reached })
		began := s.begin
		if c.Pushed { // its watch ended as it went
			began = min(began, c.unwatched)
		}
		if expires := c.Expires(); touched || expires <= began {
			c.fixed = max(expires, 1)
		}
	}
	c.absence, c.absent = how, s.begin
}

// spoke notes that discovery is there.
func (c *Tracker) spoke(now time.Duration) {
	c.alive, c.absence, c.touched = now, present, true
}

// confirm notes that the list held is all that discovery has.
func (c *Tracker) confirm(now time.Duration) { c.current, c.fixed, c.touched = now, 0, false }

// Activity notes a sign of life on a stream: the head of an answer, a line, an empty one too, or a part of a list.
func (c *Tracker) Activity(name int, now time.Duration) {
	c.spoke(now)
	s := c.stream(name)
	if s.heard = now; s.listed > 0 && s.object == 0 {
		c.confirm(now) // a line of a watch: it holds all that there was
	}
}

// ListBegan notes the first byte of a list: it is to be whole within Object, whatever comes beside it.
func (c *Tracker) ListBegan(name int, now time.Duration) {
	c.Activity(name, now)
	if s := c.stream(name); s.object == 0 {
		s.object = max(now, 1)
	}
}

// ListComplete notes that a watch has brought a list or its changes, whole: what discovery had is held.
func (c *Tracker) ListComplete(name int, now time.Duration) {
	c.spoke(now)
	s := c.stream(name)
	if s.heard, s.object = now, 0; s.listed == 0 {
		s.listed = max(now, 1)
	}
	c.confirm(now)
	c.moves = slices.DeleteFunc(c.moves, func(m move) bool { return m.generation <= s.generation })
	if s.generation == c.generation {
		c.mute, c.fails, c.crowded, c.watching = 0, 0, false, true
	}
}

// PollAnswered notes that a call for the whole list was answered: what discovery had is held, and a watch is to follow.
func (c *Tracker) PollAnswered(name int, now time.Duration) {
	c.ListComplete(name, now)
	c.forget(name, now)
	c.next = now
}

// StreamEnded notes that a stream is over: refused, reset, or at its end. One to an earlier address changes no call to the
// present one.
func (c *Tracker) StreamEnded(name int, now time.Duration) {
	s := c.forget(name, now)
	if s.name == 0 || s.generation != c.generation {
		return
	}
	if s.listed == 0 {
		c.mute = 0 // it was answered, if with a no
		c.fails++
	} else if !c.watched() {
		c.watching = false
	}
	c.next = now + c.again(s.draw)
}

// forget takes a stream off the list. Where it was the last watch, the node is without one from now on.
func (c *Tracker) forget(name int, now time.Duration) (s stream) {
	s = *c.stream(name)
	c.streams = slices.DeleteFunc(c.streams, func(o stream) bool { return o.name == name })
	if s.listed > 0 && !c.watched() {
		c.unwatched = now
	}
	return s
}

// watched says that a watch is open, be it silent or to an earlier address.
func (c *Tracker) watched() bool {
	return slices.ContainsFunc(c.streams, func(s stream) bool { return s.listed > 0 })
}

// MalformedList notes, before its end, that what a stream brought can't be read or is no list to build on.
func (c *Tracker) MalformedList(name int, now time.Duration) {
	if s := c.stream(name); s.listed > 0 && now-s.listed > soundFor {
		c.garbled = 0
	}
	c.garbled++
}

// DiscoveryChanged notes that the configuration names another discovery. What is open is of earlier ones: it is heard until a list
// has come from the new one, for until then it may be the last to tell a change.
func (c *Tracker) DiscoveryChanged(now time.Duration) {
	c.generation++
	c.next, c.begun = now, true
	c.mute, c.fails, c.garbled, c.crowded = 0, 0, 0, false
	c.watching = true
	if len(c.moves) == mostMoves {
		c.moves[mostMoves-1].generation = c.generation
		return
	}
	c.moves = append(c.moves, move{generation: c.generation, at: now})
}
