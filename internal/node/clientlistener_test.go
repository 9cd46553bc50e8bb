package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// Clients that send one request and keep their connection open, and clients that never send a request, must not hold all
// slots indefinitely: a request on a later connection is served.
func TestIdleConnectionsAreEvictedForNewOnes(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b, b)
	for name, first := range map[string]string{"one request sent": "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", "no request sent": ""} {
		t.Run(name, func(t *testing.T) {
			for range n.maxClientConns + 10 {
				c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				if _, err := c.Write([]byte(first)); err != nil {
					t.Fatal(err)
				}
			}
			fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
			resp, err := fresh.Do(newRequest(t, n.url, "unsafe", name, "x"))
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("answered %d", resp.StatusCode)
			}
		})
	}
}

// Only connections without an open request are evicted, longest idle first, and each slot is released once.
func TestEvictionOfIdleConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(ln, 2, nil)
	accepted := make(chan *clientConn)
	go func() {
		defer close(accepted)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*clientConn)
		}
	}()
	var clients, conns []net.Conn
	connect := func() {
		t.Helper()
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		clients = append(clients, c)
	}
	connect()
	connect()
	conns = append(conns, <-accepted)
	clients[0].Write([]byte("GET"))
	if n, err := conns[0].Read(make([]byte, 8)); n == 0 {
		t.Fatal(err)
	}
	conns = append(conns, <-accepted)
	connect()
	conns = append(conns, <-accepted) // replaces the second: the first has an open request
	if _, err := conns[1].Read(make([]byte, 1)); err == nil {
		t.Error("the second connection was not closed")
	}
	listener.connStateChanged(conns[2], http.StateActive)
	connect()
	select {
	case <-accepted:
		t.Fatal("a connection was accepted although all slots have open requests")
	default:
	}
	conns[0].Close()
	conns[0].Close() // the second call releases no further slot
	conns = append(conns, <-accepted)
	listener.connStateChanged(conns[3], http.StateActive)
	listener.mu.Lock()
	if listener.openConns > listener.maxConns || listener.idleConns.Len() != 0 {
		t.Errorf("%d slots of %d taken, %d connections idle", listener.openConns, listener.maxConns, listener.idleConns.Len())
	}
	listener.mu.Unlock()
	listener.Close() // ends Accept, which waits for a slot
	if _, more := <-accepted; more {
		t.Error("a connection was accepted after Close")
	}
	for _, c := range conns {
		c.Close()
	}
}

// A client that sends no request, or only a part of one, must not hold its slot indefinitely: its connection is closed.
func TestConnectionsOfSilentClientsAreClosed(t *testing.T) {
	n := startWithBackends(t, newBackend(t, respondOK))
	for name, text := range map[string]string{
		"nothing":   "",
		"half head": "POST /api HTTP/1.1\r\nHost:",
		"half body": "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			exchange(t, n, text)
		})
	}
}

// listenerCloses are the ways in which the node closes an idle connection itself.
var listenerCloses = map[string]func(listener *clientListener, c *clientConn){
	"evicted for its slot": func(listener *clientListener, _ *clientConn) {
		wait, _ := listener.acquireSlot()
		<-time.After(wait)
		listener.acquireSlot()
	},
	"out of service": func(listener *clientListener, _ *clientConn) {
		listener.closeIdle(0)
		<-time.After(halfCloseTimeout)
		listener.closeIdle(0)
	},
	"at shutdown": func(listener *clientListener, c *clientConn) { listener.stopReadingIdleConns(); c.Close() },
}

// racingRequestConn is a client connection on which a request arrives at the moment of its close.
type racingRequestConn struct {
	net.Conn
	close func()
}

func (c *racingRequestConn) Read(b []byte) (int, error) { return copy(b, "G"), nil }

func (c *racingRequestConn) Close() error {
	c.close()
	return nil
}

func (c *racingRequestConn) SetReadDeadline(time.Time) error { return nil }

func (c *racingRequestConn) RemoteAddr() net.Addr { return nil }

// A request arrives while its idle connection is being closed, and its client sends it again. If the node read and forwarded
// the first one, it would run twice or get no response. So the request must stay unread, whatever the reason for the close.
func TestRequestRacingWithCloseIsNotRead(t *testing.T) {
	for name, closes := range listenerCloses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newClientListener(nil, 1, nil)
				conn := &racingRequestConn{}
				c := newClientConn(conn, listener)
				read := make(chan error, 1)
				conn.close = func() {
					_, err := c.Read(make([]byte, 1))
					read <- err
				}
				listener.openConns = 1
				listener.markIdle(c)
				<-time.After(minIdleBeforeEviction)
				closes(listener, c)
				if err := <-read; err != io.EOF {
					t.Errorf("a request that arrived during the close was read: %v", err)
				}
			})
		})
	}
}

// lateReadConn is a client connection on which a read that has begun returns bytes although the connection is closed meanwhile, as
// the read of a goroutine that was ready before the close does.
type lateReadConn struct {
	net.Conn
	closed chan struct{}
}

func (c *lateReadConn) Read(b []byte) (int, error) {
	<-c.closed
	return copy(b, "G"), nil
}

func (c *lateReadConn) Close() error {
	close(c.closed)
	return nil
}

func (c *lateReadConn) SetReadDeadline(time.Time) error { return nil }

func (c *lateReadConn) RemoteAddr() net.Addr { return nil }

