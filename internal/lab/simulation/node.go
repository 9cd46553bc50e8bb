package simulation

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/policies"
)

// node hosts one instance of the decision module as the daemon does: it feeds events, carries out actions and
// keeps connections. It starts from nothing as often as it is started.
type node struct {
	w        *World
	name     string
	tier     int // that it sends to
	self     int
	copies   int
	front    *front // nil: a box's own node
	place    int
	host     *server
	life     int // starts and ends so far: what was meant for an earlier life is dropped
	alive    bool
	leaving  bool
	watching bool
	lastTold time.Duration
	decider  policies.Decider
	calls    map[string]*call
	kept     map[*server][]kept
	known    []balancer.Server // the list as it was last held, for the next start
	knownAt  map[string]int
}

// kept is an idle connection.
type kept struct {
	epoch int
	since time.Duration
	reset bool // it will be reset when next used
}

// call is a request that a node has taken.
type call struct {
	id       string
	class    int
	deadline time.Duration
	work     float64
	root     *root
	reply    func(checker.Answer, time.Duration)
	attempts []*attempt
	closed   bool
	out      int
}

func (w *World) newNode(name string, tier, self, copies int) *node {
	return &node{w: w, name: name, tier: tier, self: self, copies: copies}
}

// start begins a life: a fresh instance that is given the list as last held, which may be old.
func (n *node) start() {
	if n.alive {
		return
	}
	n.life++
	n.alive, n.leaving, n.watching = true, false, false
	n.calls, n.kept = map[string]*call{}, map[*server][]kept{}
	seed := model.Stream(n.w.s.Seed, "node "+n.name, n.life).Uint64()
	var err error
	if n.decider, err = n.w.make(n.w.s.Policy, model.Settings(n.w.s, n.tier, n.self, n.copies), seed, n.w.truth); err != nil {
		n.w.err = err
		return
	}
	n.w.audit.NodeStarted(n.name)
	n.w.seen(blackbox.Event{What: blackbox.Start, Node: n.name})
	if n.known == nil {
		n.known = slices.Clone(n.w.disc.lists[n.tier])
		n.knownAt = n.w.disc.at[n.tier]
	}
	n.hear(balancer.EndpointUpdate{Complete: true, Cached: true, Servers: n.known})
	if !n.w.s.Discovery.Asked && !n.w.disc.down {
		n.w.disc.subscribe(n)
	}
	if n.front != nil {
		n.front.hear(n, n.w.jitter(n.w.s.Net.Client), true)
	}
	n.sweep()
}

// kill ends a node at once, with all that it holds.
func (n *node) kill() {
	if !n.alive {
		return
	}
	n.end()
	n.w.audit.NodeKilled(n.name)
	n.w.seen(blackbox.Event{What: blackbox.Kill, Node: n.name})
	if n.front != nil {
		n.front.hear(n, n.w.s.Front.Notice, false)
	}
}

func (n *node) end() {
	n.life++
	n.alive = false
	n.w.disc.drop(n)
	for b, list := range n.kept {
		for _, k := range list {
			if k.epoch == b.Epoch {
				b.Conns--
			}
		}
	}
	n.kept = nil
	for _, id := range sortedCalls(n.calls) {
		c := n.calls[id]
		for _, a := range c.attempts {
			a.abandon()
		}
		if !c.closed {
			c.closed = true
			c.reply(checker.Failed, -1)
		}
	}
	n.calls = nil
}

// leave is SIGTERM: the front hears of it at once but still deals for a while; what has been taken is answered.
func (n *node) leave() {
	if !n.alive || n.leaving {
		return
	}
	n.leaving = true
	n.w.seen(blackbox.Event{What: blackbox.Term, Node: n.name})
	n.front.hear(n, model.FrontDeals, false)
	life := n.life
	until := n.w.now + model.FrontDeals + model.LongestDeadline(n.w.s) + 50*time.Millisecond
	var look func()
	look = func() {
		if n.life != life {
			return
		}
		if len(n.calls) > 0 && n.w.now < until {
			n.w.after(10*time.Millisecond, look)
			return
		}
		n.w.audit.NodeStopped(n.w.now, n.name)
		n.w.seen(blackbox.Event{What: blackbox.Exit, Node: n.name})
		n.end()
	}
	n.w.after(model.FrontDeals+50*time.Millisecond, look)
}

