package discovery

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
)

// The values of an endpoint's health, on discovery's wire, that are no reason to drain it.
const (
	healthInService  = "in_service" // it takes requests
	healthTerminated = "terminated" // it has gone
)

// ToServer is an endpoint as the decision module knows it. An endpoint in a state that is not known gets no requests.
func ToServer(endpoint discoveryapi.Endpoint) balancer.Server {
	server := balancer.Server{
		ID:        endpoint.ID,
		Zone:      endpoint.Zone,
		Kind:      endpoint.Kind,
		Cell:      endpoint.Cell,
		State:     balancer.Draining,
		StartTime: time.Duration(endpoint.StartedAtMillis * float64(time.Millisecond)),
	}
	switch endpoint.Health {
	case healthInService:
		server.State = balancer.Ready
	case healthTerminated:
		server.State = balancer.Removed
	}
	return server
}

// ToUpdate is a list as the engine takes it.
func ToUpdate(list discoveryapi.List) engine.Update {
	update := engine.Update{Version: list.Version, Complete: list.Complete, Endpoints: make([]engine.Endpoint, len(list.Endpoints))}
	for i, endpoint := range list.Endpoints {
		update.Endpoints[i] = engine.Endpoint{Server: ToServer(endpoint), Addr: endpoint.Addr}
	}
	return update
}