// The reader of an idle connection is held up: its read returns a request only after the node has closed the connection. If the
// request were served, it would run and its client would get no answer, on a connection that the node itself has ended.
func TestRequestReadAfterCloseIsNotServed(t *testing.T) {
	all := maps.Clone(listenerCloses)
	all["closed"] = func(_ *clientListener, c *clientConn) { c.Close() }
	for name, closes := range all {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newClientListener(nil, 1, nil)
				c := newClientConn(&lateReadConn{closed: make(chan struct{})}, listener)
				listener.openConns = 1
				listener.markIdle(c)
				read := make(chan error, 1)
				go func() {
					_, err := c.Read(make([]byte, 1))
					read <- err
				}()
				<-time.After(minIdleBeforeEviction)
				closes(listener, c)
				if err := <-read; err != io.EOF {
					t.Errorf("a request was read from a closed connection: %v", err)
				}
			})
		})
	}
}

// The deadline of a request's body ends with the body. On a busy node, net/http's background read, which detects that the
// client leaves, may begin just before that deadline is cleared. If the read exceeds the deadline, the request must not be
// canceled: its client is still there, would see its connection close, and would send the request again while it runs.
func TestBodyDeadlineDoesNotCancelRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(ln, 1, nil)
	defer listener.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	type result struct {
		n   int
		err error
	}
	backgroundRead := func() <-chan result {
		read := make(chan result, 1)
		go func() {
			n, err := c.Read(make([]byte, 1))
			read <- result{n, err}
		}()
		return read
	}
	request := "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	read := backgroundRead()
	c.SetReadDeadline(time.Unix(1, 0)) // this is how net/http ends its background read
	if got := <-read; !errors.Is(got.err, os.ErrDeadlineExceeded) {
		t.Errorf("a background read ended by net/http returned %d, %v", got.n, got.err)
	}
	c.SetReadDeadline(time.Now().Add(-time.Millisecond)) // the deadline of the body
	read = backgroundRead()
	if _, err := client.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got.n != 1 || got.err != nil {
		t.Errorf("after the deadline of the body, a background read returned %d, %v", got.n, got.err)
	}
	c.SetReadDeadline(time.Now().Add(-time.Millisecond)) // the deadline of the head that begins with that byte
	if got := <-backgroundRead(); !errors.Is(got.err, os.ErrDeadlineExceeded) {
		t.Errorf("a read of one byte of a head returned %d, %v", got.n, got.err)
	}
}

// A request that arrives while its connection is being closed would run although its client sends it again. So a
// half-closed connection reads nothing more, and a connection on which a request has begun is not closed.
func TestCloseIdleKeepsOpenRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(ln, 4, nil)
	defer listener.Close()
	pair := func() (client net.Conn, server *clientConn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		c, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, c.(*clientConn)
	}
	lateClient, halfClosed := pair()
	activeClient, active := pair()
	io.WriteString(activeClient, "P")
	if _, err := active.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	listener.closeIdle(0)
	io.WriteString(lateClient, "POST")
	if n, err := halfClosed.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("a read of a half-closed connection returned %d bytes, %v", n, err)
	}
	lateClient.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := bufio.NewReader(lateClient).ReadByte(); err != io.EOF {
		t.Errorf("the client of the half-closed connection reads %v, want EOF", err)
	}
	io.WriteString(activeClient, "OST")
	if _, err := io.ReadFull(active, make([]byte, 3)); err != nil {
		t.Errorf("reading the rest of a request that has begun: %v", err)
	}
}

// A request arrives on an idle connection while the node closes it. Either the complete request stays in the kernel, which
// resets the connection, so that the client may send it again, or the request is answered. A request that was read before
// its connection is closed would be lost. The test runs the close and the request concurrently.
func TestNoRequestIsReadAndLostOnClose(t *testing.T) {
	for name, closes := range map[string]func(l *clientListener){
		"out of service": func(l *clientListener) { l.closeIdle(0) },
		"at shutdown":    func(l *clientListener) { l.stopReadingIdleConns() },
	} {
		t.Run(name, func(t *testing.T) {
			n := startWithBackends(t, newBackend(t, respondOK))
			const rounds = 40
			for i := range rounds {
				c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				eventually(t, "the connection is idle", func() bool {
					n.clientListener.mu.Lock()
					defer n.clientListener.mu.Unlock()
					return n.clientListener.idleConns.Len() == 1
				})
				closing := make(chan struct{})
				go func() { closes(n.clientListener); close(closing) }()
				_, err = fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s%d\r\nX-Call-Class: unsafe\r\nX-Budget: 2000m\r\nContent-Length: 0\r\n\r\n", name, i)
				if err == nil {
					_, err = http.ReadResponse(bufio.NewReader(c), nil)
				}
				<-closing
				if err != nil && !resetByPeerKernel(t, c, err) {
					t.Fatalf("round %d: the request was read, and its connection closed without a response: %v", i, err)
				}
				c.Close()
				n.clientListener.mu.Lock()
				n.clientListener.shuttingDown = false
				n.clientListener.mu.Unlock()
				// One slot stays taken, by the pending Accept.
				eventually(t, "the connection is closed", func() bool { return n.clientListener.connCount() <= 1 })
			}
		})
	}
}

// resetByPeerKernel reports whether a connection that ended with an error was reset by the node's kernel. The kernel does so
// if the connection is closed with unread bytes.
func resetByPeerKernel(t *testing.T, c net.Conn, err error) bool {
	t.Helper()
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * halfCloseTimeout); time.Now().Before(end); {
		var state uint8
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
		if state == tcpClose {
			return true
		}
		<-time.After(idleCloseInterval / 10)
	}
	return false
}
