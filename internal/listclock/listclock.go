// Package listclock is the one clock by which a list of servers is held: when a call or a watch that says nothing is
// broken and has to be made anew, from when on changes count as told although nobody told them, and what a node may
// say of its list meanwhile. It is pure: events go in with the time at which they happened, and nothing waits here.
//
// The source (internal/node) feeds it and sets its timers by GiveUp; the lab's auditor holds nodes to Binds.
package listclock

import "time"

// The operators' figures, and what a node allows itself within them.
const (
	Beat         = 2 * time.Second         // a sound watch brings a line so often at least
	Told         = 6 * time.Second         // what a silent watch missed counts as told so long after it fell silent
	ToldHold     = 2 * time.Second         // of a call that discovery may hold: so long after that, if it is later
	ToldMoved    = 4 * time.Second         // what a new discovery has, after SIGHUP names it
	FailedMore   = 4                       // a list held without a watch binds so many times later after a failed call
	quiet        = 3 * time.Second         // a watch without a line: one beat missed, and half of the next
	spread       = time.Second             // by which nodes whose watches fall silent at once give up apart
	patience     = 3 * time.Second         // a call without an answer; a discovery that answers 300 in turn took 1.9 s
	mostPatience = 10 * time.Second        // one that is slow by nature must be met some time
	Object       = 4500 * time.Millisecond // from the first byte of a list till its last
)

// Rules are what the settings say of the list.
type Rules struct {
	Pushed    bool          // changes come by themselves, and what the agent has counts as told
	AskWithin time.Duration // else: a list held without a watch binds so long after the last call
	Hold      time.Duration // how long discovery may hold a call by the caller's own wish; 0: it may not
}

// Clock is the state of one node's list. The zero Clock with Rules has heard nothing yet.
type Clock struct {
	Rules
	doing  doing
	since  time.Duration // of what is under way: the call's begin, or the last byte
	draw   float64       // from 0 to 1, of this call
	failed bool          // the last call did
	unsaid int           // calls in a row without any answer
	asked  time.Duration // the last call's begin
	down   bool          // discovery is away, and nothing binds until it is back
	moved  time.Duration // when the configuration named another discovery; 0: it has been heard since
	object time.Duration // when the list that is arriving began; 0: none is
}

type doing int

const (
	resting  doing = iota // neither call nor watch
	calling               // a call is out, and nothing has come back
	watching              // the answer is open
)

// Call begins a call. The draw, from 0 to 1, says when this node gives it up within the time that all share.
func (c *Clock) Call(now time.Duration, draw float64) {
	c.doing, c.since, c.asked, c.draw, c.object = calling, now, now, draw, 0
}

// Heard notes a sign of life: the head of an answer, a line, an empty one too, or a part of a list.
func (c *Clock) Heard(now time.Duration) {
	if c.doing == calling {
		c.unsaid = 0
	}
	c.doing, c.since, c.failed, c.down = watching, now, false, false
}

// Begun notes the first byte of a list: it is to be whole within Object, whatever comes beside it.
func (c *Clock) Begun(now time.Duration) {
	if c.object == 0 {
		c.object = now
	}
}

// Whole notes that all that discovery had is held.
func (c *Clock) Whole(now time.Duration) {
	c.Heard(now)
	c.object, c.moved = 0, 0
}

// Ended notes that the call or the watch is over: refused, reset, at its end, or given up.
func (c *Clock) Ended(now time.Duration) {
	if c.doing == calling {
		c.failed = true
		if now >= c.GiveUp() {
			c.unsaid++
		} else { // it was answered, if with a no
			c.unsaid = 0
		}
	}
	c.doing, c.object = resting, 0
}

// Down notes that discovery can't be reached at all.
func (c *Clock) Down() { c.down = true }

// Moved notes that the configuration names another discovery.
func (c *Clock) Moved(now time.Duration) {
	c.moved, c.doing, c.failed, c.unsaid = max(now, 1), resting, false, 0
}

// GiveUp is when what is under way is broken unless something is heard before; 0: nothing is under way.
func (c *Clock) GiveUp() time.Duration {
	apart := time.Duration(c.draw * float64(spread))
	switch c.doing {
	case watching:
		at := c.since + quiet + apart
		if c.object > 0 {
			at = min(at, c.object+Object)
		}
		return at
	case calling:
		wait := patience
		for range min(c.unsaid, 4) { // nobody says how long a call may wait in turn: who is never answered waits longer
			wait = min(wait+wait/2, mostPatience)
		}
		return c.since + max(wait+apart, c.Hold+ToldHold/2)
	}
	return 0
}

// Stuck says, when what is under way is given up, that a list had begun and was not whole.
func (c *Clock) Stuck() bool { return c.object > 0 }

// Binds is from when on a change counts as told that the node has not been told of; it may be past. A change counts no
// earlier than it was made.
func (c *Clock) Binds() time.Duration {
	switch {
	case c.moved > 0:
		return c.moved + ToldMoved
	case c.Pushed && c.down: // the agent learns nothing either
		return forEver
	case c.Pushed:
		return 0
	case c.doing != resting: // a silent one; one that speaks moves this on with each line
		return max(c.since+Told, c.since+c.Hold+ToldHold)
	case c.down:
		return forEver
	case c.failed:
		return c.asked + FailedMore*c.AskWithin
	}
	return c.asked + c.AskWithin
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
	switch {
	case c.doing == watching && c.object == 0 && c.moved == 0 && now-c.since <= Beat+Beat/4:
		return Fresh
	case now < c.Binds():
		return Aging
	}
	return Blind
}
