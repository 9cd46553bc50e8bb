package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// heartbeat is the interval of the empty lines on a watch.
const heartbeat = 2 * time.Second

// host is one server in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// discovery serves lists and watches.
type discovery struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	seq     int
	hosts   []host
	changed chan struct{}
}

func newDiscovery(r *rig) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	d := &discovery{addr: ln.Addr().String(), seq: 1, hosts: []host{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(ln)
	return d
}

func (d *discovery) close() {
	if d != nil {
		d.server.Close()
	}
}

// down ends the service: open connections are closed, and new ones are refused.
func (d *discovery) down() { d.server.Close() }

// up starts the service again at its address.
func (d *discovery) up() error {
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(ln)
	return nil
}

// snapshot returns the version and the servers of the list.
func (d *discovery) snapshot() (seq int, hosts []host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq, slices.Clone(d.hosts)
}

// set adds a server, or replaces it.
func (d *discovery) set(h host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i] = h
			h = host{}
			break
		}
	}
	if h.Host != "" {
		d.hosts = append(d.hosts, h)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the whole list as one line, and a channel that is closed with the next change.
func (d *discovery) list() (line []byte, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line, _ = json.Marshal(map[string]any{"seq": d.seq, "whole": true, "hosts": d.hosts})
	return line, d.changed
}

// ServeHTTP answers a call for the list, or serves a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	line, changed := d.list()
	fmt.Fprintf(w, "%s\n", line)
	if r.URL.Query().Get("watch") == "" {
		return
	}
	flush := http.NewResponseController(w).Flush
	for flush() == nil {
		select {
		case <-changed:
			line, changed = d.list()
			fmt.Fprintf(w, "%s\n", line)
		case <-time.After(heartbeat):
			fmt.Fprint(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
