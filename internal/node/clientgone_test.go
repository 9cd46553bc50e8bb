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

// departingClient is a client that sends a request and then closes its connection.
type departingClient struct {
	trailing string // sent after the request
	reset    bool   // close with a reset
}

var departingClients = map[string]departingClient{
	"closed":                        {},
	"reset":                         {reset: true},
	"closed after another request":  {trailing: rawRequest("unsafe", "again")},
	"reset after another request":   {trailing: rawRequest("unsafe", "again"), reset: true},
	"closed after stray bytes":      {trailing: "\x00\x01 stray"},
	"closed after many stray bytes": {trailing: strings.Repeat("stray ", 7<<10)},
}

// rawRequest returns the bytes of a complete request with a body of one byte.
func rawRequest(class, id string) string {
	return "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + class + "\r\nX-Budget: 20000m\r\nContent-Length: 1\r\n\r\nx"
}

// connect opens a connection and sends the request with the given ID, followed by the trailing bytes.
func (d departingClient) connect(t *testing.T, addr, id string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := c.Write([]byte(rawRequest("unsafe", id) + strings.ReplaceAll(d.trailing, "again", id+"-again"))); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// leave closes the connection in the way of this client.
func (d departingClient) leave(c *net.TCPConn) {
	if d.reset {
		c.SetLinger(0)
	}
	c.Close()
}

// dialGate blocks dials to servers until it is opened, and signals each dial that waits.
type dialGate struct {
	waiting chan struct{}
	opened  chan struct{}
}

// control implements net.Dialer.ControlContext.
func (g dialGate) control(context.Context, string, string, syscall.RawConn) error {
	g.waiting <- struct{}{}
	<-g.opened
	return nil
}

// departureMoments are the states of a request in which its client leaves. Each function returns two others: awaitRequests
// waits until the node has that many requests in this state, and proceed lets them continue. The test calls proceed after
// the node has noticed that the client has left.
var departureMoments = map[string]func(t *testing.T, n *testNode, b *backend, requests int) (awaitRequests, proceed func()){
	"queued": func(t *testing.T, n *testNode, b *backend, requests int) (func(), func()) {
		endpoint := inServiceEndpoint("s-0", b.addr())
		endpoint.Health = "terminating"
		n.applyEndpoint(t, endpoint)
		return func() {
				eventually(t, "the requests are queued", func() bool { return n.openRequests() == requests })
			}, func() {
				n.applyEndpoint(t, inServiceEndpoint("s-0", b.addr()))
			}
	},
	"connecting": func(t *testing.T, n *testNode, b *backend, requests int) (func(), func()) {
		g := dialGate{make(chan struct{}, 2*requests), make(chan struct{})}
		n.pool.mu.Lock()
		n.pool.dialer.ControlContext = g.control
		n.pool.mu.Unlock()
		return func() {
			for range requests {
				<-g.waiting
			}
		}, func() { close(g.opened) }
	},
}

// applyEndpoint sends the node an update of one endpoint, and returns when the engine has applied it.
func (n *testNode) applyEndpoint(t *testing.T, h discoveryapi.Endpoint) {
	t.Helper()
	if err := n.engine.ApplyUpdate(t.Context(), discovery.ToUpdate(discoveryapi.List{Endpoints: []discoveryapi.Endpoint{h}})); err != nil {
		t.Fatal(err)
	}
	n.engine.SuccessorState(t.Context(), func() {}) // returns only after the engine has handled the update
}

// openRequests returns the number of open requests in the balancer's checkpoint.
func (n *testNode) openRequests() int {
	var saved struct{ Requests []any }
	n.engine.SuccessorState(context.Background(), func() {
		if text, err := n.engine.Balancer.Checkpoint(); err == nil {
			json.Unmarshal(text, &saved)
		}
	})
	return len(saved.Requests)
}

// observedListener passes each accepted connection to the test, and to the node only after proceed is closed.
type observedListener struct {
	net.Listener
	accepted chan *net.TCPConn
	proceed  chan struct{}
}

func newObservedListener(t *testing.T) *observedListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &observedListener{ln, make(chan *net.TCPConn, 1), make(chan struct{})}
}

func (l *observedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c.(*net.TCPConn)
		<-l.proceed
	}
	return c, err
}

// A client leaves while its request waits, and unread bytes precede the end of its connection, so that net/http does not
// notice. The request would be forwarded and run although nobody receives the response, and the client would send it again
// elsewhere. So the node closes the connection and drops the request, and no server gets it.
func TestNoRequestIsForwardedForGoneClients(t *testing.T) {
	for moment, setUp := range departureMoments {
		for how, client := range departingClients {
			t.Run(moment+"/"+how, func(t *testing.T) {
				b := newBackend(t, respondOK)
				ln := newObservedListener(t)
				close(ln.proceed)
				n := startNodeOn(t, configWithBackends(t, b), ln)
				awaitRequests, proceed := setUp(t, n, b, 1)
				c := client.connect(t, ln.Addr().String(), "1")
				accepted := <-ln.accepted
				awaitRequests()
				begin := time.Now()
				client.leave(c)
				eventually(t, "the node has noticed that the client left", func() bool { return accepted.SetDeadline(time.Time{}) != nil })
				if after := time.Since(begin); after > 3*time.Second { // a queued request is answered after 5 s at the earliest
					t.Errorf("noticed only after %v, with the response", after)
				}
				proceed()
				stopAndCheckIdle(t, n)
				if got := b.requests(); got != 0 {
					t.Errorf("the server got %d requests", got)
				}
			})
		}
	}
}

// The same as TestNoRequestIsForwardedForGoneClients, but the client leaves before the node reads its request.
func TestClientGoneBeforeRequestIsRead(t *testing.T) {
	for how, client := range departingClients {
		t.Run(how, func(t *testing.T) {
			b := newBackend(t, respondOK)
			ln := newObservedListener(t)
			n := startNodeOn(t, configWithBackends(t, b), ln)
			client.leave(client.connect(t, ln.Addr().String(), "1"))
			accepted := <-ln.accepted
			eventually(t, "the end of the connection has arrived", func() bool { return peerHasClosed(accepted) })
			close(ln.proceed)
			eventually(t, "the node has closed the connection", func() bool { return accepted.SetDeadline(time.Time{}) != nil })
			stopAndCheckIdle(t, n)
			if got := b.requests(); got != 0 {
				t.Errorf("the server got %d requests", got)
			}
		})
	}
}

// peerHasClosed reports whether a connection's peer has closed it.
func peerHasClosed(c *net.TCPConn) (closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != 1
	})
	return closed
}

// A client closes its connection in the middle of a streamed body. Unread bytes of the body precede the end of the
// connection, so that reading does not show that the client has gone. The server must get nothing.
func TestClientGoneDuringBody(t *testing.T) {
	b := newBackend(t, respondOK)
	ln := newObservedListener(t)
	close(ln.proceed)
	n := startNodeOn(t, configWithBackends(t, b), ln)
	h := inServiceEndpoint("s-0", b.addr())
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
	accepted := <-ln.accepted
	eventually(t, "the request is queued", func() bool { return n.openRequests() == 1 })
	c.Close()
	eventually(t, "the end of the connection has arrived", func() bool { return peerHasClosed(accepted) })
	n.applyEndpoint(t, inServiceEndpoint("s-0", b.addr()))
	stopAndCheckIdle(t, n)
	if b.requests() != 0 || b.accepted() > 0 {
		t.Errorf("the server got %d requests on %d connections", b.requests(), b.accepted())
	}
}
