// Package listclock is the one clock by which a list of servers is held: when discovery is called, when what says
// nothing is broken and has another call beside it, from when on changes count as told although nobody told them, and
// what a node may say of its list meanwhile. It is pure: events go in with the time at which they happened, Step says
// what is to be done, and nothing waits here.
//
// The source (internal/node) feeds it and carries out its steps; the lab's auditor holds nodes to Told.
package listclock

import (
	"slices"
	"time"
)

// The operators' figures, and what a node allows itself within them. A watch that falls silent right after a line is
// noticed 2.8 s later at the latest. Three calls in a row that are lost have the next beside them 0.9 s later each, and
// the fourth still has half a second for its answer. Without such luck 3.2 s are left: a discovery that answers 300
// callers in turn took 1.9 s for the last of them, and these call within half a second of each other.
const (
	Beat      = 2 * time.Second         // a sound watch brings a line so often at least
	Told      = 6 * time.Second         // a change counts as told so long after discovery had it and could be reached
	ToldMoved = 4 * time.Second         // what a new discovery has, after SIGHUP names it
	Object    = 4500 * time.Millisecond // from the first byte of a list till its last

	quiet      = 2300 * time.Millisecond // a watch without a line so long has missed a beat
	quietApart = 500 * time.Millisecond  // by which nodes whose watches fall silent at once call apart
	beside     = 800 * time.Millisecond  // a call without an answer so long has another beside it, where a watch fell silent.
	patient    = 2500 * time.Millisecond // Where one ended or a call was answered with a no, all nodes call at once: more
	besideNext = 500 * time.Millisecond  // calls would lengthen the queue, and what is not answered by then is lost
	quickly    = 3                       // times in a row; who is not answered then calls ever more slowly,
	mostBeside = 3200 * time.Millisecond // but goes on, for it may be heard again
	apart      = 0.125                   // part of that wait by which nodes differ
	mostCalls  = 4                       // calls without an answer at once; the oldest gives way

	// After a call that failed or a watch that ended. A discovery that says no has more callers than it can serve, and each call that it turns down costs it some of what it can: 300 nodes that
	// called again within 0.8 s kept it from serving them for 15 s. Of an agent that is away what it has counts at once.
	againFirst  = 150 * time.Millisecond
	againMost   = 2500 * time.Millisecond
	againPushed = 200 * time.Millisecond
	garbledMost = 2 * time.Second // a service that writes what can't be read is not to be swamped by whole lists
	soundFor    = 2 * garbledMost // a watch that could be read for so long: what was unreadable before is over
)

// Rules are what the settings say of the list.
type Rules struct {
	Pushed    bool          // changes come by themselves, and what the agent has counts as told
	AskWithin time.Duration // else: a list held without a watch binds so long after the last call
}

// Clock is the state of one node's list. The zero Clock with Rules has heard nothing yet.
type Clock struct {
	Rules
	streams []stream
	names   int
	next    time.Duration // no call before, where none is out
	begun   bool          // the first call was wanted or made: the next ones are made unasked
	mute    int           // calls in a row that had to get another beside them
	hurried bool          // the first of them was made because a watch fell silent
	fails   int           // calls in a row that failed
	garbled int           // answers that could not be read, in a row
	current time.Duration // the list held was all that discovery had
	asked   time.Duration // the last call's begin
	down    bool          // discovery is away: nothing binds until it is back
	moved   time.Duration // when the configuration named another discovery; 0: it has been heard since
}

// stream is a call to discovery, and the watch that it becomes with its first list.
type stream struct {
	name   int
	begin  time.Duration
	heard  time.Duration // the last byte
	object time.Duration // when the list that is arriving began; 0: none is
	draw   float64
	listed time.Duration // the first list was whole; 0: none was
}

// Do is what Step wants done.
type Do int

