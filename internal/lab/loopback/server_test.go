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

// newTestServer returns a single server that listens, in a world of its own.
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
	b := &server{world: w, tier: s.Tiers[0], model: model.NewServer("s-1", 0, 0, &s.Tiers[0].Kinds[0], s.Rules)}
	w.servers = [][]*server{{b}}
	if err := b.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Down(false) })
	return b
}

// testClient is a connection to the server, as a node has it.
type testClient struct {
	net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, b *server) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

func (p *testClient) send(class string) {
	fmt.Fprintf(p, "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: %s\r\nX-Budget: 900000u\r\n\r\n", class)
}

// serveRequest is the status of the next answer and what ended it early.
func (p *testClient) answer() (int, error) {
	r, err := http.ReadResponse(p.br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

func (p *testClient) expect(t *testing.T, class string, status int) {
	t.Helper()
	p.send(class)
	if got, err := p.answer(); got != status || err != nil {
		t.Fatalf("answered %d, %v, want %d", got, err, status)
	}
}

// A stand-in that answered more than its kind allows would hide overload from every play.
func TestServerAnswersAndRejects(t *testing.T) {
	b := newTestServer(t)
	p := dial(t, b)
	p.expect(t, "c", 200)
	p.expect(t, "c", 200)
	b.locked(func() { // its one slot is taken
		if !b.model.Admit(b.world.now(), &model.Job{Work: time.Hour}) {
			t.Error("not admitted")
		}
	})
	p.expect(t, "c", 503)
	b.locked(func() { b.model.State = model.Draining })
	p.expect(t, "c", 503)
}

// A process that dies resets its connections and refuses new ones, and can start again at its address.
func TestServerDies(t *testing.T) {
	b := newTestServer(t)
	p := dial(t, b)
	p.expect(t, "c", 200)
	p.send("long") // it may be in the box by then, or still on its way: either ends in a reset
	b.stop()
	if _, err := p.answer(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("its connection ended with %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", b.addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new one: %v, want it refused", err)
	}
	b.model.Start(b.world.now())
	if err := b.start(); err != nil {
		t.Fatal(err)
	}
	dial(t, b).expect(t, "c", 200)
}

// A machine that leaves the network looks like nothing at all: old connections stay open without an answer, and no new one
// comes up. When it is back, it resets the old ones.
func TestServerLeavesTheNetwork(t *testing.T) {
	b := newTestServer(t)
	p := dial(t, b)
	p.expect(t, "c", 200)
	if err := b.disconnect(); err != nil {
		t.Fatal(err)
	}
	p.send("c")
	p.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := p.answer(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an old connection: %v, want no answer", err)
	}
	if c, err := net.DialTimeout("tcp", b.addr, 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a new connection came up")
	}
	b.locked(b.reconnect)
	p.SetReadDeadline(time.Time{})
	if _, err := p.br.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("back again: %v, want a reset", err)
	}
	dial(t, b).expect(t, "c", 200)
}

// A server resets idle connections and breaks off answers as its faults say, and holds no more connections than its kind has.
func TestServerResetsAndBreaksOff(t *testing.T) {
	b := newTestServer(t)
	p := dial(t, b)
	p.expect(t, "c", 200)
	b.resetIdle(1)
	p.send("c")
	if _, err := p.answer(); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v, want a reset", err)
	}
	b.locked(func() { b.brokenShare = 1 })
	q := dial(t, b)
	q.send("c")
	if status, err := q.answer(); status != 200 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a broken answer: %d, %v, want half of it", status, err)
	}
	b.locked(func() { b.brokenShare = 0 })
	for range 20 { // more than it may hold at once
		c := dial(t, b)
		c.expect(t, "c", 200)
		c.Close()
		for open := 1; open > 0; { // the server notices by itself
			b.locked(func() { open = len(b.connections) })
		}
	}
}

// Requests that no node would send must not harm a server.
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
		v := (&server{world: w, tier: scenario.Tier{Work: 1}, model: model.NewServer("s-1", 0, 0, kind, s.Rules)}).newVisit(r, true)
		if v.ownWork < 0 || v.ownWork > 1e6*time.Millisecond || v.class != 0 {
			t.Errorf("%q: took %+v", text, v)
		}
	})
}
