package endpointlease

import (
	"testing"
	"time"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

// Each row is a course of events on the first streams that are opened, what the clock then says of looking again, of
// what binds, and of the list.
func TestOneClock(t *testing.T) {
	asked, pushed := Options{MaxPollInterval: 10 * s}, Options{Pushed: true, MaxPollInterval: 10 * s}
	slow := Options{MaxPollInterval: 60 * s}
	for name, row := range map[string]struct {
		rules   Options
		course  func(c *Tracker)
		at      time.Duration // the time of what follows
		look    time.Duration // 0: something is to be done
		expires time.Duration
		state   State
	}{
		"a new process has asked nothing": {asked, func(c *Tracker) {}, s, forEver, 6 * s, Aging},
		"a call that nobody answers":      {asked, func(c *Tracker) { c.StreamOpened(s, 0) }, s + patient - 1, s + patient, 6 * s, Aging},
		"and has another beside it":       {asked, func(c *Tracker) { c.StreamOpened(s, 0) }, s + patient, 0, 6 * s, Aging},
		"a little later by the draw":      {asked, func(c *Tracker) { c.StreamOpened(s, 1) }, s + patient, s + patient*9/8, 6 * s, Aging},
		"sooner where a watch is silent":  {asked, func(c *Tracker) { c.StreamOpened(0, 0); c.ListComplete(1, s); c.Step(4 * s); c.StreamOpened(4*s, 0) }, 4 * s, 4*s + beside, 7 * s, Aging},
		"a watch that speaks":             {asked, func(c *Tracker) { c.StreamOpened(0, 0); c.ListComplete(1, s); c.Activity(1, 3*s) }, 5 * s, 5*s + 300*ms, 9 * s, Fresh},
		"a watch that missed a beat":      {asked, func(c *Tracker) { c.StreamOpened(0, 1); c.ListComplete(1, s) }, 3*s + 700*ms, 3*s + 800*ms, 7 * s, Aging},
		"a watch silent for over 6 s":     {asked, func(c *Tracker) { c.StreamOpened(0, 0); c.ListComplete(1, s) }, 7 * s, 0, 7 * s, Expired},
		"the head of an answer and no list": {asked, func(c *Tracker) { c.StreamOpened(0, 0); c.Activity(1, 500*ms) }, 700 * ms, patient, 6 * s,
			Aging},
		"a list that begins and never ends": {asked, func(c *Tracker) {
			c.StreamOpened(0, 1)
			c.ListBegan(1, s)
			for at := 2 * s; at <= 5*s; at += s {
				c.Activity(1, at)
			}
		}, 5 * s, s + ListTransferTimeout, 6 * s, Aging},
		"a call refused": {slow, func(c *Tracker) { c.StreamOpened(s, 0); c.StreamEnded(1, 2*s) }, 2 * s, 2*s + againFirst/5, 6 * s, Aging},
		"after a list": {slow, func(c *Tracker) {
			c.StreamOpened(s, 0)
			c.ListComplete(1, s)
			c.StreamEnded(1, 2*s)
			c.StreamOpened(3*s, 0)
			c.StreamEnded(2, 3*s)
		}, 5 * s, 0, 7 * s, Aging},
		"a watch that ended":        {asked, func(c *Tracker) { c.StreamOpened(s, 0); c.ListComplete(1, 2*s); c.StreamEnded(1, 3*s) }, 3 * s, 3*s + againFirst/10, 8 * s, Aging},
		"asked for more often":      {Options{MaxPollInterval: 2 * s}, func(c *Tracker) { c.StreamOpened(s, 0); c.ListComplete(1, 2*s); c.StreamEnded(1, 3*s) }, 3 * s, 3*s + againFirst/10, 3 * s, Expired},
		"the module wants a list":   {asked, func(c *Tracker) { c.RequestPoll() }, s, 0, 6 * s, Aging},
		"but not beside a stream":   {asked, func(c *Tracker) { c.StreamOpened(s, 0); c.RequestPoll() }, s, s + patient, 6 * s, Aging},
		"discovery is away":         {asked, func(c *Tracker) { c.StreamOpened(s, 0); c.Unreachable(1); c.StreamEnded(1, s) }, 6 * s, 0, 7 * s, Aging},
		"for a minute":              {asked, func(c *Tracker) { away(c, s, 60*s) }, 60 * s, 0, 65 * s, Aging},
		"and nobody calls any more": {asked, func(c *Tracker) { away(c, s, 60*s) }, 65 * s, 0, 65 * s, Expired},
		"and back": {asked, func(c *Tracker) {
			c.StreamOpened(s, 0)
			c.Unreachable(1)
			c.StreamEnded(1, 40*s)
			c.StreamOpened(50*s, 0)
			c.ListComplete(2, 51*s)
		}, 52 * s, 53*s + 300*ms, 57 * s, Fresh},
		"another discovery":          {asked, func(c *Tracker) { c.StreamOpened(0, 0); c.ListComplete(1, s); c.DiscoveryChanged(2 * s) }, 6 * s, 0, 6 * s, Expired},
		"and its list":               {asked, func(c *Tracker) { c.DiscoveryChanged(2 * s); c.StreamOpened(2*s, 0); c.ListComplete(1, 3*s) }, 4 * s, 5*s + 300*ms, 9 * s, Fresh},
		"pushed, no watch yet":       {pushed, func(c *Tracker) { c.StreamOpened(s, 0) }, s, s + patient, pushedGrace, Expired},
		"pushed, a watch":            {pushed, func(c *Tracker) { c.StreamOpened(s, 0); c.ListComplete(1, s) }, 2 * s, s + quiet, 7 * s, Fresh},
		"pushed, a watch that ended": {pushed, func(c *Tracker) { c.StreamOpened(s, 0); c.ListComplete(1, s); c.StreamEnded(1, 2*s) }, 2*s + pushedGrace, 0, 2*s + pushedGrace, Expired},
		"and just before":            {pushed, func(c *Tracker) { c.StreamOpened(s, 0); c.ListComplete(1, s); c.StreamEnded(1, 2*s) }, 2 * s, 2*s + againFirst/10, 2*s + pushedGrace, Aging},
		"pushed, an outage":          {pushed, func(c *Tracker) { c.StreamOpened(s, 0); c.Unreachable(1); c.StreamEnded(1, s) }, s, s + againPushed/2, 7 * s, Aging},
		"pushed, after SIGHUP": {pushed, func(c *Tracker) {
			c.StreamOpened(s, 0)
			c.ListComplete(1, s)
			c.Activity(1, 4*s)
			c.DiscoveryChanged(5 * s)
		}, 8 * s, 0, 9 * s, Aging},
		"down: watches end, calls wait": {asked, func(c *Tracker) { lose(c, 0, 3*s, 6*s) }, 7 * s, 8100*ms + againFirst*4/10, 12 * s, Aging},
		"and is back": {asked, func(c *Tracker) {
			lose(c, 0, 3*s, 6*s)
			c.StreamOpened(9*s, 0)
			c.PollRejected(4, 9*s+ms)
			c.StreamEnded(4, 9*s+ms)
		}, 11 * s, 0, 12 * s, Aging},
		"a call that waits and is reset": {asked, func(c *Tracker) { lose(c, 0); c.StreamOpened(3*s, 0); c.StreamFailed(2); c.StreamEnded(2, 5*s) }, 5 * s, 5*s + againFirst*2/10, 7 * s, Aging},
		"and again": {asked, func(c *Tracker) {
			lose(c, 0)
			c.StreamOpened(3*s, 0)
			c.StreamFailed(2)
			c.StreamEnded(2, 5*s)
			c.StreamOpened(5*s, 0)
			c.StreamFailed(3)
			c.StreamEnded(3, 7*s)
		}, 8 * s, 0, 7 * s, Expired},
		"no at once is a crowd": {asked, func(c *Tracker) { lose(c, 0, 3*s, 6*s); crowd(c, 9*s) }, 11 * s, 0, 12 * s, Aging},
		"a silent watch is no outage": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			for at := 4 * s; at < 7*s; at += s {
				turnedDown(c, at, at+900*ms+200*ms)
			}
		}, 8 * s, 0, 7 * s, Expired},
		"nor is another address": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.DiscoveryChanged(2 * s)
			c.StreamEnded(1, 3*s)
			turnedDown(c, 3*s, 5*s)
			turnedDown(c, 5*s, 7*s)
		}, 8 * s, 0, 6 * s, Expired},
		"away after the lease was over": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.StreamEnded(1, 2*s)
			crowd(c, 3*s)
			c.StreamOpened(7500*ms, 0)
			c.Unreachable(3)
			c.StreamEnded(3, 7500*ms)
		}, 9 * s, 0, 7 * s, Expired},
		"pushed, away as its watch ends": {pushed, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.StreamEnded(1, 2*s)
			c.StreamOpened(2150*ms, 0)
			c.Unreachable(2)
			c.StreamEnded(2, 2150*ms)
		}, 3 * s, 0, 8150 * ms, Aging},
		"slow, then away": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.StreamEnded(1, 2*s)
			c.StreamOpened(2100*ms, 0)
			c.Connected(2)
			c.StreamFailed(2)
			c.StreamEnded(2, 5*s)
			away(c, 5*s, 9*s)
		}, 7 * s, 7120 * ms, 7 * s, Expired},
		"handed over 5 s old": {asked, func(c *Tracker) { c.InheritAge(0, 5*s); c.StreamOpened(0, 0) }, s, patient, s, Expired},
		"handed over, pushed": {pushed, func(c *Tracker) { c.InheritAge(0, 0); c.StreamOpened(0, 0) }, 50 * ms, patient, pushedGrace, Aging},
		"moved twice": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.Activity(1, 2*s)
			c.DiscoveryChanged(2 * s)
			c.DiscoveryChanged(4 * s)
		}, 5 * s, 0, 6 * s, Aging},
		"a list from the one before": {asked, func(c *Tracker) {
			c.DiscoveryChanged(2 * s)
			c.StreamOpened(2*s, 0)
			c.DiscoveryChanged(3 * s)
			c.ListComplete(1, 4*s)
		}, 5 * s, 0, 7 * s, Aging},
		"a line from the first": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.DiscoveryChanged(2 * s)
			c.Activity(1, 5*s)
		}, 5 * s, 0, 6 * s, Aging},
		"what can't be read, again":  {asked, func(c *Tracker) { garble(c, 2, s) }, s, s + 2*againFirst, 6 * s, Aging},
		"is not asked for by a wish": {asked, func(c *Tracker) { garble(c, 2, s); c.RequestPoll() }, s, s + 2*againFirst, 6 * s, Aging},
		"a whole list alone":         {asked, func(c *Tracker) { c.StreamOpened(s, 0); c.PollAnswered(1, 2*s) }, 2 * s, 0, 8 * s, Aging},
		"a watch that speaks again": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.StreamOpened(4*s, 0)
			c.Activity(1, 5*s)
			c.Step(5 * s)
		}, 5 * s, 5*s + quiet, 11 * s, Fresh},
		"the one that took its place": {asked, func(c *Tracker) {
			c.StreamOpened(0, 0)
			c.ListComplete(1, s)
			c.StreamOpened(4*s, 0)
			c.ListComplete(2, 5*s)
			c.Step(5 * s)
		}, 5 * s, 5*s + quiet, 11 * s, Fresh},
	} {
		c := &Tracker{Options: row.rules}
		row.course(c)
		do, _, look := c.Step(row.at)
		if (do == NoAction) != (row.look > 0) || look != row.look || c.Expires() != row.expires || c.State(row.at) != row.state {
			t.Errorf("%s: does %v, looks at %v, expires at %v, %v; want %v, %v, %v", name, do, look, c.Expires(), c.State(row.at), row.look, row.expires, row.state)
		}
	}
}

