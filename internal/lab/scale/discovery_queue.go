package scale

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// DiscoveryQueueOptions configures the stand-in for discovery.
type DiscoveryQueueOptions struct {
	Servers      int           // in the list
	ServiceTime  time.Duration // of one call; calls are handled one after another
	MaxQueueTime time.Duration // a call that would wait longer is answered with 503 after this time
}

// DiscoveryCounts holds counts of the traffic of a DiscoveryQueue.
type DiscoveryCounts struct {
	Calls       int64 // for a list or a watch, including rejected calls
	Rejected    int64 // calls answered with 503 because the queue was too long
	BytesOut    int64 // payload written, HTTP headers included
	BytesIn     int64 // payload read
	Connections int64
}

// Since returns the difference from earlier counts.
func (c DiscoveryCounts) Since(earlier DiscoveryCounts) DiscoveryCounts {
	return DiscoveryCounts{
		Calls:       c.Calls - earlier.Calls,
		Rejected:    c.Rejected - earlier.Rejected,
		BytesOut:    c.BytesOut - earlier.BytesOut,
		BytesIn:     c.BytesIn - earlier.BytesIn,
		Connections: c.Connections - earlier.Connections,
	}
}

// listedServer is a server in the form that discovery sends.
type listedServer struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// serverList is a list, or the changes of a list, in the form that discovery sends.
type serverList struct {
	Seq      int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []listedServer `json:"hosts"`
}

// DiscoveryQueue is a stand-in for discovery as one service that all nodes share: it handles calls one after another
// and keeps a watch for each client. All clients receive the same list.
type DiscoveryQueue struct {
	options  DiscoveryQueueOptions
	server   *http.Server
	listener *payloadListener
	serving  sync.WaitGroup
	calls    atomic.Int64
	rejected atomic.Int64

	mu           sync.Mutex
	queueFree    time.Time // when all calls accepted so far will have been handled
	version      int64
	servers      []listedServer
	changed      []int64       // by server: version of its last change
	updated      chan struct{} // closed at the next change
	watchesReset chan struct{} // closed when EndWatches resets all watches
}

// NewDiscoveryQueue starts to serve version 1 of a list of servers on a listener. The caller must call Close.
func NewDiscoveryQueue(ln net.Listener, options DiscoveryQueueOptions) *DiscoveryQueue {
	q := &DiscoveryQueue{options: options, listener: &payloadListener{Listener: ln}, version: 1,
		updated: make(chan struct{}), watchesReset: make(chan struct{})}
	for i := range options.Servers {
		q.servers = append(q.servers, listedServer{Host: fmt.Sprintf("s-%08x", i), Dial: fmt.Sprintf("10.1.%d.%d:5000", i/250, i%250),
			Site: "a", Class: "m2", Block: i / 6, Health: inService, Share: 1, Born: 1760000000000})
		q.changed = append(q.changed, q.version)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", q.serve)
	q.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	q.serving.Go(func() { _ = q.server.Serve(q.listener) }) // returns an error after Close, as intended
	return q
}

// Close ends all watches and calls.
func (q *DiscoveryQueue) Close() error {
	err := q.server.Close()
	q.serving.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Counts returns the counts so far.
func (q *DiscoveryQueue) Counts() DiscoveryCounts {
	return DiscoveryCounts{Calls: q.calls.Load(), Rejected: q.rejected.Load(), BytesOut: q.listener.out.Load(),
		BytesIn: q.listener.in.Load(), Connections: q.listener.accepted.Load()}
}

// Version returns the current version of the list.
func (q *DiscoveryQueue) Version() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.version
}

// Change changes the entry of one server, a different one with each call, and thereby the version of the list.
func (q *DiscoveryQueue) Change() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.version++
	index := int(q.version) % len(q.servers)
	q.servers[index].Born++
	q.changed[index] = q.version
	close(q.updated)
	q.updated = make(chan struct{})
}

// EndWatches resets all watches at once, as a restart of discovery does.
func (q *DiscoveryQueue) EndWatches() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.watchesReset)
	q.watchesReset = make(chan struct{})
}

// awaitTurn waits until a call has passed the queue, and reports whether it is to be answered with a list. A client that
// disconnects keeps its place in the queue. A rejected call takes no place.
func (q *DiscoveryQueue) awaitTurn(r *http.Request) bool {
	done, inTime := q.enqueue(time.Now())
	wait := time.NewTimer(time.Until(done))
	defer wait.Stop()
	select {
	case <-wait.C:
		return inTime
	case <-r.Context().Done():
		return false
	}
}

// enqueue returns when a call that arrives now is answered, and whether it is answered with a list or rejected.
func (q *DiscoveryQueue) enqueue(now time.Time) (done time.Time, inTime bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queueFree.Before(now) {
		q.queueFree = now
	}
	done = q.queueFree.Add(q.options.ServiceTime)
	if done.Sub(now) > q.options.MaxQueueTime {
		q.rejected.Add(1)
		return now.Add(q.options.MaxQueueTime), false
	}
	q.queueFree = done
	return done, true
}

// changesSince returns the changes after a version, or the complete list for version 0.
func (q *DiscoveryQueue) changesSince(version int64) listUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := serverList{Seq: q.version, Complete: version == 0, Hosts: []listedServer{}}
	for i, server := range q.servers {
		if q.changed[i] > version {
			list.Hosts = append(list.Hosts, server)
		}
	}
	return listUpdate{list: list, version: q.version, updated: q.updated, reset: q.watchesReset}
}

// serve answers a call when it has passed the queue.
func (q *DiscoveryQueue) serve(w http.ResponseWriter, r *http.Request) {
	q.calls.Add(1)
	if !q.awaitTurn(r) {
		http.Error(w, "too busy", http.StatusServiceUnavailable)
		return
	}
	serveList(w, r, q.changesSince)
}

// payloadListener counts the connections that it accepts and their payload, over any kind of network.
type payloadListener struct {
	net.Listener
	out, in, accepted atomic.Int64
}

// Accept waits for the next connection.
func (l *payloadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &payloadConn{conn, l}, nil
}

// payloadConn is an accepted connection whose payload is counted.
type payloadConn struct {
	net.Conn
	listener *payloadListener
}

func (c *payloadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *payloadConn) Write(p []byte) (int, error) {
	c.listener.out.Add(int64(len(p))) // counted before the peer can have read it
	return c.Conn.Write(p)
}
