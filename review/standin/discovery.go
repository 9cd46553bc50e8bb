package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is how often a watch gets an empty line while nothing changes.
const heartbeatInterval = 2 * time.Second

// discoveryStandIn speaks the protocol of discovery: the whole list, and watches on changes.
type discoveryStandIn struct {
	rig  *rig
	addr string
	// second is another address at which the same discovery listens, for changes of the configuration.
	second net.Listener

	mu      sync.Mutex
	version int
	entries []object                              // the whole list
	changed map[string]int                        // version of the last change of an entry, by host
	watches map[net.Conn]int                      // open watches, and the version that each was told
	crowded time.Duration                         // a call waits so long and is answered 503; 0: calls are answered at once
	slow    func() (wait time.Duration, cut bool) // a call waits so long, and its answer may be cut; nil: calls are answered at once
	told    map[int]time.Time                     // when a version was first written to a watch
}

// entry returns one server as discovery lists it.
func entry(host, dial, health string) object {
	return object{"host": host, "dial": dial, "site": "kelowna-dc", "class": "logic-mid", "block": 0, "health": health,
		"share": 1.0, "born_ms": 0}
}

func (r *rig) startDiscovery(entries []object) *discoveryStandIn {
	d := &discoveryStandIn{rig: r, version: 1, entries: entries, changed: map[string]int{}, watches: map[net.Conn]int{},
		told: map[int]time.Time{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d.addr = ln.Addr().String()
	d.second, err = net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go http.Serve(d.second, http.HandlerFunc(d.serve))
	go http.Serve(ln, http.HandlerFunc(d.serve))
	go d.beat()
	return d
}

// known returns the whole list, as a node is told it at its start.
func (d *discoveryStandIn) known() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return object{"seq": d.version, "whole": true, "hosts": d.entries}
}

func (d *discoveryStandIn) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	crowded, slow := d.crowded, d.slow
	d.mu.Unlock()
	cut := false
	if slow != nil {
		var wait time.Duration
		wait, cut = slow()
		time.Sleep(wait)
	}
	if crowded > 0 {
		d.rig.log("discovery: a call waits in turn: %s", r.URL)
		time.Sleep(crowded)
		d.rig.log("discovery: it has waited too long: 503")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(d.known())
		return
	}
	from := 0
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	d.mu.Lock()
	defer d.mu.Unlock()
	if cut {
		d.rig.log("discovery: an answer is cut")
		writeChunk(conn, []byte(`{"seq":`))
		resetConn(conn)
		return
	}
	d.watches[conn] = from
	d.rig.log("discovery: a watch is open from %d", from)
	d.tell(conn, true)
}

// tell writes to a watch what has changed since the version that it was told. The caller holds d.mu.
func (d *discoveryStandIn) tell(conn net.Conn, first bool) {
	from := d.watches[conn]
	list := object{"seq": d.version, "whole": from == 0, "hosts": []object{}}
	for _, e := range d.entries {
		if from == 0 || d.changed[e["host"].(string)] > from {
			list["hosts"] = append(list["hosts"].([]object), e)
		}
	}
	if !first && d.version == from {
		return
	}
	text, _ := json.Marshal(list)
	d.watches[conn] = d.version
	writeChunk(conn, append(text, '\n'))
	if _, known := d.told[d.version]; !known {
		d.told[d.version] = time.Now()
	}
	d.rig.log("discovery: told on a watch: version %d, %d entries", d.version, len(list["hosts"].([]object)))
}

func writeChunk(conn net.Conn, text []byte) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// beat writes an empty line to each watch every 2 s.
func (d *discoveryStandIn) beat() {
	for range time.Tick(heartbeatInterval) {
		d.mu.Lock()
		for conn := range d.watches {
			writeChunk(conn, []byte("\n"))
		}
		d.mu.Unlock()
	}
}

// change sets the health of a server and tells all watches.
func (d *discoveryStandIn) change(host, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i, e := range d.entries {
		if e["host"] == host {
			d.entries[i] = entry(host, e["dial"].(string), health)
			d.changed[host] = d.version
		}
	}
	d.rig.log("discovery: version %d: %s is %s", d.version, host, health)
	for conn := range d.watches {
		d.tell(conn, false)
	}
}

// resetWatches resets all open watches.
func (d *discoveryStandIn) resetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.watches {
		resetConn(conn)
		delete(d.watches, conn)
	}
	d.rig.log("discovery: all watches are reset")
}

func (d *discoveryStandIn) setCrowded(wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = wait
	d.rig.log("discovery: calls wait %v and are answered 503 (0: answered at once)", wait)
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
