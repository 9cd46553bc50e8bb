package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discoveryapi"
)

// departingClient is a client that has sent a request and leaves.
type departingClient struct {
	sentBehind string // sent behind its request
	reset      bool
}

var departingClients = map[string]departingClient{
	"closed":                          {},
	"reset":                           {reset: true},
	"closed behind a further request": {sentBehind: rawRequest("unsafe", "again")},
	"reset behind a further request":  {sentBehind: rawRequest("unsafe", "again"), reset: true},
	"closed behind stray bytes":       {sentBehind: "\x00\x01 stray"},
	"closed behind a great many":      {sentBehind: strings.Repeat("stray ", 7<<10)},
}

func rawRequest(class, id string) string {
	return "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + class + "\r\nX-Budget: 20000m\r\nContent-Length: 1\r\n\r\nx"
}

func (l departingClient) connect(t *testing.T, addr, id string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := c.Write([]byte(rawRequest("unsafe", id) + strings.ReplaceAll(l.sentBehind, "again", id+"-again"))); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

func (l departingClient) leave(c *net.TCPConn) {
	if l.reset {
		c.SetLinger(0)
	}
	c.Close()
}

// dialGate lets connections to servers come up only when it is opened, and signals each that waits.
type dialGate struct {
	waiting chan struct{}
	opened  chan struct{}
}

func (g dialGate) control(context.Context, string, string, syscall.RawConn) error {
	g.waiting <- struct{}{}
	<-g.opened
	return nil
}

// departureMoments are the moments at which a client leaves. Each returns two functions: one waits until the request is
// there, the other lets it go on, after the node has had all the time that it wanted to see the client leave.
var departureMoments = map[string]func(t *testing.T, n *testNode, b *backend, ids int) (arrive func(), goOn func()){
	"queued": func(t *testing.T, n *testNode, b *backend, ids int) (func(), func()) {
		h := inService("s-0", b.addr())
		h.Health = "terminating"
		n.applyEndpoint(t, h)
		return func() {
				eventually(t, "queued", func() bool { return n.openRequests() == ids })
			}, func() {
				n.applyEndpoint(t, inService("s-0", b.addr()))
			}
	},
	"connecting": func(t *testing.T, n *testNode, b *backend, ids int) (func(), func()) {
		g := dialGate{make(chan struct{}, 2*ids), make(chan struct{})}
		n.pool.mu.Lock()
		n.pool.dialer.ControlContext = g.control
		n.pool.mu.Unlock()
		return func() {
			for range ids {
				<-g.waiting
			}
		}, func() { close(g.opened) }
	},
}

// applyEndpoint tells the node of a server, and returns when the engine has it.
func (r *testNode) applyEndpoint(t *testing.T, h discoveryapi.Endpoint) {
	t.Helper()
	if err := r.engine.ApplyUpdate(t.Context(), discovery.ToUpdate(discoveryapi.List{Endpoints: []discoveryapi.Endpoint{h}})); err != nil {
		t.Fatal(err)
	}
	r.engine.SuccessorState(t.Context(), func() {}) // is answered only when the update has been dealt with
}

// openRequests counts the open requests, by the balancer's own account.
func (r *testNode) openRequests() int {
	var saved struct{ Requests []any }
	r.engine.SuccessorState(context.Background(), func() {
		if text, err := r.engine.Balancer.Checkpoint(); err == nil {
			json.Unmarshal(text, &saved)
		}
	})
	return len(saved.Requests)
}

// observedListener is a listener that shows each connection to the test, and gives it to the node when it may go on.
type observedListener struct {
	net.Listener
	accepted chan *net.TCPConn
	goOn     chan struct{}
}

func newObservedListener(t *testing.T) *observedListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &observedListener{ln, make(chan *net.TCPConn, 1), make(chan struct{})}
}

func (s *observedListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err == nil {
		s.accepted <- c.(*net.TCPConn)
		<-s.goOn
	}
	return c, err
}

// A client leaves while its request waits, behind bytes that nobody has read: net/http no longer notices. Its request would
// be forwarded and run though nobody takes the response, and the client would send it again elsewhere. So its connection
// is closed, its request is forgotten, and no server gets it.
func TestNothingIsSentForGoneClients(t *testing.T) {
	for moment, bring := range departureMoments {
		for how, l := range departingClients {
			t.Run(moment+"/"+how, func(t *testing.T) {
				b := newBackend(t, respondOK)
				ln := newObservedListener(t)
				close(ln.goOn)
				n := serveOn(t, configWith(t, b), ln)
				arrive, goOn := bring(t, n, b, 1)
				c := l.connect(t, ln.Addr().String(), "1")
				there := <-ln.accepted
				arrive()
				begin := time.Now()
				l.leave(c)
				eventually(t, "the client's leaving is noticed", func() bool { return there.SetDeadline(time.Time{}) != nil })
				if after := time.Since(begin); after > 3*time.Second { // a queued request is answered after 5 s and more
					t.Errorf("noticed %v later, with the response", after)
				}
				goOn()
				stopAndCheckIdle(t, n)
				if got := b.requests(); got != 0 {
					t.Errorf("the server got %d requests", got)
				}
			})
		}
	}
}

// The same for a client that left before its connection was accepted, or before the node read what it sent.
func TestClientGoneBeforeItWasRead(t *testing.T) {
	for how, l := range departingClients {
		t.Run(how, func(t *testing.T) {
			b := newBackend(t, respondOK)
			ln := newObservedListener(t)
			n := serveOn(t, configWith(t, b), ln)
			l.leave(l.connect(t, ln.Addr().String(), "1"))
			there := <-ln.accepted
			eventually(t, "its end is there", func() bool { return peerHasClosed(there) })
			close(ln.goOn)
			eventually(t, "closed", func() bool { return there.SetDeadline(time.Time{}) != nil })
			stopAndCheckIdle(t, n)
			if got := b.requests(); got != 0 {
				t.Errorf("the server got %d requests", got)
			}
		})
	}
}

// peerHasClosed reports whether a connection's peer has closed it.
func peerHasClosed(c *net.TCPConn) (yes bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = err == nil && info.State != 1
	})
	return yes
}

// A client closes its connection in the middle of a streamed body. What it has sent lies unread in front of the end, so
// reading does not show that it has gone. The server must get nothing.
func TestClientGoneWithinBody(t *testing.T) {
	b := newBackend(t, respondOK)
	ln := newObservedListener(t)
	close(ln.goOn)
	n := serveOn(t, configWith(t, b), ln)
	h := inService("s-0", b.addr())
	h.Health = "terminating"
	n.applyEndpoint(t, h)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	head := strings.ReplaceAll(rawRequest("unsafe", "1"), "Content-Length: 1\r\n\r\nx", fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20))
	if _, err := c.Write([]byte(head + strings.Repeat("x", 100<<10))); err != nil {
		t.Fatal(err)
	}
	there := <-ln.accepted
	eventually(t, "queued", func() bool { return n.openRequests() == 1 })
	c.Close()
	eventually(t, "its end is there", func() bool { return peerHasClosed(there) })
	n.applyEndpoint(t, inService("s-0", b.addr()))
	stopAndCheckIdle(t, n)
	if b.requests() != 0 || b.accepted() > 0 {
		t.Errorf("the server got %d requests on %d connections", b.requests(), b.accepted())
	}
}