// hear takes news of the boxes.
func (n *node) hear(list balancer.EndpointUpdate) {
	for _, s := range list.Servers {
		n.w.audit.Told(n.w.now, n.name, s.ID, s.State == balancer.Ready)
		n.w.seen(blackbox.Event{What: blackbox.Told, Node: n.name, Server: s.ID, Ready: s.State == balancer.Ready})
	}
	switch {
	case list.Cached:
	case list.Complete:
		n.known = list.Servers
	default:
		n.known = slices.Clone(n.known)
		for _, s := range list.Servers {
			n.known[n.knownAt[s.ID]] = s
		}
	}
	n.handle(list)
}

// take is a request that has arrived whole. The reply comes once, at the moment of the answer.
func (n *node) take(c *call) {
	n.w.audit.Taken(n.w.now, n.name, c.id, c.class, c.deadline)
	n.w.seen(blackbox.Event{What: blackbox.Ask, Node: n.name, ID: c.id, Class: c.class, Budget: c.deadline - n.w.now})
	n.calls[c.id] = c
}

func (n *node) handle(e balancer.Event) {
	actions := n.decider.Handle(n.w.now, e)
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			n.send(a)
		case balancer.Reject:
			n.answer(a.ID, checker.Refused, a.RetryAfter)
		case balancer.Fail:
			n.answer(a.ID, checker.Failed, 0)
		case balancer.SetTimer:
			life := n.life
			n.w.at(a.At, func() {
				if n.life == life {
					n.handle(balancer.TimerFired{Token: a.Token})
				}
			})
		case balancer.Subscribe:
			n.w.disc.ask(n)
		}
	}
}

func (n *node) answer(id string, how checker.Answer, retryAfter time.Duration) {
	n.w.audit.Answered(n.w.now, n.name, id, how)
	n.w.seen(blackbox.Event{What: blackbox.Got, Node: n.name, ID: id, Status: map[checker.Answer]int{checker.Refused: 503, checker.Failed: 502}[how]})
	c := n.calls[id]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	c.reply(how, retryAfter)
	n.forget(c)
}

func (n *node) forget(c *call) {
	if c.closed && c.out == 0 {
		delete(n.calls, c.id)
	}
}

// gone is a client that has left.
func (n *node) gone(id string) {
	c := n.calls[id]
	if c == nil || c.closed {
		return
	}
	c.closed = true
	n.w.audit.Gone(n.w.now, n.name, id)
	n.w.seen(blackbox.Event{What: blackbox.Left, Node: n.name, ID: id})
	n.handle(balancer.ClientGone{ID: id})
	n.forget(c)
}

// sweep drops connections that have been idle for too long, now and then.
func (n *node) sweep() {
	life := n.life
	n.w.after(n.w.s.Net.Idle/2, func() {
		if n.life != life {
			return
		}
		for b, list := range n.kept {
			live := list[:0]
			for _, k := range list {
				switch {
				case k.epoch != b.Epoch:
				case n.w.now-k.since > n.w.s.Net.Idle:
					b.Conns--
				default:
					live = append(live, k)
				}
			}
			if n.kept[b] = live; len(live) == 0 {
				delete(n.kept, b)
			}
		}
		if n.w.now < n.w.s.Length {
			n.sweep()
		}
	})
}

func (n *node) resetKept(b *server, share float64) {
	for i := range n.kept[b] {
		if n.w.draws.Float64() < share {
			n.kept[b][i].reset = true
		}
	}
}

// takeKept is an idle connection to a box, the one used last.
func (n *node) takeKept(b *server) (kept, bool) {
	list := n.kept[b]
	for len(list) > 0 {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		n.kept[b] = list
		switch {
		case k.epoch != b.Epoch || b.State == model.Down && !b.Cut: // the end of the process was seen
		case n.w.now-k.since > n.w.s.Net.Idle:
			b.Conns--
		default:
			return k, true
		}
	}
	return kept{}, false
}

// attempt is one send.
type attempt struct {
	n      *node
	call   *call
	number int
	box    *server // nil: there is none of the name
	to     string
	epoch  int
	conn   bool // a connection of its own is counted at the box
	sent   time.Duration
	life   int
	ended  bool
	visit  *visit
}

