package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// discoveryHeaderTimeout bounds the reading of a call's header.
const discoveryHeaderTimeout = 5 * time.Second

// DiscoveryQueueOptions say how the stand-in for discovery behaves.
type DiscoveryQueueOptions struct {
	Servers     int           // in the list
	ServiceTime time.Duration // of one call; calls are handled one after another
	LongestWait time.Duration // a call whose turn is further off is answered with 503 after so long
}

// DiscoveryCounts is what has reached a DiscoveryQueue so far.
type DiscoveryCounts struct {
	Calls       int64 // for a list or a watch, those turned down among them
	TurnedDown  int64 // answered with 503 because their turn was too far off
	BytesOut    int64 // payload written, HTTP headers included
	BytesIn     int64 // payload read
	Connections int64
}

// Since is what came between an earlier moment and this one.
func (c DiscoveryCounts) Since(earlier DiscoveryCounts) DiscoveryCounts {
	return DiscoveryCounts{
		Calls:       c.Calls - earlier.Calls,
		TurnedDown:  c.TurnedDown - earlier.TurnedDown,
		BytesOut:    c.BytesOut - earlier.BytesOut,
		BytesIn:     c.BytesIn - earlier.BytesIn,
		Connections: c.Connections - earlier.Connections,
	}
}

// listedServer is a server as discovery writes it.
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

// serverList is a list, or the changes of one, as discovery writes it.
type serverList struct {
	Seq   int64          `json:"seq"`
	Whole bool           `json:"whole"`
	Hosts []listedServer `json:"hosts"`
}

// DiscoveryQueue is a stand-in for discovery as one service that all nodes share: it handles calls one after another
// and keeps a watch for each caller. It writes one list, the same for all.
type DiscoveryQueue struct {
	options  DiscoveryQueueOptions
	server   *http.Server
	listener *countedListener
	serving  sync.WaitGroup
	calls    atomic.Int64
	refused  atomic.Int64

	mu      sync.Mutex
	free    time.Time // when the calls so far are handled
	version int64
	servers []listedServer
	changed []int64       // by server: the version that changed it last
	news    chan struct{} // closed at the next change
	ended   chan struct{} // closed when all watches are to end
}

// NewDiscoveryQueue serves a list of servers as version 1 on a listener. Close must follow.
func NewDiscoveryQueue(ln net.Listener, options DiscoveryQueueOptions) *DiscoveryQueue {
	q := &DiscoveryQueue{options: options, listener: &countedListener{Listener: ln}, version: 1,
		news: make(chan struct{}), ended: make(chan struct{})}
	for i := range options.Servers {
		q.servers = append(q.servers, listedServer{Host: fmt.Sprintf("s-%08x", i), Dial: fmt.Sprintf("10.1.%d.%d:5000", i/250, i%250),
			Site: "a", Class: "m2", Block: i / 6, Health: "in_service", Share: 1, Born: 1760000000000})
		q.changed = append(q.changed, q.version)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", q.serve)
	q.server = &http.Server{Handler: mux, ReadHeaderTimeout: discoveryHeaderTimeout}
	q.serving.Go(func() { _ = q.server.Serve(q.listener) }) // ends with Close, which is no error
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

// Counts is what has come so far.
func (q *DiscoveryQueue) Counts() DiscoveryCounts {
	return DiscoveryCounts{Calls: q.calls.Load(), TurnedDown: q.refused.Load(), BytesOut: q.listener.out.Load(),
		BytesIn: q.listener.in.Load(), Connections: q.listener.accepted.Load()}
}

// Version is that of the list as it is.
func (q *DiscoveryQueue) Version() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.version
}

// Change makes the next of a series of changes, of one server each.
func (q *DiscoveryQueue) Change() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.version++
	index := int(q.version) % len(q.servers)
	q.servers[index].Born++
	q.changed[index] = q.version
	close(q.news)
	q.news = make(chan struct{})
}

// EndWatches ends all watches at once, as a restart of discovery does.
func (q *DiscoveryQueue) EndWatches() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.ended)
	q.ended = make(chan struct{})
}

// turn waits until a call's turn is over, and says whether it came in time. A caller that leaves does not give its turn
// back, and one that is turned down has none.
func (q *DiscoveryQueue) turn(r *http.Request) bool {
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

// enqueue gives the time at which a call that arrives now is answered, and whether that is with a list.
func (q *DiscoveryQueue) enqueue(now time.Time) (done time.Time, inTime bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free.Before(now) {
		q.free = now
	}
	done = q.free.Add(q.options.ServiceTime)
	if done.Sub(now) > q.options.LongestWait {
		q.refused.Add(1)
		return now.Add(q.options.LongestWait), false
	}
	q.free = done
	return done, true
}

// since gives the changes after a version, and what is closed at the next change and at the end of all watches.
func (q *DiscoveryQueue) since(version int64) (list serverList, news, ended <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list = serverList{Seq: q.version, Whole: version == 0, Hosts: []listedServer{}}
	for i, server := range q.servers {
		if q.changed[i] > version {
			list.Hosts = append(list.Hosts, server)
		}
	}
	return list, q.news, q.ended
}

// serve answers a call for the whole list, or keeps a watch.
func (q *DiscoveryQueue) serve(w http.ResponseWriter, r *http.Request) {
	q.calls.Add(1)
	if !q.turn(r) {
		http.Error(w, "too busy", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		whole, _, _ := q.since(0)
		_ = json.NewEncoder(w).Encode(whole) // a caller that is gone reads nothing
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no number", http.StatusBadRequest)
		return
	}
	q.follow(w, r, from)
}

// follow writes the changes after a version, then each change as it comes, and an empty line in each heartbeat without
// one, until the caller goes or the watches end.
func (q *DiscoveryQueue) follow(w http.ResponseWriter, r *http.Request, version int64) {
	encoder, flusher := json.NewEncoder(w), w.(http.Flusher)
	heartbeat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		list, news, ended := q.since(version)
		if first || list.Seq > version {
			if encoder.Encode(list) != nil {
				return
			}
			flusher.Flush()
			version = list.Seq
		}
		select {
		case <-news:
		case <-ended:
			panic(http.ErrAbortHandler) // resets the connection
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// countedListener counts the payload of the connections that it accepts, whatever their kind.
type countedListener struct {
	net.Listener
	out, in, accepted atomic.Int64
}

// Accept waits for the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &countedStream{conn, l}, nil
}

// countedStream is one accepted connection.
type countedStream struct {
	net.Conn
	listener *countedListener
}

func (c *countedStream) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countedStream) Write(p []byte) (int, error) {
	c.listener.out.Add(int64(len(p))) // before the caller can have read it
	return c.Conn.Write(p)
}
