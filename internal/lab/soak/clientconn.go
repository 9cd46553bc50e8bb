package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPooledConnections limits the idle connections that are kept to one node.
	maxPooledConnections = 8

	// resetWait is how long a client waits for the reset of a connection that its node has ended. It exceeds the time that
	// net/http leaves between closing the write side and closing the connection.
	resetWait = 1200 * time.Millisecond

	// maxAnswerBytes limits how much of an answer is read; no server writes as much.
	maxAnswerBytes = 1 << 20

	// resetInterval is the time between two checks for a reset.
	resetInterval = 20 * time.Millisecond

	// tcpClosed is TCP_CLOSE, the kernel's state of a connection that was reset.
	tcpClosed = 7
)

// clientConn is a client's connection to a node. One request uses it at a time.
type clientConn struct {
	net.Conn
	responses *bufio.Reader
}

// dialNode opens a connection to a node before a deadline.
func dialNode(address string, deadline time.Time) (*clientConn, error) {
	dialer := net.Dialer{Deadline: deadline}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// send writes a request in a single write and then calls written.
func (c *clientConn) send(r *http.Request, written func()) error {
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return err
	}
	if _, err := c.Write(text.Bytes()); err != nil {
		return err
	}
	written()
	return nil
}

// receive reads the response to a request and its complete body. It calls begun when the head has been read.
func (c *clientConn) receive(r *http.Request, begun func()) (response *http.Response, body string, err error) {
	response, err = http.ReadResponse(c.responses, r)
	if err != nil {
		return nil, "", err
	}
	begun()
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, "", err
	}
	return response, string(text), nil
}

// isOpen reports whether the connection is idle and the node has not closed it, as far as the client can see.
func (c *clientConn) isOpen() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return open
}

// wasReset reports whether the node's kernel reset the connection, which it does if the node closes the connection before
// it has read all bytes. A connection whose bytes were all read closes without a reset. err is the error of the last read
// or write.
func (c *clientConn) wasReset(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	for end := time.Now().Add(resetWait); time.Now().Before(end); {
		if c.state() == tcpClosed {
			return true
		}
		<-time.After(resetInterval)
	}
	return false
}

// state returns the kernel's state of the connection, or 0 if it is unknown.
func (c *clientConn) state() (state uint8) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// connPool keeps the idle connections to one node. Like some clients that manage their connections themselves, it reuses a
// connection as long as it is open and ignores what a response says about closing it.
type connPool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// take removes an open connection from the pool and returns it, or nil if there is none.
func (p *connPool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.isOpen() {
			return c
		}
		c.Close()
	}
	return nil
}

// put returns a connection to the pool, or closes it if the pool is full.
func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxPooledConnections {
		c.Close()
		return
	}
	p.idle = slices.Insert(p.idle, 0, c)
}

// close closes all connections in the pool.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// newHTTPRequest returns the HTTP form of a request to a node.
func newHTTPRequest(request *Request, n *node) *http.Request {
	method, class, body := http.MethodGet, "read", io.Reader(nil)
	if request.NonIdempotent {
		method, class, body = http.MethodPost, "write", bytes.NewReader([]byte("x"))
	}
	r, err := http.NewRequest(method, n.url()+"/api", body)
	if err != nil {
		panic(err) // possible only if the node's address is malformed
	}
	r.Header.Set("X-Call-Id", request.ID)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", requestBudget.Milliseconds()))
	r.Header.Set(nodeHeader, fmt.Sprint(request.Node))
	return r
}
