package endpointlease

import "time"

const (
	// Of the 250 ms in which a node has to cease to send to a server that it was told of, a node that is held up between
	// its clock and its write needs 150 ms. The rest is for a watch that ended where lists are pushed: what the agent
	// has counts at once.
	pushedGrace = 100 * time.Millisecond

	// A discovery that takes connections and gives nothing back is slow, crowded, or not there. It is held to be slow for a
	// while after the lease has expired, during which the node refuses; then it counts as away until it speaks.
	slowFor       = 10 * time.Second
	slowForCaller = 50 * time.Millisecond // of each caller, where that is more,
	slowForMost   = 20 * time.Second      // and no longer than this
)

// Unavailable says that discovery is not there: it can't be reached, or has said nothing for long. Nothing that it has counts as
// told until it is back.
func (c *Tracker) Unavailable() bool { return c.absence != present }

// Expires is when the lease on the list held ends: from then on a change may count as told that the node was not told of,
// and nothing may be sent on the list. It may be past. Whatever a call that failed or was given up allows, a change
// counts Told after discovery had it and could be reached. While calls find it absent, each puts that off.
func (c *Tracker) Expires() time.Duration {
	switch {
	case c.fixed > 0:
		return c.fixed
	case c.absence == hung:
		return forEver
	case c.Unavailable():
		return c.absent + NotificationDeadline
	}
	expires := c.current + NotificationDeadline
	if c.absent > 0 {
		expires = max(expires, c.absent+NotificationDeadline)
	}
	switch {
	case c.watched():
	case c.Pushed:
		expires = min(expires, c.unwatched+pushedGrace)
	case len(c.streams) == 0:
		expires = min(expires, max(c.asked, c.absent)+c.MaxPollInterval)
	}
	if len(c.moves) > 0 {
		expires = min(expires, c.moves[0].at+NotificationDeadlineAfterChange)
	}
	return expires
}

// Unbounded says that the lease has no end for now: discovery is away.
func (c *Tracker) Unbounded() bool { return c.Expires() == forEver }

// InheritAge takes over a list from the process before this one: it was all that discovery had so long ago.
func (c *Tracker) InheritAge(now, age time.Duration) { c.current = now - age }

// slow is when a discovery that says nothing is no longer held to be slow.
func (c *Tracker) slow() time.Duration {
	inTurn := time.Duration(c.Pollers) * slowForCaller
	return max(c.Expires(), c.alive) + min(max(slowFor, inTurn), slowForMost)
}

// Lease says at a time what the list is worth, until when it may be relied on, and when to ask again. A discovery that has
// said nothing for too long is absent from then on.
func (c *Tracker) Lease(now time.Duration) (state State, expires, look time.Duration) {
	if c.absence != hung && now >= c.Expires() {
		c.absence = present // what said otherwise is too long ago
		if c.begun && now >= c.slow() {
			c.absence = hung
		}
	}
	expires = c.Expires()
	switch look = expires; {
	case c.absence == hung:
		look = forEver
	case now >= expires:
		look = c.slow()
	}
	return c.State(now), expires, look
}

// State is what a node may say of its list.
type State int

// States.
const (
	Fresh   State = iota // a watch speaks: what is held is what discovery has
	Aging                // nothing is heard at present, and the lease has not expired
	Expired              // what discovery has counts as told, and the node can't know it: nothing is sent
)

func (s State) String() string { return [...]string{"fresh", "aging", "expired"}[s] }

// State says what the list is worth at a time.
func (c *Tracker) State(now time.Duration) State {
	if s := c.sound(now); s != nil && s.object == 0 && len(c.moves) == 0 && now-s.heard <= HeartbeatInterval+HeartbeatInterval/4 {
		return Fresh
	}
	if now < c.Expires() {
		return Aging
	}
	return Expired
}