// What is to be done.
const (
	Nothing Do = iota
	Call       // open one more stream
	Drop       // end this stream, which the clock has forgotten: it is not needed any more, or gives way to another
	Stuck      // end this stream: a list had begun there and is not whole in time
)

// Call begins a stream and names it. The draw, from 0 to 1, says when this node acts within the time that all share.
func (c *Clock) Call(now time.Duration, draw float64) (name int) {
	c.names++
	c.streams = append(c.streams, stream{name: c.names, begin: now, heard: now, draw: draw})
	c.asked, c.begun = now, true
	return c.names
}

// Wish notes that the module wants the list to be asked for. Where it is asked for, the first call waits for that.
func (c *Clock) Wish() { c.begun = true }

func (c *Clock) stream(name int) *stream {
	for i := range c.streams {
		if c.streams[i].name == name {
			return &c.streams[i]
		}
	}
	return &stream{} // it was dropped, and says nothing any more
}

// Heard notes a sign of life on a stream: the head of an answer, a line, an empty one too, or a part of a list.
func (c *Clock) Heard(name int, now time.Duration) {
	s := c.stream(name)
	if s.heard, c.down = now, false; s.listed > 0 && s.object == 0 {
		c.current = now // a line of a watch: it holds all that there was
	}
}

// Begun notes the first byte of a list: it is to be whole within Object, whatever comes beside it.
func (c *Clock) Begun(name int, now time.Duration) {
	c.Heard(name, now)
	if s := c.stream(name); s.object == 0 {
		s.object = max(now, 1)
	}
}

// Whole notes that a watch has brought a list or its changes, whole: what discovery had is held.
func (c *Clock) Whole(name int, now time.Duration) {
	s := c.stream(name)
	if s.heard, s.object = now, 0; s.listed == 0 {
		s.listed = max(now, 1)
	}
	c.current, c.moved, c.mute, c.fails, c.down = now, 0, 0, 0, false
}

// Answered notes that a call for the whole list was answered: what discovery had is held, and a watch is to follow.
func (c *Clock) Answered(name int, now time.Duration) {
	c.Whole(name, now)
	c.forget(name)
	c.next = now
}

// Ended notes that a stream is over: refused, reset, or at its end.
func (c *Clock) Ended(name int, now time.Duration) {
	s := c.forget(name)
	if s.name == 0 {
		return
	}
	if s.listed == 0 {
		c.mute = 0 // it was answered, if with a no
		c.fails++
	}
	c.next = now + c.again(s.draw)
}

func (c *Clock) forget(name int) (s stream) {
	s = *c.stream(name)
	c.streams = slices.DeleteFunc(c.streams, func(o stream) bool { return o.name == name })
	return s
}

// again is the wait after a failure.
func (c *Clock) again(draw float64) time.Duration {
	wait := min(againFirst<<min(c.fails, 8), againMost)
	if c.Pushed && c.down {
		return time.Duration((1 + draw) / 2 * float64(min(wait, againPushed)))
	}
	if c.garbled > 1 { // one whole list at once
		wait = max(wait, min(againFirst<<min(c.garbled, 8), garbledMost))
		return time.Duration((1 + draw) / 2 * float64(wait))
	}
	return time.Duration((0.1 + 0.9*draw) * float64(wait))
}

// Garbled notes, before its end, that what a stream brought can't be read or is no list to build on.
func (c *Clock) Garbled(name int, now time.Duration) {
	if s := c.stream(name); s.listed > 0 && now-s.listed > soundFor {
		c.garbled = 0
	}
	c.garbled++
}

// Down notes that discovery can't be reached at all.
func (c *Clock) Down() { c.down = true }

// Moved notes that the configuration names another discovery: what is open is of the old one.
func (c *Clock) Moved(now time.Duration) {
	c.streams, c.next, c.begun = nil, now, true
	c.moved, c.mute, c.fails, c.garbled = max(now, 1), 0, 0, 0
}

