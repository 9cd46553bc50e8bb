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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

// network has controllers on pipes, so that all time is the test's.
type network struct {
	lock      sync.Mutex
	listeners map[string]*pipeListener
	dials     int
}

// pipeListener accepts the ends of pipes.
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

func newNetwork() *network { return &network{listeners: map[string]*pipeListener{}} }

func (n *network) listen(address string) *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.lock.Lock()
	l := n.listeners[address]
	n.dials++
	n.lock.Unlock()
	if l == nil {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, errors.New("refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// controller is a stand-in of a controller: it writes what a test hands it on the watches, and notes acknowledgements.
type controller struct {
	server  http.Server
	updates chan any // configapi.Update, or text that is written as it is
	watches chan configapi.WatchRequest
	acks    chan configapi.Acknowledgement
	refuse  *configapi.Error // watches
	quiet   atomic.Bool      // no heartbeats
	hangUp  bool             // connections of acknowledgements end with their answer, unannounced
}

func startController(t *testing.T, n *network, address string, adjust ...func(*controller)) *controller {
	t.Helper()
	c := &controller{updates: make(chan any, 100), watches: make(chan configapi.WatchRequest, 100), acks: make(chan configapi.Acknowledgement, 100)}
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

func (c *controller) watch(w http.ResponseWriter, r *http.Request) {
	request, err := configapi.ParseWatchRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.watches <- request
	if c.refuse != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(c.refuse)
		return
	}
	beats := time.NewTicker(configapi.HeartbeatInterval)
	defer beats.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case u := <-c.updates:
			if text, is := u.(string); is {
				io.WriteString(w, text)
				continue
			}
			json.NewEncoder(w).Encode(u)
		case <-beats.C:
			if !c.quiet.Load() {
				io.WriteString(w, "\n")
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (c *controller) ack(w http.ResponseWriter, r *http.Request) {
	var ack configapi.Acknowledgement
	if err := json.NewDecoder(r.Body).Decode(&ack); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.acks <- ack
	fmt.Fprintln(w, "{}")
	if c.hangUp {
		conn, buffered, _ := w.(http.Hijacker).Hijack()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n")
		buffered.Flush()
		conn.Close()
	}
}

// applier is a node that a test plays.
type applier struct {
	apply func(ctx context.Context, settings string) error
}

func (a applier) Apply(ctx context.Context, config configapi.ServiceConfig) error {
	return a.apply(ctx, string(config.Settings))
}

// takesAll applies whatever comes and notes it.
func takesAll(applied chan string) applier {
	return applier{func(_ context.Context, settings string) error {
		applied <- settings
		return nil
	}}
}

func version(n int) configapi.Update {
	return configapi.Update{Cluster: "x", Version: configapi.Version(n), ConfigVersion: configapi.Version(n), Current: true,
		Config: &configapi.ServiceConfig{Settings: json.RawMessage(fmt.Sprint(n))}}
}

func startSession(t *testing.T, n *network, with applier, adjust ...func(*Options)) *Session {
	t.Helper()
	options := Options{Node: "n", Service: "s", Region: "r", Zone: "z", Controllers: []string{"a:1"}, Started: time.Now(),
		Applier: with, Log: slog.New(slog.DiscardHandler), Dial: n.dial, Counters: &Counters{}}
	for _, f := range adjust {
		f(&options)
	}
	s := Start(options)
	t.Cleanup(s.Close)
	return s
}

// pass has the time of a bubble go on.
func pass(d time.Duration) { <-time.After(d) }

// within wants something from a channel within some time.
func within[T any](t *testing.T, from <-chan T, most time.Duration, what string) T {
	t.Helper()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case v := <-from:
		return v
	case <-timer.C:
		t.Fatalf("%s: not within %v", what, most)
		panic("unreachable")
	}
}

// A version is applied, acknowledged and reported; the controller hears who asks.
func TestVersionIsAppliedAndAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		c := startController(t, n, "a:1")
		applied := make(chan string, 10)
		observed := make(chan configversion.VersionDecided, 10)
		s := startSession(t, n, takesAll(applied), func(o *Options) { o.Observe = func(a configversion.VersionDecided) { observed <- a } })
		request := within(t, c.watches, configversion.InitialConnectJitter, "watch")
		if want := (configapi.WatchRequest{Node: "n", Service: "s", Region: "r", Zone: "z", StartedMS: request.StartedMS, Session: 1}); request != want {
			t.Errorf("asked with %+v", request)
		}
		c.updates <- version(1)
		if got := within(t, applied, time.Second, "applied"); got != "1" {
			t.Errorf("applied %s", got)
		}
		ack := within(t, c.acks, time.Second, "acknowledgement")
		want := configapi.Acknowledgement{Node: "n", StartedMS: request.StartedMS, Session: 1, Cluster: "x", Version: 1,
			Outcome: configapi.Applied, Applied: 1}
		if ack != want {
			t.Errorf("acknowledged %+v", ack)
		}
		if a := within(t, observed, time.Second, "observed"); a.Version != 1 || a.Controller != "a:1" {
			t.Errorf("observed %+v", a)
		}
		if got, want := s.State(), (State{Cluster: "x", LastDecided: 1, Applied: 1, Controller: "a:1"}); got != want {
			t.Errorf("state %+v", got)
		}
	})
}

