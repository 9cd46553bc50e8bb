package loopback

import "slices"

// States of a server in discovery's published form.
const (
	HealthReady    = "in_service"  // accepts requests
	HealthDraining = "terminating" // accepts nothing new
	HealthRemoved  = "terminated"  // has ended, or can't be reached
)

// How discovery lists the servers of the lab.
const (
	site         = "benchland" // of all servers
	blockServers = 6           // that share a block
)

// firstVersion is the version of the list at the start.
const firstVersion = 1

// EndpointList is a list of servers, or its changes, in discovery's published form.
type EndpointList struct {
	Seq       int64      `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one server of an EndpointList.
type Endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// NewEndpoint lists a server as ready.
func NewEndpoint(id, kind, addr string, index int) Endpoint {
	return Endpoint{Host: id, Dial: addr, Site: site, Class: kind, Block: index / blockServers, Health: HealthReady, Share: 1}
}

// ready says that a server may be sent requests.
func (e Endpoint) ready() bool { return e.Health == HealthReady }

// withDialAddresses replaces the addresses of servers by those at which a node reaches them.
func (p *process) withDialAddresses(list []Endpoint) []Endpoint {
	for i, e := range list {
		if addr := p.dialAddresses[e.Host]; addr != "" {
			list[i].Dial = addr
		}
	}
	return list
}

// tierList is the list of one tier. Its discovery's lock guards it.
type tierList struct {
	version   int64
	endpoints []Endpoint
	changedAt []int64        // the version that changed an endpoint last
	updated   chan struct{}  // closed at a change
	revisions map[string]int // of each server's state; an older one that is listed later is stale
}

func newTierList(row []*server) *tierList {
	l := &tierList{version: firstVersion, updated: make(chan struct{}), revisions: map[string]int{}}
	for i, b := range row {
		l.endpoints = append(l.endpoints, NewEndpoint(b.model.ID, b.model.Kind.Name, b.addr, i))
		l.changedAt = append(l.changedAt, firstVersion)
	}
	return l
}

// complete is the whole list.
func (l *tierList) complete() EndpointList {
	return EndpointList{Seq: l.version, Complete: true, Endpoints: slices.Clone(l.endpoints)}
}

// since are the changes since a version, and everything since version 0 or one that the list has not had.
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

// set changes the state of a server; bornMS 0: it has not started again.
func (l *tierList) set(index int, health string, bornMS float64) {
	l.version++
	l.endpoints[index].Health, l.changedAt[index] = health, l.version
	if bornMS > 0 {
		l.endpoints[index].Born = bornMS
	}
	close(l.updated)
	l.updated = make(chan struct{})
}
