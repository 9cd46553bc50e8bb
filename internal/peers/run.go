package peers

import (
	"context"
	"time"

	"hookwalk.example/hookwalk/membership"
)

// Waits of connect: a backoff, so that the nodes of an installation that starts do not all dial the seeds at once.
const (
	minSeedWait   = 100 * time.Millisecond // after the first attempt to join all seeds; doubled after each further one
	maxSeedWait   = 2 * time.Second        // at most, so that a node joins soon after a seed has come up
	connectedWait = time.Second            // between two checks that there is still another node
)

// nodeCount is how many live nodes the failure detector has, this one among them.
func (c *Cluster) nodeCount() int { return int(c.liveCount.Load()) + 1 }

// now is the clock of package membership. It is monotonic: a change of the machine's wall clock does not move it.
func (c *Cluster) now() time.Duration { return time.Since(c.started) }

// run ticks, reconciles package membership with the failure detector, and notices stalls of this process: after one, what
// the node believes of its peers is out of date.
func (c *Cluster) run(ctx context.Context) {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	last := c.now()
	for {
		select {
		case <-tick.C:
		case <-c.reconcileNow:
		case <-ctx.Done():
			return
		}
		now := c.now()
		if stalled := now - last - reconcileInterval; stalled >= c.cfg.Limits.StallThreshold {
			c.log.Info("this process stood still among its peers", "for", stalled)
			c.step(membership.Stalled{Duration: stalled})
		}
		last = now
		c.reconcile()
		c.step(membership.Tick{})
	}
}

// reconcile notifies package membership of all that the failure detector has by now. A report that was lost, or raced
// another one, is made up for by the next.
func (c *Cluster) reconcile() {
	for _, event := range c.detectorEvents() {
		c.step(event)
	}
}

// detectorEvents are the nodes that the failure detector has, and those reported earlier that it does not have any more.
func (c *Cluster) detectorEvents() (events []membership.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, node := range c.live {
		meta, err := parseMeta(node.meta)
		if err != nil {
			c.countMalformed(err)
			continue
		}
		incarnation := meta.incarnation(name)
		c.reported[name] = incarnation
		c.addresses[name] = node.address
		events = append(events, membership.NodeAlive{Incarnation: incarnation, Site: meta.Site})
	}
	for name, incarnation := range c.reported {
		if _, live := c.live[name]; !live {
			c.log.Info("the detector has lost a peer", "name", name, "start", incarnation.Start, "left", c.left[incarnation])
			events = append(events, membership.NodeDead{Incarnation: incarnation, Left: c.left[incarnation]})
			delete(c.reported, name)
		}
	}
	return events
}

// step passes an event to package membership and carries out its actions.
func (c *Cluster) step(event membership.Event) {
	c.mu.Lock()
	before := c.members.Revision()
	actions := c.members.Step(c.now(), event)
	changed := c.members.Revision() != before
	var refuted *membership.Incarnation
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Broadcast:
			c.enqueue(message{Announcement: a.Announcement})
		case membership.Reconnect:
			c.reconnect(a.Name)
		case membership.Refute:
			refuted = &a.Incarnation
		case membership.LocalStateChanged:
			changed = true
			c.log.Info("among its peers this node", "was", a.From.String(), "is", a.To.String())
		case membership.Warn:
			c.log.Warn("peers", "err", a.Err)
		}
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.mu.Unlock()
	if refuted != nil {
		c.tasks.Go(func() { c.refute(refuted.Start) }) // a step must not wait for the disk or for peers
	}
}

// refute stores the raised start number and has memberlist spread it.
func (c *Cluster) refute(start uint64) {
	if err := c.cfg.StartStore.Save(start); err != nil {
		c.log.Warn("peers: the number of this start is not on disk", "err", err)
	}
	c.detector.UpdateNode(joinTimeout) // an error means that no peer has confirmed it yet; gossip goes on
}

// reconnect queues an attempt to reach a failed member. If the queue is full, package membership requests it again later.
func (c *Cluster) reconnect(name string) {
	address := c.addresses[name]
	if address == "" {
		return
	}
	select {
	case c.reconnects <- address:
	default:
	}
}

// connect joins through the seeds until another node is found, and reconnects to failed members one after another.
func (c *Cluster) connect(ctx context.Context) {
	wait := minSeedWait
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case address := <-c.reconnects:
			c.detector.Join([]string{address}) // an error means that it is still down
		case <-next.C:
			if c.nodeCount() > 1 {
				wait = minSeedWait
				next.Reset(connectedWait)
				continue
			}
			c.joinSeeds(ctx)
			next.Reset(wait)
			wait = min(2*wait, maxSeedWait)
		case <-ctx.Done():
			return
		}
	}
}

// joinSeeds tries all seeds but this node itself.
func (c *Cluster) joinSeeds(ctx context.Context) {
	for _, seed := range c.cfg.Seeds {
		if ctx.Err() != nil {
			return
		}
		if seed != c.cfg.Listen {
			c.detector.Join([]string{seed}) // an error means that it is down
		}
	}
}