// A configuration that the node rejects is acknowledged with the reason; one that it could not try is not.
func TestRejectedAndInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		c := startController(t, n, "a:1")
		rejection := &configapi.Rejection{Kind: configapi.RejectNoServer, Message: "none"}
		s := startSession(t, n, applier{func(_ context.Context, settings string) error {
			if settings == "1" {
				return fmt.Errorf("node: %w", rejection)
			}
			return errors.New("the node ends")
		}})
		c.updates <- version(1)
		ack := within(t, c.acks, 2*time.Second, "acknowledgement")
		if ack.Outcome != configapi.Rejected || *ack.Rejection != *rejection || ack.Applied != 0 {
			t.Errorf("acknowledged %+v", ack)
		}
		c.updates <- version(2)
		pass(10 * time.Second)
		if got := s.State(); got.LastDecided != 1 || len(c.acks) != 0 {
			t.Errorf("state %+v, %d acknowledgements", got, len(c.acks))
		}
	})
}

// An apply that takes long holds up nothing else; the newest version follows it.
func TestSlowApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		c := startController(t, n, "a:1")
		goOn := make(chan struct{})
		var tried []string
		s := startSession(t, n, applier{func(ctx context.Context, settings string) error {
			tried = append(tried, settings)
			select {
			case <-goOn:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
		for i := range 5 {
			c.updates <- version(i + 1)
		}
		pass(time.Minute)
		if len(c.watches) != 1 || s.State().LastDecided != 0 {
			t.Errorf("%d watches, state %+v", len(c.watches), s.State())
		}
		goOn <- struct{}{}
		goOn <- struct{}{}
		if a, b := within(t, c.acks, time.Second, "first"), within(t, c.acks, time.Second, "second"); a.Version != 1 || b.Version != 5 {
			t.Errorf("acknowledged %d and %d", a.Version, b.Version)
		}
		if !slices.Equal(tried, []string{"1", "5"}) {
			t.Errorf("tried %v", tried)
		}
		c.updates <- version(6)
		synctest.Wait()
		s.Close() // while it is tried
	})
}

// A version that is published as the node's controller stalls is in force within 3 s by way of another one.
func TestStalledController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a, b := startController(t, n, "a:1"), startController(t, n, "b:1")
		applied := make(chan string, 10)
		startSession(t, n, takesAll(applied), func(o *Options) { o.Controllers = []string{"a:1", "b:1"} })
		pass(configversion.InitialConnectJitter)
		first, other := a, b
		if len(b.watches) > 0 {
			first, other = b, a
		}
		first.updates <- configapi.Update{Cluster: "x", Current: true}
		pass(time.Second)
		first.quiet.Store(true) // it stalls: neither heartbeats nor updates come any more
		began := time.Now()
		other.updates <- version(1)
		if got := within(t, applied, 3*time.Second, "applied"); got != "1" {
			t.Errorf("applied %s", got)
		}
		t.Logf("in force after %v", time.Since(began))
		within(t, other.acks, time.Second, "acknowledgement")
	})
}

