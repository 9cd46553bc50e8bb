package loopback

import "sync"

// ingress spreads clients over the nodes that it believes to serve, one after another.
type ingress struct {
	mu              sync.Mutex
	nodes           []*process
	believedServing []bool
	lastPicked      int
}

// pickNode is the next node; nil: there is none.
func (in *ingress) pickNode() *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	for range in.nodes {
		in.lastPicked = (in.lastPicked + 1) % len(in.nodes)
		if in.believedServing[in.lastPicked] {
			return in.nodes[in.lastPicked]
		}
	}
	return nil
}

// setServing says whether a node serves.
func (in *ingress) setServing(i int, serving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.believedServing[i] = serving
}
