package grpcbalancer

import (
	"context"

	"hookwalk.example/hookwalk/balancer"
)

// Endpoint is a server and the address where it is reached.
type Endpoint struct {
	balancer.Server
	Addr string // host:port
}

// EndpointList is an update from a Source: the complete list, or what has changed.
type EndpointList struct {
	Endpoints []Endpoint
	Complete  bool // servers that are not listed are removed; else only the listed ones have changed
}

// Source provides the servers of a tier. Watch is called once for an engine, from a goroutine of its own.
type Source interface {
	// Watch reports the complete list and then its changes until ctx ends. report blocks until the engine has the update.
	Watch(ctx context.Context, report func(EndpointList))
}

// StaticSource is a Source whose list never changes.
type StaticSource []Endpoint

// Watch reports the list once.
func (s StaticSource) Watch(ctx context.Context, report func(EndpointList)) {
	report(EndpointList{Endpoints: s, Complete: true})
	<-ctx.Done()
}