// send starts an attempt: over a kept connection, or a new one that costs a handshake.
func (n *node) send(s balancer.Send) {
	w := n.w
	b := w.byID[s.Server]
	w.audit.Sent(w.now, n.name, s.ID, s.Server)
	c := n.calls[s.ID]
	if c == nil {
		return
	}
	a := &attempt{n: n, call: c, number: len(c.attempts), box: b, to: s.Server, sent: w.now, life: n.life}
	c.attempts = append(c.attempts, a)
	c.out++
	c.root.attempts++
	w.score.Attempts++
	if b == nil {
		a.endAfter(0, balancer.NotSent)
		return
	}
	a.epoch = b.Epoch
	w.after(min(s.Timeout, c.deadline-w.now), func() { a.end(balancer.TimedOut) })
	hop := w.jitter(w.s.Net.Hop)
	k, ok := n.takeKept(b)
	switch {
	case ok && k.reset:
		b.Conns--
		a.endAfter(2*hop, balancer.ConnectionLost)
	case ok:
		a.conn = true
		w.after(hop, func() { a.arrive(0) })
	case b.Cut:
		a.endAfter(w.s.Net.ConnectTimeout, balancer.Unreachable)
	case b.State == model.Down || b.Conns >= b.Kind.Conns:
		a.endAfter(2*hop, balancer.Unreachable)
	default:
		a.conn = true
		b.Conns++
		w.score.Handshakes++
		w.after(time.Duration(1+2*w.s.Net.HandshakeTrips)*hop, func() { a.arrive(b.Kind.Handshake) })
	}
}

// arrive is the last byte of a request at its box.
func (a *attempt) arrive(handshake time.Duration) {
	w, b := a.n.w, a.box
	hop := w.jitter(w.s.Net.Hop)
	switch {
	case b.Cut: // nobody answers
	case b.Epoch != a.epoch || b.State == model.Down:
		a.endAfter(hop, balancer.ConnectionLost)
	case a.ended && a.life != a.n.life: // its node died before it had sent it
	default:
		v := newVisit(w, a, handshake)
		a.seen(blackbox.Event{What: blackbox.Reach, Work: v.first()})
		if a.ended { // its node has given it up on the way
			a.seen(blackbox.Event{What: blackbox.Given})
		}
		if b.Sent(w.now, v.first()) { // what it turns away counts too: a crowd at the door costs it as well
			w.audit.Fell(w.now, a.n.name, a.call.id, b.ID)
			a.seen(blackbox.Event{What: blackbox.Broke})
			w.score.Fell++
			w.crash(b, false)
			w.after(model.FallenFor, func() { w.boot(b) })
			a.endAfter(hop, balancer.ConnectionLost)
			return
		}
		if !b.Offer(w.now, &v.job) {
			a.seen(blackbox.Event{What: blackbox.Reply, Status: 503, Never: true})
			a.endAfter(hop, balancer.Overloaded)
			return
		}
		a.visit = v
		w.audit.Ran(w.now, a.n.name, a.call.id, b.ID)
		w.look(b)
	}
}

// seen records what a server gets of an attempt, or does with it.
func (a *attempt) seen(e blackbox.Event) {
	e.Node, e.ID, e.Server = a.n.name, a.call.id, a.to
	a.n.w.seen(e)
}

func (a *attempt) endAfter(wait time.Duration, e balancer.Outcome) {
	a.n.w.after(wait, func() { a.end(e) })
}

// end tells the node how the attempt ended; later ends of the same attempt go nowhere.
func (a *attempt) end(e balancer.Outcome) {
	if a.ended || a.life != a.n.life {
		return
	}
	a.ended = true
	n, w, c := a.n, a.n.w, a.call
	if e == balancer.TimedOut && a.visit != nil {
		a.seen(blackbox.Event{What: blackbox.Given})
	}
	a.letGo(e)
	w.audit.Ended(w.now, n.name, c.id, a.number, e)
	c.out--
	if e == balancer.Success && !c.closed {
		c.closed = true
		w.audit.Answered(w.now, n.name, c.id, checker.Served)
		w.seen(blackbox.Event{What: blackbox.Got, Node: n.name, ID: c.id, Status: 200, Body: a.to})
		c.reply(checker.Served, 0)
	}
	n.handle(balancer.AttemptEnded{ID: c.id, Attempt: a.number, Server: a.to, Outcome: e, Latency: w.now - a.sent, RequestDone: c.closed})
	n.forget(c)
}

// abandon is the end of the node that waits for the attempt.
func (a *attempt) abandon() {
	if !a.ended {
		a.ended = true
		a.letGo(balancer.Canceled)
	}
}

// letGo keeps the connection of an attempt that was answered, and closes any other.
func (a *attempt) letGo(e balancer.Outcome) {
	b := a.box
	if b == nil {
		return
	}
	answered := e == balancer.Success || e == balancer.Failure || e == balancer.Overloaded
	if a.conn && b.Epoch == a.epoch {
		if answered && a.n.kept != nil {
			a.n.kept[b] = append(a.n.kept[b], kept{epoch: a.epoch, since: a.n.w.now})
		} else if b.State != model.Down {
			b.Conns--
		}
	}
	if v := a.visit; v != nil && !answered && !v.over && b.GiveUp(a.n.w.now, &v.job) {
		v.over = true
		a.n.w.look(b)
	}
}
