package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

const (
	maxQueueTime   = 2 * time.Second         // a call that would wait for longer is turned down
	oldAddressTime = 1500 * time.Millisecond // an address that is no longer named closes its connections after so long
)

// discovery is the stand-in for the service that all nodes share. Each node calls it at addresses of its own, which is how
// it knows whom it tells.
type discovery struct {
	recorder *recorder
	faults   activeFaults

	mu           sync.Mutex
	version      int64
	hosts        []listedServer
	changed      []int64           // by server: the version that changed it last
	updated      chan struct{}     // closed at a change
	stalled      chan struct{}     // closed: open watches bring nothing any more
	watchesReset chan struct{}     // closed: open watches are reset
	queueFree    time.Time         // when a crowded discovery is done with the calls so far
	refusing     bool              // connections are refused
	holding      bool              // connections come up, and calls are turned down after a wait
	endpoints    map[int]*endpoint // by node
}

// host is a server as discovery lists it.
type listedServer struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// list is a list, or the changes of one.
type endpointList struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []listedServer `json:"hosts"`
}

// door is where one node calls.
type endpoint struct {
	addr   string
	server *http.Server
}

func newDiscovery(rec *recorder, servers []*server) *discovery {
	d := &discovery{recorder: rec, version: 1, updated: make(chan struct{}), stalled: make(chan struct{}), watchesReset: make(chan struct{}), endpoints: map[int]*endpoint{}}
	for _, s := range servers {
		d.hosts = append(d.hosts, listedServer{Host: "s-" + strconv.Itoa(s.index), Dial: s.addr, Site: "a", Class: "m", Health: "in_service"})
		d.changed = append(d.changed, d.version)
	}
	return d
}

// open gives a node a new address. The one before takes no new connections, and closes those that it has after a while.
func (d *discovery) openAddress(node int) (addr string, err error) {
	ln, err := net.Listen("tcp", standInAddress()+":0")
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[node]
	d.endpoints[node] = &endpoint{addr: ln.Addr().String()}
	if d.refusing {
		err = ln.Close()
	} else {
		d.serveNode(node, ln)
	}
	if old != nil && old.server != nil {
		time.AfterFunc(oldAddressTime, func() { old.server.Close() })
	}
	return ln.Addr().String(), err
}

// attend serves a node's calls. The caller holds the lock.
func (d *discovery) serveNode(node int, ln net.Listener) {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, node) })}
	d.endpoints[node].server = server
	go server.Serve(ln) // ends with Close
}

// close ends all addresses.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.endpoints {
		if o.server != nil {
			o.server.Close()
		}
	}
}

// known is the list as it is.
func (d *discovery) currentList() endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return endpointList{Version: d.version, Complete: true, Hosts: append([]listedServer(nil), d.hosts...)}
}

// drain lists a server as draining.
func (d *discovery) drain(index int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts[index].Health != "in_service" {
		return
	}
	d.version++
	d.hosts[index].Health, d.changed[index] = "terminating", d.version
	drained := DrainStart{At: d.recorder.now(), Server: index, Version: d.version}
	d.recorder.record(func(f *Observations) { f.Drains = append(f.Drains, drained) })
	close(d.updated)
	d.updated = make(chan struct{})
}

// hush has open watches fall silent, and reset ends them.
func (d *discovery) stallWatches() { d.closeAndRenew(&d.stalled) }

func (d *discovery) resetWatches() { d.closeAndRenew(&d.watchesReset) }

func (d *discovery) closeAndRenew(signal *chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(*signal)
	*signal = make(chan struct{})
}

// serve answers a call for the whole list, or keeps a watch.
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

// turn makes a call wait as the faults have it. False: it has its answer, or nobody waits for one.
func (d *discovery) awaitTurn(w http.ResponseWriter, r *http.Request) bool {
	var wait time.Duration
	refused := false
	if f, slow := d.faults.find(DiscoverySlow); slow {
		wait = f.Wait
	}
	if f, crowded := d.faults.find(DiscoveryOverload); crowded {
		d.mu.Lock()
		now := time.Now()
		if d.queueFree.Before(now) {
			d.queueFree = now
		}
		if refused = d.queueFree.Sub(now) > maxQueueTime; !refused {
			d.queueFree = d.queueFree.Add(f.Wait)
		}
		wait += min(d.queueFree.Sub(now), maxQueueTime)
		d.mu.Unlock()
		if refused {
			wait = 0
		}
	}
	d.mu.Lock()
	if d.holding {
		wait, refused = maxQueueTime, true
	}
	d.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return false
	}
	if refused {
		http.Error(w, "too busy", http.StatusServiceUnavailable)
	}
	return !refused
}

// follow writes what has changed since a version and, on a watch, each change and heartbeat after.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request, node int, from int64) {
	beat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer beat.Stop()
	d.mu.Lock()
	silent, ended := d.stalled, d.watchesReset
	d.mu.Unlock()
	for first := true; ; first = false {
		text, version, news := d.changesSince(from)
		if first || version > from {
			if _, cut := d.faults.hits(DiscoveryTruncated); cut {
				w.Write(text[:len(text)/2])
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			d.recorder.record(func(f *Observations) {
				f.Deliveries = append(f.Deliveries, Delivery{At: d.recorder.now(), Node: node, Version: version})
			})
			w.Write(text)
			w.(http.Flusher).Flush()
			from = version
		}
		if r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-news:
		case <-beat.C:
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		case <-silent:
			<-r.Context().Done()
			return
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// since is what has changed since a version, as a line, and what is closed at the next change.
func (d *discovery) changesSince(from int64) (text []byte, version int64, news <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := endpointList{Version: d.version, Complete: from == 0, Hosts: []listedServer{}}
	for i, h := range d.hosts {
		if from == 0 || d.changed[i] > from {
			l.Hosts = append(l.Hosts, h)
		}
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // only if the types of this file can't be written
	}
	return append(text, '\n'), d.version, d.updated
}

// setDown takes discovery away, so that watches are reset, or brings it back.
func (d *discovery) setOutage(down, waits bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if (d.refusing || d.holding) == down || !down && d.holding != waits {
		return nil // another outage is on, or has ended this one
	}
	now := d.recorder.now()
	if waits {
		if d.holding = down; down {
			close(d.watchesReset)
			d.watchesReset = make(chan struct{})
		}
		d.recordOutage(down, now)
		return nil
	}
	d.refusing = down
	for node, o := range d.endpoints {
		if down {
			o.server.Close()
			continue
		}
		ln, err := net.Listen("tcp", o.addr)
		if err != nil {
			return err
		}
		d.serveNode(node, ln)
	}
	d.recordOutage(down, now)
	return nil
}

// noteDown notes the begin or the end of an outage.
func (d *discovery) recordOutage(down bool, now time.Duration) {
	d.recorder.record(func(f *Observations) {
		if down {
			f.Outages = append(f.Outages, Span{From: now, Open: true})
			return
		}
		last := &f.Outages[len(f.Outages)-1]
		last.To, last.Open = d.recorder.now(), false
	})
}
