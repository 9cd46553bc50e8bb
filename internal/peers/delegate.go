package peers

import (
	"encoding/json"
	"slices"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/membership"
)

// delegate implements memberlist.Delegate: memberlist gets this node's data from it and passes received messages to it.
type delegate struct{ cluster *Cluster }

// NodeMeta returns the meta data of this node, which memberlist spreads. If it exceeds limit bytes, it returns nil.
func (d delegate) NodeMeta(limit int) []byte {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	local := d.cluster.members.Local()
	b, err := json.Marshal(nodeMeta{local.Start, local.Nonce, d.cluster.cfg.Site})
	if err != nil || len(b) > limit {
		return nil
	}
	return b
}

// NotifyMsg handles a received message.
func (d delegate) NotifyMsg(b []byte) { d.cluster.receive(slices.Clone(b)) }

// GetBroadcasts returns messages to send with the next round of gossip, up to limit bytes in total.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.cluster.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns nothing: memberlist exchanges its own state, and this package has none to add.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, because LocalState sends nothing.
func (d delegate) MergeRemoteState([]byte, bool) {}

// eventDelegate implements memberlist.EventDelegate. It maintains a copy of the failure detector's list of live nodes, because
// a *memberlist.Node may be read only during a callback. memberlist holds its own lock during a callback, which acquires mu.
// Code that holds mu must therefore not call memberlist, or the two could deadlock.
type eventDelegate struct{ cluster *Cluster }

// liveNode is a node that the failure detector considers alive.
type liveNode struct {
	address string
	meta    []byte
}

// NotifyJoin handles a node that has become alive.
func (e eventDelegate) NotifyJoin(n *memberlist.Node) { e.update(n, true) }

// NotifyUpdate handles a change of a node's meta data.
func (e eventDelegate) NotifyUpdate(n *memberlist.Node) { e.update(n, true) }

// NotifyLeave handles a node that has left or failed. memberlist does not tell which of the two, so a node that leaves
// announces it with a message.
func (e eventDelegate) NotifyLeave(n *memberlist.Node) { e.update(n, false) }

// update records whether a node is alive and triggers reconcile.
func (e eventDelegate) update(n *memberlist.Node, live bool) {
	c := e.cluster
	if n.Name == c.cfg.Name {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if live {
		c.live[n.Name] = liveNode{n.Address(), slices.Clone(n.Meta)}
	} else {
		delete(c.live, n.Name)
	}
	c.liveCount.Store(int64(len(c.live)))
	select {
	case c.reconcileNow <- struct{}{}:
	default:
	}
}

// conflictDelegate implements memberlist.ConflictDelegate: memberlist calls it when two live nodes use the same name.
type conflictDelegate struct{ cluster *Cluster }

// NotifyConflict handles another live incarnation of a known node. memberlist continues with the one that it has; package
// membership is notified of both.
func (d conflictDelegate) NotifyConflict(_, other *memberlist.Node) {
	c := d.cluster
	meta, err := parseMeta(other.Meta)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.countMalformed(err)
		return
	}
	if validName(other.Name) {
		go c.step(membership.NodeAlive{Incarnation: meta.incarnation(other.Name), Site: meta.Site})
	}
}
