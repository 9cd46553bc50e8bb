// Outlier detection and ejection: what is learned of a class and of a server from how attempts end.

package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	chance      = 0.08  // a run of time-outs likelier than this by the peers' share of bad endings is luck
	errorChance = 0.001 // the same for a run that ends in an error or a reset, which says less of the server
	tailSpread  = 3.0   // deviations above the mean at which a wait counts as overlong
	minSamples  = 3     // good endings in a row that end a trial
	mostOut     = 0.2   // share of the list that health may exclude; beyond that all are drawn
	ejection    = 12    // mean latencies that a first ejection, or a lack of room, lasts
	maxLevel    = 5     // doublings of an ejection
)

// ruledOut marks the servers that health keeps out: the worst, up to a share of the list. Where many look bad
// to one node, the fault is likelier its own or the tier below's. The share falls as more is shed: time-outs
// in overload show load rather than ill health. One may always be out: a server that errs at once would win
// most draws, and one that is cut off would fill the window and cause the shedding that kept it in.
func (b *Balancer) ruledOut(r *request, list []*server) []bool {
	out := make([]bool, len(list))
	var sick []int
	for i, s := range list {
		if b.unfit(s, r) {
			sick = append(sick, i)
		}
	}
	slices.SortStableFunc(sick, func(i, j int) int { return list[j].streak - list[i].streak })
	most := max(int(mostOut*(1-r.class.pool.shed)*float64(len(list))), 1)
	for _, i := range sick[:min(len(sick), most)] {
		out[i] = true
	}
	return out
}

// unfit says that a server should not be drawn now for its health.
func (b *Balancer) unfit(s *server, r *request) bool {
	if b.now < s.until || b.silent(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat many requests, nor one
	// that cannot be repeated. Where nothing safe comes for as long again, an unsafe one must do.
	early := r.class.Effect == NonIdempotent && b.now < s.until+time.Duration(ejection*r.class.mean)
	return s.level > 0 && s.goods == 0 && (early || s.calls() > 0)
}

// silent says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) silent(s *server) bool {
	i := slices.IndexFunc(s.open, func(a *attempt) bool {
		return a.boot == s.start() && !a.req.bulk && !a.req.streaming
	})
	if i < 0 {
		return false
	}
	a := s.open[i]
	wait := a.req.class.longest(tailSpread)
	return b.now-a.sent > wait && b.lastOK > a.sent+wait/2 && s.lastOK < a.sent+wait/2
}

// latency is how long an attempt took; of what is passed on as it comes, from its last byte till the answer's
// first, as the host has seen it.
func (b *Balancer) latency(r *request, a *attempt, e AttemptEnded) time.Duration {
	if r.streaming || r.bulk {
		return e.Latency
	}
	return b.now - a.sent
}

// longest is a wait that most of a class's answers stay well under, the more the larger the spread.
func (c *class) longest(spread float64) time.Duration {
	return time.Duration(c.mean + spread*c.dev)
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) judge(a *attempt, e AttemptEnded) {
	s, c := a.srv, a.req.class
	if a.boot != s.start() { // sent to its process before this one: no longer of any weight
		s = &server{}
	}
	took := float64(b.latency(a.req, a, e))
	if e.Outcome == Success || e.Outcome == TimedOut {
		c.pool.compare(slices.Contains(c.pool.near, a.srv), math.Log(max(took, 1)/c.mean))
	}
	switch e.Outcome {
	case Success:
		b.tokens = min(retryPurse, b.tokens+retryEarn)
		b.lastOK, s.lastOK = b.now, b.now
		if c.samples++; c.samples == 1 {
			c.mean, c.dev = took, took/2 // in place of the guess, as TCP does with a first round trip
		}
		w := max(memory, 1/c.samples)
		c.dev += w * (math.Abs(took-c.mean) - c.dev)
		c.mean += w * (took - c.mean)
		if s.calls()+1 >= s.room { // it answers with all that it had room for: its queue has moved on
			s.room++
		}
		s.streak, s.refusals, s.hungry = 0, 0, 0
		b.errors = max(0.01, b.errors-memory*b.errors)
		if s.goods++; s.goods >= minSamples && s.level > 0 {
			s.level, s.goods = s.level-1, 1
		}
	case Overloaded, Unreachable:
		s.room = s.calls()
		s.full = b.now + time.Duration((0.5+b.rng.Float64())*ejection*c.mean)<<s.refusals
		s.refusals = min(s.refusals+1, maxLevel)
	case Failure, ConnectionLost, TimedOut:
		s.streak++
		s.goods = 0
		// Errors that strike everywhere come from the tier below; ejecting on them would leave nobody. A
		// run counts only if the peers' share makes it unlikely, and by the hundredth call one error is not.
		luck := errorChance
		if e.Outcome == TimedOut {
			luck = chance
		}
		if b.now >= s.until && math.Pow(b.errors, float64(s.streak)) < luck {
			s.until = b.now + time.Duration(ejection*c.mean)<<s.level // doubles while trials fail
			s.level = min(s.level+1, maxLevel)
		}
		b.errors += memory * (1 - b.errors)
	}
}
