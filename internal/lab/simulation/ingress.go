package simulation

import (
	"fmt"
	"time"
)

// ingress distributes clients round-robin over the nodes that are serving as far as it knows.
type ingress struct {
	world        *World
	nodes        []*node
	knownServing []bool
	lastPicked   int
}

func newIngress(w *World) *ingress {
	in := &ingress{world: w}
	for i := range w.scenario.Ingress.Nodes {
		n := w.newNode(fmt.Sprintf("n%d", i), 0, i, w.scenario.Ingress.Nodes)
		n.ingress, n.ingressIndex = in, i
		in.nodes = append(in.nodes, n)
		in.knownServing = append(in.knownServing, true)
	}
	return in
}

// pickNode returns the next serving node, or nil if there is none.
func (in *ingress) pickNode() *node {
	for range in.nodes {
		in.lastPicked = (in.lastPicked + 1) % len(in.nodes)
		if in.knownServing[in.lastPicked] {
			return in.nodes[in.lastPicked]
		}
	}
	return nil
}

// notify tells the ingress after a delay whether a node is serving, unless the node's incarnation has changed by then.
func (in *ingress) notify(n *node, after time.Duration, serving bool) {
	incarnation := n.incarnation
	in.world.after(after, func() {
		if n.incarnation == incarnation {
			in.knownServing[n.ingressIndex] = serving
		}
	})
}
