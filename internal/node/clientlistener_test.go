package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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

// Clients that send one request and keep their connection, and clients that never send any, must not hold all slots for
// good: a request on a connection that comes later is served.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWith(t, b, b)
	for name, first := range map[string]string{"asked once": "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", "never asked": ""} {
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

// Only a connection without an open request is evicted, the one that has been idle longest first, and its slot is given
// back once.
func TestEvictionOfIdleConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := newClientListener(ln, 2, nil)
	accepted := make(chan *clientConn)
	go func() {
		defer close(accepted)
		for {
			c, err := in.Accept()
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
	conns = append(conns, <-accepted) // in place of the second: the first has a request open
	if _, err := conns[1].Read(make([]byte, 1)); err == nil {
		t.Error("the second was not closed")
	}
	in.connStateChanged(conns[2], http.StateActive)
	connect()
	select {
	case <-accepted:
		t.Fatal("a connection was accepted though all slots have open requests")
	default:
	}
	conns[0].Close()
	conns[0].Close() // twice gives back one slot only
	conns = append(conns, <-accepted)
	in.connStateChanged(conns[3], http.StateActive)
	in.mu.Lock()
	if in.openConns > in.maxConns || in.idleConns.Len() != 0 {
		t.Errorf("%d slots of %d taken, %d connections idle", in.openConns, in.maxConns, in.idleConns.Len())
	}
	in.mu.Unlock()
	in.Close() // ends Accept, which waits for a slot
	if _, more := <-accepted; more {
		t.Error("another one was accepted")
	}
	for _, c := range conns {
		c.Close()
	}
}

// A client that sends half a request, or none, must not hold its slot for good: its connection is closed.
func TestSilentClientsAreClosed(t *testing.T) {
	n := startWith(t, newBackend(t, respondOK))
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

// crossingConn is a client's connection on which a request comes in the very moment of its close.
type crossingConn struct {
	net.Conn
	close func()
}

func (c *crossingConn) Read(b []byte) (int, error) { return copy(b, "G"), nil }

func (c *crossingConn) Close() error {
	c.close()
	return nil
}

func (c *crossingConn) SetReadDeadline(time.Time) error { return nil }

// A request crosses the close of its idle connection: its client sends it again. If the first were read and forwarded it
// would run twice, or have no response. So whatever closes an idle connection, the request stays unread.
func TestRequestCrossingCloseIsUnread(t *testing.T) {
	for name, closes := range map[string]func(in *clientListener, c *clientConn){
		"for its slot": func(in *clientListener, _ *clientConn) {
			wait, _ := in.acquireSlot()
			<-time.After(wait)
			in.acquireSlot()
		},
		"out of service": func(in *clientListener, _ *clientConn) {
			in.closeIdle(0)
			<-time.After(halfCloseTimeout)
			in.closeIdle(0)
		},
		"in shutdown": func(in *clientListener, c *clientConn) { in.stopReadingIdle(); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newClientListener(nil, 1, nil)
				conn := &crossingConn{}
				c := newClientConn(conn, in)
				read := make(chan error, 1)
				conn.close = func() {
					_, err := c.Read(make([]byte, 1))
					read <- err
				}
				in.openConns = 1
				in.markIdle(c)
				<-time.After(minIdleBeforeEviction)
				closes(in, c)
				if err := <-read; err != io.EOF {
					t.Errorf("what crossed the close was read: %v", err)
				}
			})
		})
	}
}

// The deadline of a request's body is over with the body. net/http's background read, which watches for the client's
// leaving, may begin just before that deadline is taken back, on a node that is busy. Meeting the deadline must not end
// the request: its client has not gone, would see its connection close, and send the request again while it runs.
func TestBodyDeadlineIsNotClientGone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := newClientListener(ln, 1, nil)
	defer in.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := in.Accept()
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
	c.SetReadDeadline(time.Unix(1, 0)) // as net/http ends its background read
	if got := <-read; !errors.Is(got.err, os.ErrDeadlineExceeded) {
		t.Errorf("a background read that is ended gives %d, %v", got.n, got.err)
	}
	c.SetReadDeadline(time.Now().Add(-time.Millisecond)) // the body's
	read = backgroundRead()
	if _, err := client.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got.n != 1 || got.err != nil {
		t.Errorf("read %d, %v", got.n, got.err)
	}
	c.SetReadDeadline(time.Now().Add(-time.Millisecond)) // of the head that has begun with that byte
	if got := <-backgroundRead(); !errors.Is(got.err, os.ErrDeadlineExceeded) {
		t.Errorf("a read of one byte of a head gives %d, %v", got.n, got.err)
	}
}

// A request that crosses the close of its connection would run though its client sends it again. So a connection that is
// half closed reads nothing more, and one whose request has begun is not closed.
func TestCloseIdleSparesOpenRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := newClientListener(ln, 4, nil)
	defer in.Close()
	pair := func() (client net.Conn, server *clientConn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		c, err := in.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, c.(*clientConn)
	}
	crossing, c := pair()
	begun, d := pair()
	io.WriteString(begun, "P")
	if _, err := d.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	in.closeIdle(0)
	io.WriteString(crossing, "POST")
	if n, err := c.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, of a connection that is half closed", n, err)
	}
	crossing.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := bufio.NewReader(crossing).ReadByte(); err != io.EOF {
		t.Errorf("its client sees %v, want an end", err)
	}
	io.WriteString(begun, "OST")
	if _, err := io.ReadFull(d, make([]byte, 3)); err != nil {
		t.Errorf("a request that has begun: %v", err)
	}
}

// A request comes on a kept connection as its idle connection is closed. Either all of it stays in the kernel, which resets the
// connection, so that its client may send it again, or it is answered: a request that was read and closed on is lost. The
// moments of the close are drawn around that of the request.
func TestClosingNeverReadsARequest(t *testing.T) {
	for name, closes := range map[string]func(l *clientListener){
		"out of service": func(l *clientListener) { l.closeIdle(0) },
		"in shutdown":    func(l *clientListener) { l.stopReadingIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			n := startWith(t, newBackend(t, respondOK))
			const rounds = 40
			for i := range rounds {
				c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				eventually(t, "it is idle", func() bool {
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
				if err != nil && !endedUnread(t, c, err) {
					t.Fatalf("round %d: read, and closed without an answer: %v", i, err)
				}
				c.Close()
				n.clientListener.mu.Lock()
				n.clientListener.shuttingDown = false
				n.clientListener.mu.Unlock()
				eventually(t, "it is closed", func() bool { return n.clientListener.connCount() <= 1 }) // one that waits to be accepted
			}
		})
	}
}

// endedUnread reports whether a connection that ended with an error was reset by the node's kernel, as one is on which bytes
// were left unread.
func endedUnread(t *testing.T, c net.Conn, err error) bool {
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
