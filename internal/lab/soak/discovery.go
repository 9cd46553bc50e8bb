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
	// maxQueueTime limits how long a call waits for its turn or for the end of an outage. A call that would wait longer is
	// rejected.
	maxQueueTime = 2 * time.Second
	// oldAddressTime is how long discovery keeps serving a node's previous address after a move.
	oldAddressTime = 1500 * time.Millisecond
)

// Health of a listed server, as discovery writes it.
const (
	inService   = "in_service"  // ready for requests
	terminating = "terminating" // draining
)

// discovery is the stand-in for the discovery service that all nodes share. Each node calls it at a separate address, which
// identifies the node.
type discovery struct {
	recorder *recorder
	faults   activeFaults

	mu           sync.Mutex
	version      int64
	hosts        []listedServer
	changed      []int64           // by server index: the version that last changed it
	delivered    map[int]int64     // by node: the last version that was written to it
	updated      chan struct{}     // closed when the list changes
	stalled      chan struct{}     // closed when open watches stop delivering
	watchesReset chan struct{}     // closed when open watches are reset
	queueFreeAt  time.Time         // when an overloaded discovery will have handled all queued calls
	refusing     bool              // an outage in which connections are refused
	holding      bool              // an outage in which connections are accepted and calls wait for its end
	holdChanged  chan struct{}     // closed when holding changes
	endpoints    map[int]*endpoint // by node
}

// listedServer is an entry of the endpoint list.
type listedServer struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// endpointList is the complete endpoint list, or an update that contains the changed servers.
type endpointList struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []listedServer `json:"hosts"`
}

// endpoint is the address at which one node calls discovery.
type endpoint struct {
	addr   string
	server *http.Server // nil if the address was opened during an outage and is not served yet
}

// newDiscovery returns a discovery that lists some servers as version 1. It serves a node only after openAddress.
func newDiscovery(recorder *recorder, servers []*server) *discovery {
	d := &discovery{recorder: recorder, version: 1, updated: make(chan struct{}), stalled: make(chan struct{}),
		watchesReset: make(chan struct{}), holdChanged: make(chan struct{}), delivered: map[int]int64{}, endpoints: map[int]*endpoint{}}
	for _, s := range servers {
		d.hosts = append(d.hosts, listedServer{Host: "s-" + strconv.Itoa(s.index), Dial: s.addr, Site: "a", Class: "m", Health: inService})
		d.changed = append(d.changed, d.version)
	}
	return d
}

// openAddress opens a new address for a node. The server of the previous address closes after oldAddressTime.
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

// hasAddress reports whether an address belongs to a node, even if an outage has closed it. The caller holds the lock.
func (d *discovery) hasAddress(addr string) bool {
	for _, e := range d.endpoints {
		if e.addr == addr {
			return true
		}
	}
	return false
}

// listenAtUnusedAddress listens at an address that is not taken. The kernel may choose the address of a listener that an
// outage has closed.
func listenAtUnusedAddress(listen func() (net.Listener, error), taken func(addr string) bool) (net.Listener, error) {
	for {
		listener, err := listen()
		if err != nil || !taken(listener.Addr().String()) {
			return listener, err
		}
		defer listener.Close() // held open until the end, so that the kernel does not choose the same address again
	}
}

// serveNode serves the calls of a node. The caller holds the lock.
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

// deliveredList returns the complete list in the last version that was written to a node.
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

// drain marks a server as draining.
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

// stallWatches stops delivery on open watches, including heartbeats.
func (d *discovery) stallWatches() { d.closeAndRenew(&d.stalled) }

// resetWatches resets open watches.
func (d *discovery) resetWatches() { d.closeAndRenew(&d.watchesReset) }

// closeAndRenew signals the watches that are open; watches that open later wait for the next signal.
func (d *discovery) closeAndRenew(signal *chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	renew(signal)
}

// renew closes a channel, which wakes all its waiters, and replaces it by a new one. The caller holds the lock.
func renew(signal *chan struct{}) {
	close(*signal)
	*signal = make(chan struct{})
}

// serve answers a poll with the complete list, or serves a watch.
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

// watch writes the changes since a version and, if the call is a watch, each later change and heartbeats.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request, node int, from int64) {
	heartbeat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer heartbeat.Stop()
	silent := func() {}
	d.mu.Lock()
	stalled, watchesReset := d.stalled, d.watchesReset
	d.mu.Unlock()
	isWatch := r.URL.Query().Get("watch") != ""
	for first := true; ; first = false {
		text, version, updated := d.changesSince(from)
		if first || version > from {
			d.deliver(w, node, text, version)
			from = version
		}
		if !isWatch {
			return
		}
		if first {
			watch := &Watch{Node: node, From: d.recorder.now()}
			d.recorder.record(func(o *Observations) { o.Watches = append(o.Watches, watch) })
			defer d.recorder.record(func(*Observations) { watch.To = d.recorder.now() })
			silent = func() { d.recorder.record(func(*Observations) { watch.SilentAt = d.recorder.now() }) }
		}
		select {
		case <-updated:
		case <-heartbeat.C:
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		case <-stalled:
			silent()
			<-r.Context().Done()
			return
		case <-watchesReset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// deliver writes a list to a node. If a DiscoveryTruncated fault hits, it writes half the list and resets the connection.
func (d *discovery) deliver(w http.ResponseWriter, node int, text []byte, version int64) {
	if _, truncated := d.faults.hits(DiscoveryTruncated); truncated {
		w.Write(text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	at := d.recorder.now()
	w.Write(text)
	if http.NewResponseController(w).Flush() != nil {
		panic(http.ErrAbortHandler) // nothing was written: the connection is closed, as when an outage begins
	}
	d.mu.Lock()
	d.delivered[node] = version
	d.mu.Unlock()
	d.recorder.record(func(o *Observations) {
		o.Deliveries = append(o.Deliveries, Delivery{At: at, Node: node, Version: version})
	})
}

// changesSince returns the changes since a version as a line, the version that they lead to, and a channel that is closed
// at the next change.
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
		panic(err) // impossible: these types can always be encoded
	}
	return append(text, '\n'), d.version, d.updated
}
