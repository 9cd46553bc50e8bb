package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// outageState is what a stand-in for discovery does with calls.
type outageState int

const (
	answering outageState = iota // it serves lists and watches
	refusing                     // its address refuses connections
	silentUp                     // it accepts connections and sends nothing
	halfLists                    // it sends half of a list and resets the connection
)

// outageDiscovery is a discovery with an address, and another one to which it can move.
type outageDiscovery struct {
	scenario   *outageScenario
	addr       string
	newAddress string // refuses connections before moved

	mu        sync.Mutex
	state     outageState
	server    *http.Server // nil while it refuses connections
	version   int
	hosts     []map[string]any
	changed   chan struct{}
	drainedAt time.Duration // when server 0 began to drain; -1: not yet
	writtenAt time.Duration // when a list with the drain was first written; -1: not yet
	spans     []outageSpan  // of the states, oldest first
}

// outageSpan is the beginning of a state.
type outageSpan struct {
	from  time.Duration
	state outageState
}

// set changes the state. Open connections are closed.
func (d *outageDiscovery) set(state outageState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		d.server.Close()
		d.server = nil
	}
	d.state = state
	d.spans = append(d.spans, outageSpan{d.scenario.now(), state})
	if state == refusing {
		return
	}
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.scenario.t.Error(err)
		return
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(ln)
}

// move makes discovery available at its new address only.
func (d *outageDiscovery) move() {
	d.set(refusing)
	d.mu.Lock()
	d.addr = d.newAddress
	d.mu.Unlock()
	d.set(answering)
}

// drain changes the health of server 0, or removes it from the list if health is empty.
func (d *outageDiscovery) drain(health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if d.hosts[0]["health"] = health; health == "" {
		d.hosts = d.hosts[1:]
	}
	d.drainedAt = d.scenario.now()
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the complete list.
func (d *outageDiscovery) list() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

func (d *outageDiscovery) listLocked() string {
	text, err := json.Marshal(map[string]any{"seq": d.version, "whole": true, "hosts": d.hosts})
	if err != nil {
		panic(err) // these types can be encoded
	}
	return string(text)
}

// notifiedAt returns when the node counts as notified of the drain: when a list with it was written, or at the notification
// deadline. Where lists are pushed, that is when discovery had the change and was up; where they are polled, 6 s later.
func (d *outageDiscovery) notifiedAt(mode string) (at time.Duration, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainedAt < 0 {
		return 0, false
	}
	reachable := time.Duration(-1)
	for i, span := range d.spans {
		last := i == len(d.spans)-1
		if span.state == refusing || !last && d.spans[i+1].from <= d.drainedAt {
			continue
		}
		reachable = max(span.from, d.drainedAt)
		break
	}
	if reachable < 0 {
		return 0, false
	}
	switch {
	case mode == "pushed":
		return reachable, true
	case d.writtenAt >= 0:
		return min(d.writtenAt, reachable+notifiedAfterChange), true
	}
	return reachable + notifiedAfterChange, true
}

// ServeHTTP answers a call according to the state.
func (d *outageDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		d.mu.Lock()
		state, changed, text := d.state, d.changed, d.listLocked()
		if state == answering && d.drainedAt >= 0 && d.writtenAt < 0 {
			d.writtenAt = d.scenario.now()
		}
		d.mu.Unlock()
		switch state {
		case silentUp:
			<-r.Context().Done()
			return
		case halfLists:
			fmt.Fprint(w, text[:len(text)/2])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintln(w, text)
		if r.URL.Query().Get("watch") == "" {
			return
		}
		if !d.heartbeats(w, r, changed) {
			return
		}
	}
}

// heartbeats writes heartbeats until the list changes. It returns false if the call has ended.
func (d *outageDiscovery) heartbeats(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
	for {
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
		select {
		case <-changed:
			return true
		case <-time.After(outageHeartbeat):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return false
		}
	}
}
