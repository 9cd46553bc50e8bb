package configwatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// pipeNetwork connects nodes and controllers through pipes, so that all time is virtual in a synctest bubble.
type pipeNetwork struct {
	lock      sync.Mutex
	listeners map[string]*pipeListener
	dials     int
}

// pipeListener is a net.Listener that accepts the controllers' ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{listeners: map[string]*pipeListener{}} }

func (n *pipeNetwork) listen(address string) *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.listeners[address] = l
	return l
}

func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.lock.Lock()
	l := n.listeners[address]
	n.dials++
	n.lock.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	nodeEnd, controllerEnd := net.Pipe()
	select {
	case l.conns <- controllerEnd:
		return nodeEnd, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakeController sends the objects of updates on its watches, and records requests and acknowledgements.
type fakeController struct {
	server        http.Server
	updates       chan any // each a configapi.Update, or a string that is written unchanged
	watches       chan configapi.WatchRequest
	acks          chan configapi.Acknowledgement
	rejectWith    *configapi.Error // the response to watches; nil: they are admitted
	noHeartbeats  atomic.Bool
	closeAfterAck bool // closes the connection after the response to an acknowledgement, without announcing it in a header
}

func startFakeController(t *testing.T, n *pipeNetwork, address string, adjust ...func(*fakeController)) *fakeController {
	t.Helper()
	c := &fakeController{updates: make(chan any, 100), watches: make(chan configapi.WatchRequest, 100), acks: make(chan configapi.Acknowledgement, 100)}
	for _, f := range adjust {
		f(c)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configapi.PathWatch, c.watch)
	mux.HandleFunc("POST "+configapi.PathAck, c.ack)
	c.server.Handler = mux
	l := n.listen(address)
	go c.server.Serve(l)
	t.Cleanup(func() { c.server.Close() })
	return c
}

func (c *fakeController) watch(w http.ResponseWriter, r *http.Request) {
	request, err := configapi.ParseWatchRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.watches <- request
	if c.rejectWith != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(c.rejectWith)
		return
	}
	heartbeats := time.NewTicker(configapi.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case u := <-c.updates:
			if rawText, isText := u.(string); isText {
				io.WriteString(w, rawText)
				continue
			}
			json.NewEncoder(w).Encode(u)
		case <-heartbeats.C:
			if !c.noHeartbeats.Load() {
				io.WriteString(w, "\n")
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (c *fakeController) ack(w http.ResponseWriter, r *http.Request) {
	var ack configapi.Acknowledgement
	if err := json.NewDecoder(r.Body).Decode(&ack); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.acks <- ack
	fmt.Fprintln(w, "{}")
	if c.closeAfterAck {
		conn, buffered, _ := w.(http.Hijacker).Hijack()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n")
		buffered.Flush()
		conn.Close()
	}
}

// fakeApplier is an Applier that calls a function with the settings.
type fakeApplier struct {
	apply func(ctx context.Context, settings string) error
}

func (a fakeApplier) Apply(ctx context.Context, config configapi.ServiceConfig) error {
	return a.apply(ctx, string(config.Settings))
}

// acceptAll returns an Applier that accepts each configuration and sends its settings to applied.
func acceptAll(applied chan string) fakeApplier {
	return fakeApplier{func(_ context.Context, settings string) error {
		applied <- settings
		return nil
	}}
}

func versionUpdate(n int) configapi.Update {
	return configapi.Update{Cluster: "x", Version: configapi.Version(n), ConfigVersion: configapi.Version(n), HasLeaderContact: true,
		Config: &configapi.ServiceConfig{Settings: json.RawMessage(fmt.Sprint(n))}}
}

func startSession(t *testing.T, n *pipeNetwork, applier fakeApplier, adjust ...func(*Options)) *Session {
	t.Helper()
	options := Options{Node: "n", Service: "s", Region: "r", Zone: "z", Controllers: []string{"a:1"}, Started: time.Now(),
		Applier: applier, Log: slog.New(slog.DiscardHandler), Dial: n.dial, Counters: &Counters{}}
	for _, f := range adjust {
		f(&options)
	}
	s := Start(options)
	t.Cleanup(s.Close)
	return s
}

// advance advances the virtual time of a synctest bubble.
func advance(d time.Duration) { <-time.After(d) }

// receiveWithin receives from a channel, and fails the test if nothing arrives within the timeout.
func receiveWithin[T any](t *testing.T, channel <-chan T, timeout time.Duration, what string) T {
	t.Helper()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case v := <-channel:
		return v
	case <-timer.C:
		t.Fatalf("%s: not received within %v", what, timeout)
		panic("unreachable")
	}
}
