package listclock

import (
	"testing"
	"time"
)

const s = time.Second

// Each row is a course of events, what the clock then says of giving up, of what binds, and of the list.
func TestOneClock(t *testing.T) {
	asked, pushed := Rules{AskWithin: 10 * s}, Rules{Pushed: true, AskWithin: 10 * s}
	for name, row := range map[string]struct {
		rules  Rules
		course func(c *Clock)
		giveUp time.Duration
		binds  time.Duration
		at     time.Duration
		state  State
	}{
		"a new process has asked nothing":         {asked, func(c *Clock) {}, 0, 10 * s, s, Aging},
		"a call that nobody answers":              {asked, func(c *Clock) { c.Call(s, 0) }, 4 * s, 7 * s, 7 * s, Blind},
		"a call given up late by the draw":        {asked, func(c *Clock) { c.Call(s, 1) }, 5 * s, 7 * s, 6 * s, Aging},
		"a call that discovery may hold for 30 s": {Rules{AskWithin: 10 * s, Hold: 30 * s}, func(c *Clock) { c.Call(s, 0) }, 32 * s, 33 * s, 32 * s, Aging},
		"a watch that speaks":                     {asked, func(c *Clock) { c.Call(0, 0); c.Whole(s); c.Heard(3 * s) }, 6 * s, 9 * s, 5 * s, Fresh},
		"a watch that missed a beat":              {asked, func(c *Clock) { c.Call(0, 0.5); c.Whole(s) }, 4*s + s/2, 7 * s, 4 * s, Aging},
		"a watch silent for over 6 s":             {asked, func(c *Clock) { c.Call(0, 0); c.Whole(s) }, 4 * s, 7 * s, 7 * s, Blind},
		"the head of an answer and no list":       {asked, func(c *Clock) { c.Call(0, 0); c.Heard(s) }, 4 * s, 7 * s, 2 * s, Fresh},
		"a list that begins and never ends": {asked, func(c *Clock) {
			c.Call(0, 1)
			c.Heard(s)
			c.Begun(s)
			for at := 2 * s; at <= 5*s; at += s {
				c.Heard(at)
			}
		}, s + Object, 11 * s, 5 * s, Aging},
		"a call refused":       {asked, func(c *Clock) { c.Call(s, 0); c.Ended(2 * s) }, 0, 41 * s, 20 * s, Aging},
		"a watch that ended":   {asked, func(c *Clock) { c.Call(s, 0); c.Whole(2 * s); c.Ended(3 * s) }, 0, 11 * s, 12 * s, Blind},
		"discovery is away":    {asked, func(c *Clock) { c.Call(s, 0); c.Ended(s); c.Down() }, 0, forEver, 60 * s, Aging},
		"and back":             {asked, func(c *Clock) { c.Down(); c.Call(50*s, 0); c.Heard(51 * s) }, 54 * s, 57 * s, 52 * s, Fresh},
		"another discovery":    {asked, func(c *Clock) { c.Call(0, 0); c.Whole(s); c.Moved(2 * s) }, 0, 6 * s, 6 * s, Blind},
		"and its list":         {asked, func(c *Clock) { c.Moved(2 * s); c.Call(2*s, 0); c.Whole(3 * s) }, 6 * s, 9 * s, 4 * s, Fresh},
		"pushed, no watch yet": {pushed, func(c *Clock) { c.Call(s, 0) }, 4 * s, 0, s, Blind},
		"pushed, a watch":      {pushed, func(c *Clock) { c.Call(s, 0); c.Whole(s) }, 4 * s, 0, 2 * s, Fresh},
		"pushed, an outage":    {pushed, func(c *Clock) { c.Call(s, 0); c.Ended(s); c.Down() }, 0, forEver, 9 * s, Aging},
		"pushed, after SIGHUP": {pushed, func(c *Clock) { c.Call(s, 0); c.Whole(s); c.Moved(5 * s) }, 0, 9 * s, 8 * s, Aging},
	} {
		c := &Clock{Rules: row.rules}
		row.course(c)
		if g, b, st := c.GiveUp(), c.Binds(), c.State(row.at); g != row.giveUp || b != row.binds || st != row.state {
			t.Errorf("%s: gives up at %v, bound from %v, %v at %v; want %v, %v, %v", name, g, b, st, row.at, row.giveUp, row.binds, row.state)
		}
	}
}

// Whatever the draw, what falls silent is given up while there is time to ask anew within the clock: the longest answer of
// a discovery with 300 callers took 1.9 s.
func TestGivenUpInTime(t *testing.T) {
	for draw := 0.0; draw <= 1; draw += 0.1 {
		c := &Clock{Rules: Rules{AskWithin: 10 * s}}
		c.Call(0, draw)
		if left := c.Binds() - c.GiveUp(); left < 2*s {
			t.Errorf("draw %v: a call leaves %v", draw, left)
		}
		c.Whole(s)
		if left := c.Binds() - c.GiveUp(); left < 2*s {
			t.Errorf("draw %v: a watch leaves %v", draw, left)
		}
	}
}

// A discovery that is slow by nature is met: who is never answered waits longer each time, up to a limit, and one answer
// ends that.
func TestUnansweredCallsWaitLonger(t *testing.T) {
	c, now, last := &Clock{Rules: Rules{AskWithin: 10 * s}}, time.Duration(0), time.Duration(0)
	for n := range 6 {
		c.Call(now, 0)
		wait := c.GiveUp() - now
		if wait < last || wait > mostPatience || n > 0 && wait == patience {
			t.Fatalf("call %d waits %v after %v", n, wait, last)
		}
		now, last = c.GiveUp(), wait
		c.Ended(now)
	}
	if last != mostPatience {
		t.Errorf("the sixth waits %v", last)
	}
	c.Call(now, 0)
	c.Ended(now + 1) // a no is an answer
	if c.Call(now, 0); c.GiveUp() != now+patience {
		t.Errorf("after an answer a call waits %v", c.GiveUp()-now)
	}
}
