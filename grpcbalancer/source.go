package grpcbalancer

import (
	"context"

	"hookwalk.example/hookwalk/balancer"
)

// Endpoint is a server and where it is reached.
type Endpoint struct {
	balancer.Server
	Addr string // host:port
}

// EndpointList is what a source tells.
type EndpointList struct {
	Endpoints []Endpoint
	Complete  bool // the boxes are all that there are; else only these have changed
}

// Source brings the boxes of a tier.
type Source interface {
	// Watch tells the whole list and then its changes until ctx ends.
	Watch(ctx context.Context, tell func(EndpointList))
}

// Static is a list that never changes.
type Static []Endpoint

// Watch tells the list.
func (s Static) Watch(ctx context.Context, tell func(EndpointList)) {
	tell(EndpointList{Endpoints: s, Complete: true})
	<-ctx.Done()
}
