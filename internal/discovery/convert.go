package discovery

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
)

// The health values in discovery's lists that do not mean draining.
const (
	healthInService  = "in_service" // it accepts requests
	healthTerminated = "terminated" // it no longer exists
)

// ToServer converts an endpoint to the form of the decision module. An endpoint whose health value is unknown counts as
// draining, and receives no new requests.
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

// ToUpdate converts a list to the form of the engine.
func ToUpdate(list discoveryapi.List) engine.Update {
	update := engine.Update{Version: list.Version, Complete: list.Complete, Endpoints: make([]engine.Endpoint, len(list.Endpoints))}
	for i, endpoint := range list.Endpoints {
		update.Endpoints[i] = engine.Endpoint{Server: ToServer(endpoint), Addr: endpoint.Addr}
	}
	return update
}
