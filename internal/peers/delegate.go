package peers

import (
	"encoding/json"
	"slices"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/membership"
)

// delegate is what memberlist calls for this node's data, and with the messages that it receives.
type delegate struct{ cluster *Cluster }

// NodeMeta returns the meta data that memberlist spreads with this node.
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

// NotifyMsg receives a message.
func (d delegate) NotifyMsg(b []byte) { d.cluster.receive(slices.Clone(b)) }

// GetBroadcasts returns the messages to send with the next gossip, within a limit of bytes.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.cluster.queue.GetBroadcasts(overhead, limit)
}

// LocalState is empty: memberlist exchanges its own state, and this package has none to add.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState has nothing to merge.
func (d delegate) MergeRemoteState([]byte, bool) {}

// eventDelegate keeps a copy of the failure detector's list of nodes, which may be read only while memberlist calls here.
// memberlist holds its lock during the call, so nothing that holds mu may call memberlist: both would wait for each other.
type eventDelegate struct{ cluster *Cluster }

// liveNode is a live node as the failure detector has it.
type liveNode struct {
	address string
	meta    []byte
}

// NotifyJoin reports a node that is live.
func (e eventDelegate) NotifyJoin(n *memberlist.Node) { e.update(n, true) }

// NotifyUpdate reports that a node's meta data has changed.
func (e eventDelegate) NotifyUpdate(n *memberlist.Node) { e.update(n, true) }

// NotifyLeave reports a node that has left or failed. memberlist does not say which: a node that leaves sends a message of
// its own.
func (e eventDelegate) NotifyLeave(n *memberlist.Node) { e.update(n, false) }

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

// conflictDelegate is called when two live nodes use one name.
type conflictDelegate struct{ cluster *Cluster }

// NotifyConflict reports another incarnation of a live name. memberlist goes on with the one that it has; package membership
// is notified of both.
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