// Acknowledgements share a connection, and go on over another one when the controller has closed it.
func TestAckConnection(t *testing.T) {
	for _, hangUp := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			c := startController(t, n, "a:1", func(c *controller) { c.hangUp = hangUp })
			startSession(t, n, takesAll(make(chan string, 100)))
			const versions = 10
			for i := range versions {
				c.updates <- version(i + 1)
				if ack := within(t, c.acks, 3*time.Second, "acknowledgement"); int(ack.Version) != i+1 {
					t.Fatalf("version %d is acknowledged, want %d", ack.Version, i+1)
				}
				synctest.Wait()
			}
			if !hangUp && n.dials != 2 {
				t.Errorf("%d connections", n.dials)
			}
		})
	}
}

// Whatever a controller writes that is no answer, the node goes on asking, at a bounded rate, and takes nothing of it.
func TestAnswersThatAreNone(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":             "",
		"no HTTP":             "hello\r\n\r\n",
		"a head without end":  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes),
		"a refusal, garbled":  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\n???",
		"an update, garbled":  "HTTP/1.1 200 OK\r\n\r\n{\"cluster\":7}",
		"an update, cut":      "HTTP/1.1 200 OK\r\n\r\n{\"cluster\":\"x\",\"version\":1,\"changed\":1,\"config\":{\"settings\":",
		"an update too large": "HTTP/1.1 200 OK\r\n\r\n{\"cluster\":\"" + strings.Repeat("x", maxUpdateBytes) + "\"}",
		"chunks, garbled":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				l := n.listen("a:1")
				defer l.Close()
				calls := 0
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						calls++
						go func() {
							defer conn.Close()
							conn.SetDeadline(time.Now().Add(time.Second))
							if _, err := conn.Read(make([]byte, 4096)); err != nil {
								return
							}
							io.WriteString(conn, text)
						}()
					}
				}()
				applied := make(chan string, 10)
				s := startSession(t, n, takesAll(applied))
				pass(time.Minute)
				synctest.Wait()
				s.Close()
				if held := len(s.watches); held > 3 {
					t.Errorf("%d watches are held after a minute", held)
				}
				if calls < 20 || calls > 150 || len(applied) > 0 || s.State().LastDecided != 0 {
					t.Errorf("%d calls in a minute, %d applied, %+v", calls, len(applied), s.State())
				}
			})
		})
	}
}

// A controller that is full sends the node elsewhere.
func TestRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		startController(t, n, "a:1", func(c *controller) {
			c.refuse = &configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: []configapi.Endpoint{{Address: "b:1"}}}
		})
		b := startController(t, n, "b:1")
		startSession(t, n, takesAll(make(chan string, 10)))
		if request := within(t, b.watches, 2*time.Second, "watch elsewhere"); request.WatchRejections != 1 {
			t.Errorf("refused %d times", request.WatchRejections)
		}
	})
}

// What a session costs on the wire at rest: a heartbeat twice a second, and nothing that the node sends.
func TestBytesAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		c := startController(t, n, "a:1")
		counters := &Counters{}
		startSession(t, n, takesAll(make(chan string, 10)), func(o *Options) { o.Counters = counters })
		c.updates <- version(1)
		within(t, c.acks, 3*time.Second, "acknowledgement")
		synctest.Wait()
		read, written, beats := counters.BytesRead.Load(), counters.BytesWritten.Load(), counters.Heartbeats.Load()
		pass(time.Minute)
		synctest.Wait()
		read, written, beats = counters.BytesRead.Load()-read, counters.BytesWritten.Load()-written, counters.Heartbeats.Load()-beats
		if read > 60*20 || written != 0 || beats < 118 || beats > 121 {
			t.Errorf("in a minute %d bytes read, %d written, %d heartbeats", read, written, beats)
		}
	})
}
