package peers

import (
	"encoding/json"
	"slices"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/membership"
)

// delegate answers the library's questions and takes the messages that it delivers.
type delegate struct{ cluster *Cluster }

// NodeMeta is what this node spreads of itself.
func (d delegate) NodeMeta(limit int) []byte {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	local := d.cluster.module.Local()
	b, err := json.Marshal(nodeMeta{local.Start, local.Nonce, d.cluster.cfg.Site})
	if err != nil || len(b) > limit {
		return nil
	}
	return b
}

// NotifyMsg brings a message.
func (d delegate) NotifyMsg(b []byte) { d.cluster.receive(slices.Clone(b)) }

// GetBroadcasts gives the library the messages to send.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.cluster.queue.GetBroadcasts(overhead, limit)
}

// LocalState is empty: the library's own lists are enough.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState has nothing to merge.
func (d delegate) MergeRemoteState([]byte, bool) {}

// eventDelegate keeps what the detector has: its own list may be read only while it calls here. The library holds its lock
// meanwhile, so nothing that holds mu may call the library.
type eventDelegate struct{ cluster *Cluster }

// detected is a live node as the detector has it.
type detected struct {
	address string
	meta    []byte
}

// NotifyJoin reports a node that is live.
func (e eventDelegate) NotifyJoin(n *memberlist.Node) { e.update(n, true) }

// NotifyUpdate reports that a node's meta has changed.
func (e eventDelegate) NotifyUpdate(n *memberlist.Node) { e.update(n, true) }

// NotifyLeave reports a node that is gone. Whether it left or failed the library does not tell: a node that leaves sends a
// message of its own.
func (e eventDelegate) NotifyLeave(n *memberlist.Node) { e.update(n, false) }

func (e eventDelegate) update(n *memberlist.Node, live bool) {
	c := e.cluster
	if n.Name == c.cfg.Name {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if live {
		c.live[n.Name] = detected{n.Address(), slices.Clone(n.Meta)}
	} else {
		delete(c.live, n.Name)
	}
	c.liveCount.Store(int64(len(c.live)))
	select {
	case c.reconcileNow <- struct{}{}:
	default:
	}
}

// conflictDelegate hears of another node that uses a name.
type conflictDelegate struct{ cluster *Cluster }

// NotifyConflict reports another incarnation of a name that is live. The library goes on with the one that it has; the
// module hears of both.
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
