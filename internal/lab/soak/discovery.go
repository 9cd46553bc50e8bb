package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

const (
	// maxQueueTime is how long a call waits for its turn, or for an outage to end, at most; one that would wait for longer
	// is rejected.
	maxQueueTime = 2 * time.Second
	// oldAddressTime is how long an address that is no longer named keeps the connections that it has.
	oldAddressTime = 1500 * time.Millisecond
)

// Health of a listed server, as discovery writes it.
const (
	inService   = "in_service"  // it takes requests
	terminating = "terminating" // it drains
)

// discovery is the stand-in for the service that all nodes share. Each node calls it at an address of its own, by which
// the stand-in knows whom it notifies.
type discovery struct {
	recorder *recorder
	faults   activeFaults

	mu           sync.Mutex
	version      int64
	hosts        []listedServer
	changed      []int64           // by server: the version that changed it last
	delivered    map[int]int64     // by node: the version that it has
	updated      chan struct{}     // closed at a change
	stalled      chan struct{}     // closed: open watches deliver nothing any more
	watchesReset chan struct{}     // closed: open watches are reset
	queueFreeAt  time.Time         // when an overloaded discovery has handled the calls so far
	refusing     bool              // an outage: connections are refused
	holding      bool              // an outage: connections come up, and calls wait for its end
	holdChanged  chan struct{}     // closed as holding changes
	endpoints    map[int]*endpoint // by node
}

// listedServer is a server as discovery writes it.
type listedServer struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// endpointList is the endpoint list, or the changes of one, as discovery writes it.
type endpointList struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []listedServer `json:"hosts"`
}

// endpoint is the address that one node calls.
type endpoint struct {
	addr   string
	server *http.Server // nil: opened during an outage, and not served yet
}

// newDiscovery lists some servers as version 1. It serves nobody before openAddress.
func newDiscovery(recorder *recorder, servers []*server) *discovery {
	d := &discovery{recorder: recorder, version: 1, updated: make(chan struct{}), stalled: make(chan struct{}),
		watchesReset: make(chan struct{}), holdChanged: make(chan struct{}), delivered: map[int]int64{}, endpoints: map[int]*endpoint{}}
	for _, s := range servers {
		d.hosts = append(d.hosts, listedServer{Host: "s-" + strconv.Itoa(s.index), Dial: s.addr, Site: "a", Class: "m", Health: inService})
		d.changed = append(d.changed, d.version)
	}
	return d
}

// openAddress gives a node a new address. The one before takes no new connections, and closes those that it has after a
// while.
func (d *discovery) openAddress(node int) (addr string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listener, err := listenAtUnusedAddress(func() (net.Listener, error) { return net.Listen("tcp", standInAddress()+":0") }, d.hasAddress)
	if err != nil {
		return "", err
	}
	old := d.endpoints[node]
	d.endpoints[node] = &endpoint{addr: listener.Addr().String()}
	if d.refusing {
		err = listener.Close()
	} else {
		d.serveNode(node, listener)
	}
	if old != nil && old.server != nil {
		time.AfterFunc(oldAddressTime, func() { old.server.Close() })
	}
	return listener.Addr().String(), err
}

// hasAddress reports whether an address is a node's, in an outage too. The caller holds the lock.
func (d *discovery) hasAddress(addr string) bool {
	for _, e := range d.endpoints {
		if e.addr == addr {
			return true
		}
	}
	return false
}

// listenAtUnusedAddress listens at an address that is not taken: the kernel may give the one of a listener that an outage has closed.
func listenAtUnusedAddress(listen func() (net.Listener, error), taken func(addr string) bool) (net.Listener, error) {
	for {
		listener, err := listen()
		if err != nil || !taken(listener.Addr().String()) {
			return listener, err
		}
		defer listener.Close() // later, so that it isn't given again
	}
}

// serveNode serves a node's calls. The caller holds the lock.
func (d *discovery) serveNode(node int, listener net.Listener) {
	handler := func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, node) }
	server := &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: http.HandlerFunc(handler)}
	d.endpoints[node].server = server
	go server.Serve(listener) // ends with Close
}

// close closes all addresses.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if e.server != nil {
			e.server.Close()
		}
	}
}

// deliveredList is the complete list as a node had it last.
func (d *discovery) deliveredList(node int) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := endpointList{Version: max(d.delivered[node], 1), Complete: true, Hosts: slices.Clone(d.hosts)}
	for i := range list.Hosts {
		if d.changed[i] > list.Version {
			list.Hosts[i].Health = inService
		}
	}
	return list
}

// drain lists a server as draining.
func (d *discovery) drain(index int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts[index].Health != inService {
		return
	}
	d.version++
	d.hosts[index].Health, d.changed[index] = terminating, d.version
	start := DrainStart{At: d.recorder.now(), Server: index, Version: d.version}
	d.recorder.record(func(o *Observations) { o.Drains = append(o.Drains, start) })
	close(d.updated)
	d.updated = make(chan struct{})
}

// stallWatches has open watches deliver nothing any more.
func (d *discovery) stallWatches() { d.closeAndRenew(&d.stalled) }

// resetWatches resets open watches.
func (d *discovery) resetWatches() { d.closeAndRenew(&d.watchesReset) }

// closeAndRenew signals open watches; later ones wait for the next signal.
func (d *discovery) closeAndRenew(signal *chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	renew(signal)
}

// renew closes a channel, for all that wait on it, and puts a new one in its place. The caller holds the lock.
func renew(signal *chan struct{}) {
	close(*signal)
	*signal = make(chan struct{})
}

// serve answers a call for the complete list, or serves a watch.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request, node int) {
	if !d.awaitTurn(w, r) {
		return
	}
	if _, lost := d.faults.hits(DiscoveryNoAnswer); lost {
		<-r.Context().Done()
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if r.URL.Query().Get("watch") == "" || err != nil {
		from = 0
	}
	d.watch(w, r, node, from)
}

// watch writes what has changed since a version and, if the call is a watch, each change and heartbeat after.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request, node int, from int64) {
	heartbeat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer heartbeat.Stop()
	d.mu.Lock()
	stalled, watchesReset := d.stalled, d.watchesReset
	d.mu.Unlock()
	for first := true; ; first = false {
		text, version, updated := d.changesSince(from)
		if first || version > from {
			d.deliver(w, node, text, version)
			from = version
		}
		if r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-updated:
		case <-heartbeat.C:
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		case <-stalled:
			<-r.Context().Done()
			return
		case <-watchesReset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// deliver writes a list to a node, or half of it and resets the connection if a fault has it so.
func (d *discovery) deliver(w http.ResponseWriter, node int, text []byte, version int64) {
	if _, truncated := d.faults.hits(DiscoveryTruncated); truncated {
		w.Write(text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	d.mu.Lock()
	d.delivered[node] = version
	d.mu.Unlock()
	d.recorder.record(func(o *Observations) {
		o.Deliveries = append(o.Deliveries, Delivery{At: d.recorder.now(), Node: node, Version: version})
	})
	w.Write(text)
	w.(http.Flusher).Flush()
}

// changesSince is what has changed since a version, as a line, with the version that this leads to and the channel that
// is closed at the next change.
func (d *discovery) changesSince(from int64) (text []byte, version int64, updated <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := endpointList{Version: d.version, Complete: from == 0, Hosts: []listedServer{}}
	for i, host := range d.hosts {
		if from == 0 || d.changed[i] > from {
			list.Hosts = append(list.Hosts, host)
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // only if the types of this file can't be written
	}
	return append(text, '\n'), d.version, d.updated
}