// lose is a watch that ends, and calls after it that are turned down 2.1 s after they began.
func lose(c *Tracker, at time.Duration, calls ...time.Duration) {
	c.StreamOpened(at, 0)
	c.ListComplete(1, s)
	c.StreamEnded(1, 2*s)
	for _, at := range calls {
		turnedDown(c, at, at+2100*ms)
	}
}

// away is calls every 2 s to a discovery that refuses connections.
func away(c *Tracker, from, until time.Duration) {
	for at := from; at < until; at += 2 * s {
		name := c.StreamOpened(at, 0)
		c.Unreachable(name)
		c.StreamEnded(name, at)
	}
}

func turnedDown(c *Tracker, from, at time.Duration) {
	name := c.StreamOpened(from, 0)
	c.Connected(name)
	c.PollRejected(name, at)
	c.StreamEnded(name, at)
}

// crowd is a call that is turned down at once.
func crowd(c *Tracker, at time.Duration) { turnedDown(c, at, at+ms) }

// garble is so many answers in a row that can't be read.
func garble(c *Tracker, n int, at time.Duration) {
	for range n {
		name := c.StreamOpened(at, 0)
		c.MalformedList(name, at)
		c.StreamEnded(name, at)
	}
}

// run carries out what the clock wants until a time, with a fault for each call, and tells of each call.
func run(c *Tracker, from, until time.Duration, draw float64, called func(name int, at time.Duration)) {
	for at := from; at < until; {
		switch do, name, look := c.Step(at); do {
		case NoAction:
			at = look
		case OpenStream:
			called(c.StreamOpened(at, draw), at)
		case AbortStalledStream:
			c.StreamEnded(name, at)
		}
	}
}

