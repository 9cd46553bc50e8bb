package grpcbalancer

import (
	"context"

	"hookwalk.example/hookwalk/balancer"
)

// Box is a server and where it is reached.
type Box struct {
	balancer.Server
	Addr string // host:port
}

// List is what a source tells.
type List struct {
	Boxes []Box
	Whole bool // the boxes are all that there are; else only these have changed
}

// Source brings the boxes of a tier.
type Source interface {
	// Watch tells the whole list and then its changes until ctx ends.
	Watch(ctx context.Context, tell func(List))
}

// Static is a list that never changes.
type Static []Box

// Watch tells the list.
func (s Static) Watch(ctx context.Context, tell func(List)) {
	tell(List{Boxes: s, Whole: true})
	<-ctx.Done()
}
