package peers

import (
	"context"
	"time"

	"hookwalk.example/hookwalk/membership"
)

// Waits of connect.
const (
	minSeedWait   = 100 * time.Millisecond // after a first round through the seeds; it doubles up to
	maxSeedWait   = 2 * time.Second        // this
	connectedWait = time.Second            // while somebody is there
)

// nodeCount is how many nodes the detector has, this one among them.
func (c *Cluster) nodeCount() int { return int(c.liveCount.Load()) + 1 }

// now is the module's clock. It is monotonic: a change of the machine's wall clock does not move it.
func (c *Cluster) now() time.Duration { return time.Since(c.started) }

// run ticks, reconciles the module with the detector, and notices stalls of this process.
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
			c.step(membership.Stalled{Duration: stalled})
		}
		last = now
		c.reconcile()
		c.step(membership.Tick{})
	}
}

// reconcile reports to the module all that the detector has by now. A report that was lost or raced another one is made
// good by the next.
func (c *Cluster) reconcile() {
	for _, event := range c.detectorEvents() {
		c.step(event)
	}
}

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
			events = append(events, membership.NodeDead{Incarnation: incarnation, Left: c.left[incarnation]})
			delete(c.reported, name)
		}
	}
	return events
}

// step gives an event to the module and carries out its actions.
func (c *Cluster) step(event membership.Event) {
	c.mu.Lock()
	before := c.module.Revision()
	actions := c.module.Step(c.now(), event)
	changed := c.module.Revision() != before
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
		c.tasks.Go(func() { c.refute(refuted.Start) }) // neither the disk nor the peers' answers are waited for
	}
}

// refute stores the raised start number and has the detector spread it.
func (c *Cluster) refute(start uint64) {
	if err := c.cfg.StartStore.Save(start); err != nil {
		c.log.Warn("peers: the number of this start is not on disk", "err", err)
	}
	c.detector.UpdateNode(joinTimeout) // an error says that nobody has confirmed it yet
}

// reconnect has a failed member tried. Where too many wait, the module asks again later.
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

// connect tries the seeds until a node is found, and failed members one after another.
func (c *Cluster) connect(ctx context.Context) {
	wait := minSeedWait
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case address := <-c.reconnects:
			c.detector.Join([]string{address}) // an error says that it is still away
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

func (c *Cluster) joinSeeds(ctx context.Context) {
	for _, seed := range c.cfg.Seeds {
		if ctx.Err() != nil {
			return
		}
		if seed != c.cfg.Listen {
			c.detector.Join([]string{seed}) // an error says that it is away
		}
	}
}
