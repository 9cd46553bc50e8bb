package loopback

import "slices"

// States of a server in discovery's published format.
const (
	HealthReady    = "in_service"  // accepts requests
	HealthDraining = "terminating" // accepts no new requests
	HealthRemoved  = "terminated"  // has ended or is unreachable
)

// Placement of the lab's servers in discovery's lists.
const (
	site            = "benchland" // site of all servers
	serversPerBlock = 6
)

// firstVersion is the version of the list at the start.
const firstVersion = 1

// EndpointList is a complete list of servers, or the changes of a list, in discovery's published format.
type EndpointList struct {
	Seq       int64      `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one server of an EndpointList.
type Endpoint struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Class     string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	StartedMS float64 `json:"born_ms"`
}

// NewEndpoint returns the entry of a server that is ready.
func NewEndpoint(id, kind, addr string, index int) Endpoint {
	return Endpoint{Host: id, Dial: addr, Site: site, Class: kind, Block: index / serversPerBlock, Health: HealthReady, Share: 1}
}

// isReady reports whether nodes may send requests to the server.
func (e Endpoint) isReady() bool { return e.Health == HealthReady }

// withDialAddresses replaces the addresses in list with those at which the node reaches the servers.
func (p *process) withDialAddresses(list []Endpoint) []Endpoint {
	for i, e := range list {
		if addr := p.dialAddresses[e.Host]; addr != "" {
			list[i].Dial = addr
		}
	}
	return list
}

// tierList is the endpoint list of one tier. It is guarded by discovery.mu.
type tierList struct {
	version   int64
	endpoints []Endpoint
	changedAt []int64        // by endpoint: the version of its last change
	updated   chan struct{}  // closed when the list changes
	revisions map[string]int // by server: number of state changes so far, including those not yet published
}

func newTierList(row []*server) *tierList {
	l := &tierList{version: firstVersion, updated: make(chan struct{}), revisions: map[string]int{}}
	for i, s := range row {
		l.endpoints = append(l.endpoints, NewEndpoint(s.model.ID, s.model.Kind.Name, s.addr, i))
		l.changedAt = append(l.changedAt, firstVersion)
	}
	return l
}

// complete returns the complete list.
func (l *tierList) complete() EndpointList {
	return EndpointList{Seq: l.version, Complete: true, Endpoints: slices.Clone(l.endpoints)}
}

// since returns the changes since a version. It returns the complete list for version 0 and for a version that the list
// has not reached.
func (l *tierList) since(version int64) EndpointList {
	if version > l.version {
		version = 0
	}
	list := EndpointList{Seq: l.version, Complete: version == 0, Endpoints: []Endpoint{}}
	for i, e := range l.endpoints {
		if l.changedAt[i] > version {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// set changes the state of a server. startedMS is when it started again, in Unix milliseconds, or 0.
func (l *tierList) set(index int, health string, startedMS float64) {
	l.version++
	l.endpoints[index].Health, l.changedAt[index] = health, l.version
	if startedMS > 0 {
		l.endpoints[index].StartedMS = startedMS
	}
	close(l.updated)
	l.updated = make(chan struct{})
}
