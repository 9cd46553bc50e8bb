package peers

import (
	"context"
	"time"

	"hookwalk.example/hookwalk/membership"
)

// Delays of connect. The backoff keeps the nodes of an installation that starts from all dialing the seeds at once.
const (
	minSeedWait   = 100 * time.Millisecond // after the first attempt to join through the seeds; doubled after each further attempt
	maxSeedWait   = 2 * time.Second        // upper bound, so that a node joins soon after a seed has started
	connectedWait = time.Second            // between two checks that another node is still alive
)

// nodeCount returns the number of nodes that the failure detector considers alive, including this node.
func (c *Cluster) nodeCount() int { return int(c.liveCount.Load()) + 1 }

// now returns the time that is passed to package membership. It is monotonic: changes of the wall clock do not affect it.
func (c *Cluster) now() time.Duration { return time.Since(c.started) }

// run periodically reconciles package membership with the failure detector and passes it ticks. It also detects stalls of
// this process: after a stall, the node's view of its peers is out of date.
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
			c.log.Info("this process was stalled; its view of the peers may be out of date", "for", stalled)
			c.step(membership.Stalled{Duration: stalled})
		}
		last = now
		c.reconcile()
		c.step(membership.Tick{})
	}
}

// reconcile passes the complete current state of the failure detector to package membership. It thereby makes up for reports
// that were lost or arrived out of order.
func (c *Cluster) reconcile() {
	for _, event := range c.detectorEvents() {
		c.step(event)
	}
}

// detectorEvents returns an event for each node that the failure detector considers alive, and for each node that was
// reported as alive before and is not any more.
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
			c.log.Info("failure detector removed a peer", "name", name, "start", incarnation.Start, "left", c.left[incarnation])
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
			c.log.Info("membership state of this node changed", "was", a.From.String(), "is", a.To.String())
		case membership.Warn:
			c.log.Warn("membership problem", "err", a.Err)
		}
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.mu.Unlock()
	if refuted != nil {
		c.tasks.Go(func() { c.refute(refuted.Start) }) // separate goroutine: step must not wait for the disk or for peers
	}
}

// refute stores the raised start number and lets memberlist spread it.
func (c *Cluster) refute(start uint64) {
	if err := c.cfg.StartStore.Save(start); err != nil {
		c.log.Warn("raised start number not saved", "start", start, "err", err)
	}
	c.detector.UpdateNode(joinTimeout) // an error means that no peer has confirmed the update yet; gossip continues
}

// reconnect queues an attempt to connect to a failed member. If the queue is full, the attempt is skipped: package membership
// requests another one later. The caller holds mu.
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

// connect joins through the seeds while no other node is alive, and reconnects to failed members one after another.
func (c *Cluster) connect(ctx context.Context) {
	wait := minSeedWait
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case address := <-c.reconnects:
			c.detector.Join([]string{address}) // an error means that the member is still unreachable
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

// joinSeeds tries to join through each seed except this node itself.
func (c *Cluster) joinSeeds(ctx context.Context) {
	for _, seed := range c.cfg.Seeds {
		if ctx.Err() != nil {
			return
		}
		if seed != c.cfg.Listen {
			c.detector.Join([]string{seed}) // an error means that the seed is unreachable
		}
	}
}
