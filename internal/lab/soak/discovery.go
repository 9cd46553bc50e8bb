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
	longestTurn = 2 * time.Second         // a call that would wait for longer is turned down
	oldAddress  = 1500 * time.Millisecond // an address that is no longer named closes its connections after so long
)

// discovery is the stand-in for the service that all nodes share. Each node calls it at addresses of its own, which is how
// it knows whom it tells.
type discovery struct {
	rec    *record
	faults faults

	mu      sync.Mutex
	version int64
	hosts   []host
	changed []int64       // by server: the version that changed it last
	news    chan struct{} // closed at a change
	silent  chan struct{} // closed: open watches bring nothing any more
	ended   chan struct{} // closed: open watches are reset
	free    time.Time     // when a crowded discovery is done with the calls so far
	down    bool          // connections are refused
	hollow  bool          // connections come up, and calls are turned down after a wait
	doors   map[int]*door // by node
}

// host is a server as discovery lists it.
type host struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// list is a list, or the changes of one.
type list struct {
	Version int64  `json:"seq"`
	Whole   bool   `json:"whole"`
	Hosts   []host `json:"hosts"`
}

// door is where one node calls.
type door struct {
	addr   string
	server *http.Server
}

func newDiscovery(rec *record, servers []*server) *discovery {
	d := &discovery{rec: rec, version: 1, news: make(chan struct{}), silent: make(chan struct{}), ended: make(chan struct{}), doors: map[int]*door{}}
	for _, s := range servers {
		d.hosts = append(d.hosts, host{Host: "s-" + strconv.Itoa(s.index), Dial: s.addr, Site: "a", Class: "m", Health: "in_service"})
		d.changed = append(d.changed, d.version)
	}
	return d
}

// open gives a node a new address. The one before takes no new connections, and closes those that it has after a while.
func (d *discovery) open(node int) (addr string, err error) {
	ln, err := net.Listen("tcp", standInAddress()+":0")
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.doors[node]
	d.doors[node] = &door{addr: ln.Addr().String()}
	if d.down {
		err = ln.Close()
	} else {
		d.attend(node, ln)
	}
	if old != nil && old.server != nil {
		time.AfterFunc(oldAddress, func() { old.server.Close() })
	}
	return ln.Addr().String(), err
}

// attend serves a node's calls. The caller holds the lock.
func (d *discovery) attend(node int, ln net.Listener) {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, node) })}
	d.doors[node].server = server
	go server.Serve(ln) // ends with Close
}

// close ends all addresses.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.doors {
		if o.server != nil {
			o.server.Close()
		}
	}
}

// known is the list as it is.
func (d *discovery) known() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Version: d.version, Whole: true, Hosts: append([]host(nil), d.hosts...)}
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
	drained := Drained{At: d.rec.now(), Server: index, Version: d.version}
	d.rec.note(func(f *Facts) { f.Drains = append(f.Drains, drained) })
	close(d.news)
	d.news = make(chan struct{})
}

// hush has open watches fall silent, and reset ends them.
func (d *discovery) hush() { d.renew(&d.silent) }

func (d *discovery) reset() { d.renew(&d.ended) }

func (d *discovery) renew(signal *chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(*signal)
	*signal = make(chan struct{})
}

// serve answers a call for the whole list, or keeps a watch.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request, node int) {
	if !d.turn(w, r) {
		return
	}
	if _, lost := d.faults.meets(Lose); lost {
		<-r.Context().Done()
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if r.URL.Query().Get("watch") == "" || err != nil {
		from = 0
	}
	d.follow(w, r, node, from)
}

// turn makes a call wait as the faults have it. False: it has its answer, or nobody waits for one.
func (d *discovery) turn(w http.ResponseWriter, r *http.Request) bool {
	var wait time.Duration
	refused := false
	if f, slow := d.faults.is(Slow); slow {
		wait = f.Wait
	}
	if f, crowded := d.faults.is(Crowded); crowded {
		d.mu.Lock()
		now := time.Now()
		if d.free.Before(now) {
			d.free = now
		}
		if refused = d.free.Sub(now) > longestTurn; !refused {
			d.free = d.free.Add(f.Wait)
		}
		wait += min(d.free.Sub(now), longestTurn)
		d.mu.Unlock()
		if refused {
			wait = 0
		}
	}
	d.mu.Lock()
	if d.hollow {
		wait, refused = longestTurn, true
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
func (d *discovery) follow(w http.ResponseWriter, r *http.Request, node int, from int64) {
	beat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer beat.Stop()
	d.mu.Lock()
	silent, ended := d.silent, d.ended
	d.mu.Unlock()
	for first := true; ; first = false {
		text, version, news := d.since(from)
		if first || version > from {
			if _, cut := d.faults.meets(Cut); cut {
				w.Write(text[:len(text)/2])
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			d.rec.note(func(f *Facts) { f.Written = append(f.Written, Written{At: d.rec.now(), Node: node, Version: version}) })
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
func (d *discovery) since(from int64) (text []byte, version int64, news <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Whole: from == 0, Hosts: []host{}}
	for i, h := range d.hosts {
		if from == 0 || d.changed[i] > from {
			l.Hosts = append(l.Hosts, h)
		}
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // only if the types of this file can't be written
	}
	return append(text, '\n'), d.version, d.news
}

// setDown takes discovery away, so that watches are reset, or brings it back.
func (d *discovery) setDown(down, waits bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if (d.down || d.hollow) == down || !down && d.hollow != waits {
		return nil // another outage is on, or has ended this one
	}
	now := d.rec.now()
	if waits {
		if d.hollow = down; down {
			close(d.ended)
			d.ended = make(chan struct{})
		}
		d.noteDown(down, now)
		return nil
	}
	d.down = down
	for node, o := range d.doors {
		if down {
			o.server.Close()
			continue
		}
		ln, err := net.Listen("tcp", o.addr)
		if err != nil {
			return err
		}
		d.attend(node, ln)
	}
	d.noteDown(down, now)
	return nil
}

// noteDown notes the begin or the end of an outage.
func (d *discovery) noteDown(down bool, now time.Duration) {
	d.rec.note(func(f *Facts) {
		if down {
			f.Downs = append(f.Downs, Span{From: now, Open: true})
			return
		}
		last := &f.Downs[len(f.Downs)-1]
		last.To, last.Open = d.rec.now(), false
	})
}