// sound is the youngest watch that speaks, and nil if there is none.
func (c *Clock) sound(now time.Duration) (found *stream) {
	for i := range c.streams {
		if s := &c.streams[i]; s.listed > 0 && now < s.silent() {
			found = s
		}
	}
	return found
}

// silent is when a watch counts as broken. Another is opened beside it then: should this one speak again, it is heard.
func (s *stream) silent() time.Duration {
	return s.heard + quiet + time.Duration(s.draw*float64(quietApart))
}

// beside is when a call gets another beside it. A list that has begun to come is waited for.
func (c *Clock) beside(s *stream) time.Duration {
	if s.object > 0 {
		return s.object + Object
	}
	wait := besideNext
	switch {
	case c.mute >= quickly:
		wait = min(beside<<min(c.mute+1-quickly, 4), mostBeside)
	case c.hurried:
		wait = beside
	case c.mute == 0:
		wait = patient
	}
	return s.begin + time.Duration((1+apart*s.draw)*float64(wait))
}

// Step says what is to be done at a time, one thing after another until Nothing, and with that when to look again.
func (c *Clock) Step(now time.Duration) (do Do, name int, look time.Duration) {
	calls, oldest, youngest := 0, 0, (*stream)(nil)
	look = forEver
	for i := range c.streams {
		s := &c.streams[i]
		if s.object > 0 {
			if now >= s.object+Object {
				return Stuck, s.name, 0
			}
			look = min(look, s.object+Object)
		}
		if s.listed == 0 {
			if calls++; calls == 1 {
				oldest = s.name
			}
			youngest = s
		}
	}
	if s := c.sound(now); s != nil {
		if c.streams[0].name != s.name {
			return c.drop(c.streams[0].name)
		}
		if len(c.streams) > 1 {
			return c.drop(c.streams[1].name)
		}
		return Nothing, 0, min(look, s.silent())
	}
	if calls > 0 {
		// One that was turned down beside a call that nobody answers waits too.
		if at := max(c.beside(youngest), c.next); now < at {
			return Nothing, 0, min(look, at)
		}
		if calls == mostCalls {
			return c.drop(oldest)
		}
		c.mute++
		return Call, 0, 0
	}
	at := c.next
	if !c.Pushed && !c.begun {
		at = forEver // the module says when
	}
	if now >= at {
		c.hurried = len(c.streams) > 0 && c.fails == 0
		return Call, 0, 0
	}
	return Nothing, 0, min(look, at)
}

func (c *Clock) drop(name int) (Do, int, time.Duration) {
	c.forget(name)
	return Drop, name, 0
}

// Away says that the last call was refused: discovery is not there.
func (c *Clock) Away() bool { return c.down }

// Binds is from when on a change counts as told that the node has not been told of; it may be past. A change counts no
// earlier than it was made. Whatever a call that failed or was given up allows, it is Told after discovery had it.
func (c *Clock) Binds() time.Duration {
	switch {
	case c.moved > 0:
		return c.moved + ToldMoved
	case c.down: // the agent learns nothing either
		return forEver
	case c.Pushed:
		return 0
	case len(c.streams) > 0:
		return c.current + Told
	}
	return min(c.asked+c.AskWithin, c.current+Told)
}

const forEver = time.Duration(1<<63 - 1)

// State is what a node may say of its list.
type State int

// States.
const (
	Fresh State = iota // a watch speaks: what is held is what discovery has
	Aging              // nothing is heard at present, and nothing binds yet
	Blind              // what discovery has counts as told, and the node can't know it
)

func (s State) String() string { return [...]string{"fresh", "aging", "blind"}[s] }

// State says what the list is worth at a time.
func (c *Clock) State(now time.Duration) State {
	if s := c.sound(now); s != nil && s.object == 0 && c.moved == 0 && now-s.heard <= Beat+Beat/4 {
		return Fresh
	}
	if now < c.Binds() {
		return Aging
	}
	return Blind
}
