package fleet

import (
	"errors"
	"fmt"

	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// handleMessage handles a message that a worker sends while it runs.
func (r *rig) handleMessage(w *worker, m loopback.Message) {
	id := r.serverOf(m)
	switch m.Operation {
	case loopback.OpEndpointState:
		r.publishState(m)
	case loopback.OpServerDied:
		r.serverGone(id)
		r.killHosted(id)
	case loopback.OpServerStart:
		r.serverListens(id, m.Addr)
	case loopback.OpStartNode:
		r.spawn(func() { r.startHosted(w, m, id) })
	case loopback.OpClientsDone:
		close(r.clientsDone)
	default:
		r.cancel(fmt.Errorf("worker %s sent unexpected operation %q", w.name, m.Operation))
	}
}

// serverOf returns the ID of the server that a message concerns, or "" if it concerns none.
func (r *rig) serverOf(m loopback.Message) string {
	if m.Tier < 0 || m.Tier >= len(r.scenario.Tiers) {
		return ""
	}
	ids, _ := r.nodes.ServerIDs(m.Tier)
	if m.Index < 0 || m.Index >= len(ids) {
		return ""
	}
	return ids[m.Index]
}

// serverGone records that a server no longer listens, and makes its links refuse connections.
func (r *rig) serverGone(id string) {
	r.network.refuse(serverAt(id), true)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.serverAddrs, id)
}

// serverListens records a server's listen address and makes its links accept connections.
func (r *rig) serverListens(id, addr string) {
	r.mu.Lock()
	r.serverAddrs[id] = addr
	r.mu.Unlock()
	r.network.refuse(serverAt(id), false)
}

// startHosted starts the node on a server's machine, and then has the worker start the server.
func (r *rig) startHosted(w *worker, m loopback.Message, id string) {
	for i, info := range r.infos {
		if info.HostID != id {
			continue
		}
		switch err := r.startNode(i); {
		case err == nil:
			w.send(loopback.Message{Operation: loopback.OpServerStart, Tier: m.Tier, Index: m.Index})
		case !errors.Is(err, errKilled):
			r.cancel(err)
		}
	}
}

// killHosted kills the node on a server's machine, because it dies with the server.
func (r *rig) killHosted(id string) {
	for i, info := range r.infos {
		if info.HostID == id && info.IngressIndex < 0 {
			r.terminations[i].Add(1)
			r.network.refuse(nodeAt(info.Base), true)
			r.spawn(func() { r.nodes.Kill(i) })
		}
	}
}
