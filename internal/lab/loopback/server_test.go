package loopback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// newTestServer starts a server in a world that has nothing else.
func newTestServer(t *testing.T) *server {
	t.Helper()
	s, err := scenario.Parse("a.hcl", []byte(`scenario "a" {}
tier "t" { kind "k" { slots = 1 queue = 0 conns = 5 handshake_us = 0 } }
class "c" { effect = "safe" work_ms = 1 cv = 0 deadline_ms = 60000 }
class "long" { effect = "safe" work_ms = 3600000 cv = 0 deadline_ms = 60000 }`), nil)
	if err != nil {
		t.Fatal(err)
	}
	w := &World{scenario: s, observations: newObservations(s), rng: model.Stream(1, "test", 0), heavyTails: make([]heavyTail, 2)}
	w.restartClock()
	w.ctx, w.cancel = context.WithCancelCause(context.Background())
	srv := &server{world: w, tier: s.Tiers[0], model: model.NewServer("s-1", 0, 0, &s.Tiers[0].Kinds[0], s.Rules)}
	w.servers = [][]*server{{srv}}
	if err := srv.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Shutdown(false) })
	return srv
}

// testClient is a connection to the server, like that of a node.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, srv *server) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", srv.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

func (c *testClient) send(class string) {
	fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: %s\r\nX-Budget: 900000u\r\n\r\n", class)
}

// readResponse returns the status of the next response and the error that ended it early.
func (c *testClient) readResponse() (int, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

func (c *testClient) expect(t *testing.T, class string, status int) {
	t.Helper()
	c.send(class)
	if got, err := c.readResponse(); got != status || err != nil {
		t.Fatalf("response status %d, %v, want %d", got, err, status)
	}
}

// A stand-in server that served more requests than its kind allows would hide overload from every scenario.
func TestServerRespondsAndRejects(t *testing.T) {
	srv := newTestServer(t)
	client := dial(t, srv)
	client.expect(t, "c", 200)
	client.expect(t, "c", 200)
	srv.locked(func() { // occupy the only slot
		if !srv.model.Admit(srv.world.now(), &model.Job{Work: time.Hour}) {
			t.Error("the server did not admit a job to its free slot")
		}
	})
	client.expect(t, "c", 503)
	srv.locked(func() { srv.model.State = model.Draining })
	client.expect(t, "c", 503)
}

// A server that crashes resets its connections and refuses new ones, and can start again at the same address.
func TestServerCrashAndRestart(t *testing.T) {
	srv := newTestServer(t)
	client := dial(t, srv)
	client.expect(t, "c", 200)
	client.send("long") // whether or not the server has read the request by then, the connection is reset
	srv.stop()
	if _, err := client.readResponse(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the open connection: %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", srv.addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, want ECONNREFUSED", err)
	}
	srv.model.Start(srv.world.now())
	if err := srv.start(); err != nil {
		t.Fatal(err)
	}
	dial(t, srv).expect(t, "c", 200)
}

// A machine that is off the network gives no sign: open connections stay open without a response, and no new one is
// established. When the machine is on the network again, it resets the connections with unanswered requests.
func TestServerDisconnectAndReconnect(t *testing.T) {
	srv := newTestServer(t)
	client := dial(t, srv)
	client.expect(t, "c", 200)
	if err := srv.disconnect(); err != nil {
		t.Fatal(err)
	}
	client.send("c")
	client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := client.readResponse(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v, want a timeout", err)
	}
	if c, err := net.DialTimeout("tcp", srv.addr, 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a new connection was established")
	}
	srv.locked(srv.reconnect)
	client.SetReadDeadline(time.Time{})
	if _, err := client.reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after the reconnection: %v, want a reset", err)
	}
	dial(t, srv).expect(t, "c", 200)
}

// A server resets idle connections and truncates responses as its faults require. It unregisters closed connections, so
// that they do not count towards its limit.
func TestServerConnectionFaultsAndLimit(t *testing.T) {
	srv := newTestServer(t)
	client := dial(t, srv)
	client.expect(t, "c", 200)
	srv.resetIdle(1)
	client.send("c")
	if _, err := client.readResponse(); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v, want a reset", err)
	}
	srv.locked(func() { srv.truncatedShare = 1 })
	truncated := dial(t, srv)
	truncated.send("c")
	if status, err := truncated.readResponse(); status != 200 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a truncated response: status %d, %v, want 200 and an unexpected EOF", status, err)
	}
	srv.locked(func() { srv.truncatedShare = 0 })
	for range 20 { // more than the limit of open connections
		c := dial(t, srv)
		c.expect(t, "c", 200)
		c.Close()
		for open := 1; open > 0; { // wait until the server has noticed the close
			srv.locked(func() { open = len(srv.connections) })
		}
	}
}

// A request that no node would send must not make a server panic, or give an attempt an invalid class or amount of
// work.
func FuzzServerRequest(f *testing.F) {
	f.Add("GET /api?work=1e99&root=%zz HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n")
	f.Add("GET /api?work=NaN HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Budget: 99999999999999999999u\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(io.LimitReader(strings.NewReader(text), 1<<16)))
		if err != nil {
			return
		}
		s := &scenario.Scenario{Classes: []scenario.Class{{Name: "c", Work: time.Millisecond, Deadline: time.Second}}}
		w := &World{scenario: s, rng: model.Stream(1, "test", 0), heavyTails: make([]heavyTail, 1)}
		w.restartClock()
		kind := &scenario.ServerKind{}
		a := (&server{world: w, tier: scenario.Tier{Work: 1}, model: model.NewServer("s-1", 0, 0, kind, s.Rules)}).newAttempt(r, true)
		if a.ownWork < 0 || a.ownWork > 1e6*time.Millisecond || a.class != 0 {
			t.Errorf("%q: parsed as %+v", text, a)
		}
	})
}
