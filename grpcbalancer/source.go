package grpcbalancer

import (
	"context"

	"hookwalk.example/hookwalk/balancer"
)

// Endpoint is a server and its address.
type Endpoint struct {
	balancer.Server
	Addr string // host:port
}

// EndpointList is an update from a Source: the complete list, or only the servers that have changed.
type EndpointList struct {
	Endpoints []Endpoint
	Complete  bool // servers that are not listed are removed; otherwise they are unchanged
}

// Source provides the servers of a tier. Watch is called once per engine, in its own goroutine.
type Source interface {
	// Watch reports the complete list and then its changes until ctx ends. report blocks until the engine has received the
	// update.
	Watch(ctx context.Context, report func(EndpointList))
}

// StaticSource is a Source whose list never changes.
type StaticSource []Endpoint

// Watch reports the list once and returns when ctx ends.
func (s StaticSource) Watch(ctx context.Context, report func(EndpointList)) {
	report(EndpointList{Endpoints: s, Complete: true})
	<-ctx.Done()
}
