package loopback

import "sync"

// ingress distributes client requests round-robin over the nodes that it considers to be serving.
type ingress struct {
	mu              sync.Mutex
	nodes           []*process
	believedServing []bool
	lastPicked      int
}

// pickNode returns the next serving node, or nil if there is none.
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

// setServing sets whether the ingress considers a node to be serving.
func (in *ingress) setServing(i int, serving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.believedServing[i] = serving
}