// Whatever the draw, and whether three calls in a row are refused, reset or left without an answer, the fourth goes out
// with half a second left within the operators' clock, counted from the last line of a watch that fell silent.
func TestThreeLostCallsAreInTime(t *testing.T) {
	for _, rules := range []Options{{MaxPollInterval: 60 * s}, {Pushed: true}} {
		for draw := 0.0; draw <= 1; draw += 0.1 {
			for name, fault := range map[string]func(c *Tracker, name int, at time.Duration){
				"refused":   func(c *Tracker, name int, at time.Duration) { c.StreamEnded(name, at) },
				"no answer": func(*Tracker, int, time.Duration) {},
				"a head":    func(c *Tracker, name int, at time.Duration) { c.Activity(name, at) },
			} {
				c := &Tracker{Options: rules}
				c.StreamOpened(0, draw)
				c.ListComplete(1, s)
				var calls []time.Duration
				run(c, s, 20*s, draw, func(name int, at time.Duration) {
					calls = append(calls, at)
					fault(c, name, at)
				})
				if len(calls) < 4 || calls[3] > s+NotificationDeadline-500*ms {
					t.Errorf("%+v, %s, draw %v: calls at %v", rules, name, draw, calls)
				}
			}
		}
	}
}

// A discovery that is slow by nature is met: who is never answered calls ever more slowly, up to a limit, each call is
// waited for long enough, few are out at once, and one answer ends that.
func TestUnansweredCallsWaitLonger(t *testing.T) {
	c := &Tracker{Options: Options{Pushed: true}}
	out, waits, longest, begun := 0, []time.Duration(nil), time.Duration(0), map[int]time.Duration{}
	for at := time.Duration(0); at < 60*s; {
		switch do, name, look := c.Step(at); do {
		case NoAction:
			at = look
		case OpenStream:
			if out++; out > mostCalls {
				t.Fatalf("%d calls are out at %v", out, at)
			}
			waits = append(waits, at)
			begun[c.StreamOpened(at, 0)] = at
		case DropStream:
			out--
			longest = max(longest, at-begun[name])
		}
	}
	if n := len(waits); waits[1]-waits[0] != patient || waits[n-1]-waits[n-2] != mostBeside || n > 25 || longest < 10*s {
		t.Errorf("calls at %v, the longest waited for %v", waits, longest)
	}
	last := c.StreamOpened(60*s, 0)
	c.StreamEnded(last, 60*s) // a no is an answer
	c.DiscoveryChanged(61 * s)
	if c.StreamOpened(61*s, 0); c.beside(&c.streams[len(c.streams)-1]) != 61*s+patient {
		t.Errorf("after an answer a call has another beside it at %v", c.beside(&c.streams[len(c.streams)-1]))
	}
}

// A call that hangs beside others that are turned down at once: these wait as they would alone. Without that a node made
// 640 calls a second.
func TestTurnedDownBesideAHungCall(t *testing.T) {
	for _, rules := range []Options{{MaxPollInterval: 60 * s}, {Pushed: true}} {
		c, calls := &Tracker{Options: rules}, 0
		c.StreamOpened(0, 0.5)
		run(c, 0, 30*s, 0.5, func(name int, at time.Duration) {
			if calls++; calls > 100 {
				t.Fatalf("%d calls by %v", calls, at)
			}
			c.StreamEnded(name, at)
		})
		if calls > 40 {
			t.Errorf("%+v: %d calls in 30 s", rules, calls)
		}
	}
}
