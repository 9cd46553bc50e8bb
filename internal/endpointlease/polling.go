package endpointlease

import "time"

// What a node allows itself within the operators' figures. A watch that falls silent right after a line is noticed 2.8 s
// later at the latest. Where the node is alone, three calls in a row that are lost have the next beside them 0.9 s later
// each, and the fourth still has half a second for its answer. Nodes that share a discovery break their watches together,
// and calls beside calls keep one that handles them in turn from serving anybody: there one lost call is made up for
// within the time, and who is later has its requests refused until it has its list.
const (
	quiet      = 2300 * time.Millisecond // a watch without a line so long has missed a beat
	quietApart = 500 * time.Millisecond  // by which nodes whose watches fall silent at once call apart
	beside     = 800 * time.Millisecond  // a call without an answer so long has another beside it, where a watch fell silent.
	patient    = 2500 * time.Millisecond // Where one ended or a call was answered with a no, all nodes call at once: more
	besideNext = 500 * time.Millisecond  // calls would lengthen the queue, and what is not answered by then is lost
	quickly    = 3                       // times in a row; who is not answered then calls ever more slowly,
	mostBeside = 3200 * time.Millisecond // but goes on, for it may be heard again
	shared     = 2200 * time.Millisecond // the first of these waits where others call the same discovery: it says no after 2 s
	apart      = 0.125                   // part of that wait by which nodes differ
	mostCalls  = 4                       // calls without an answer at once, and as many to earlier addresses
	longest    = 10 * time.Second        // a call is not given up before; a discovery that is slow takes 7 s for one
	atOnce     = time.Second             // a no that comes so soon was not waited for

	// After a call that failed or a watch that ended. A discovery that says no has more callers than it can serve, and each
	// call that it turns down costs it some of what it can: 300 nodes that called again within 0.8 s kept it from serving
	// them for 15 s. Of an agent that is away what it has counts at once.
	againFirst  = 150 * time.Millisecond
	againMost   = 2500 * time.Millisecond
	againAway   = 1500 * time.Millisecond // the next call is over before the lease is that the last one has put off
	againCaller = 25 * time.Millisecond   // of each caller, where discovery turns calls down at once
	againPushed = 200 * time.Millisecond
	garbledMost = 2 * time.Second // a service that writes what can't be read is not to be swamped by whole lists
	soundFor    = 2 * garbledMost // a watch that could be read for so long: what was unreadable before is over
)

// Action is what Step wants done.
type Action int

// What is to be done.
const (
	NoAction           Action = iota
	OpenStream                // open one more stream
	DropStream                // end this stream, which the clock has forgotten: it is not needed any more, or gives way to another
	AbortStalledStream        // end this stream: a list had begun there and is not whole in time
)

// Step says what is to be done at a time, one thing after another until Nothing, and with that when to look again.
func (c *Tracker) Step(now time.Duration) (do Action, name int, look time.Duration) {
	look = forEver
	var calls, earlier int
	var oldest, youngest, oldestEarlier *stream
	for i := range c.streams {
		s := &c.streams[i]
		if s.object > 0 {
			if now >= s.object+ListTransferTimeout {
				return AbortStalledStream, s.name, 0
			}
			look = min(look, s.object+ListTransferTimeout)
		}
		if s.generation != c.generation {
			if earlier++; earlier == 1 {
				oldestEarlier = s
			}
		} else if s.listed == 0 {
			if calls++; calls == 1 {
				oldest = s
			}
			youngest = s
		}
	}
	switch s := c.sound(now); {
	case s != nil:
		return c.keepOnly(s, min(look, s.silent()), now)
	case earlier > mostCalls:
		return c.drop(oldestEarlier.name, now)
	case calls > 0:
		return c.callBeside(oldest, youngest, calls, look, now)
	}
	at := c.next
	if !c.Pushed && !c.begun {
		at = forEver // the module says when
	}
	if now >= at {
		c.hurried = c.watched() && c.fails == 0
		return OpenStream, 0, 0
	}
	return NoAction, 0, min(look, at)
}

// keepOnly drops all streams but a watch that speaks.
func (c *Tracker) keepOnly(s *stream, look, now time.Duration) (Action, int, time.Duration) {
	if len(c.streams) == 1 {
		return NoAction, 0, look
	}
	if c.streams[0].name != s.name {
		return c.drop(c.streams[0].name, now)
	}
	return c.drop(c.streams[1].name, now)
}

// callBeside makes a call beside those that are out once the youngest has waited long enough. The oldest is the one that
// a slow discovery answers first: it gives way only when no answer can come of it any more.
func (c *Tracker) callBeside(oldest, youngest *stream, calls int, look, now time.Duration) (Action, int, time.Duration) {
	// One that was turned down beside a call that nobody answers waits too.
	at := max(c.beside(youngest), c.next)
	if calls == mostCalls {
		at = max(at, oldest.begin+longest)
	}
	if now < at {
		return NoAction, 0, min(look, at)
	}
	if calls == mostCalls {
		return c.drop(oldest.name, now)
	}
	c.mute++
	return OpenStream, 0, 0
}

func (c *Tracker) drop(name int, now time.Duration) (Action, int, time.Duration) {
	c.forget(name, now)
	return DropStream, name, 0
}

// sound is the youngest watch at the present address that speaks, and nil if there is none.
func (c *Tracker) sound(now time.Duration) (found *stream) {
	for i := range c.streams {
		if s := &c.streams[i]; s.generation == c.generation && s.listed > 0 && now < s.silent() {
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
func (c *Tracker) beside(s *stream) time.Duration {
	if s.object > 0 {
		return s.object + ListTransferTimeout
	}
	wait := besideNext
	switch {
	case c.Pollers > 1:
		wait = min(shared<<min(c.mute, 1), mostBeside)
	case c.mute >= quickly:
		wait = min(beside<<min(c.mute+1-quickly, 4), mostBeside)
	case c.hurried:
		wait = beside
	case c.mute == 0:
		wait = patient
	}
	return s.begin + time.Duration((1+apart*s.draw)*float64(wait))
}

// again is the wait after a failure.
func (c *Tracker) again(draw float64) time.Duration {
	most := againMost
	if c.crowded {
		most = max(most, time.Duration(c.Pollers)*againCaller)
	}
	if c.Unavailable() {
		most = againAway
	}
	wait := min(againFirst<<min(c.fails, 8), most)
	if c.Pushed && c.Unavailable() {
		return time.Duration((1 + draw) / 2 * float64(min(wait, againPushed)))
	}
	if c.garbled > 1 { // one whole list at once
		wait = max(wait, min(againFirst<<min(c.garbled, 8), garbledMost))
		return time.Duration((1 + draw) / 2 * float64(wait))
	}
	return time.Duration((0.1 + 0.9*draw) * float64(wait))
}
