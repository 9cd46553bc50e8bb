package node

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/proxyproto"
)

const frontBuffer = 256 // bytes, while a connection may begin with a PROXY header

// doors is what connections from callers are judged by.
type doors struct {
	lists   *balancer.AccessList
	timeout time.Duration // for a PROXY header
	log     *slog.Logger
}

// knownConn is a connection whose client is known: by the header that a front must send, or by its address. It is
// looked at by the one who reads it, so that a slow peer holds up nobody else.
type knownConn struct {
	net.Conn
	doors    *doors
	accepted time.Time
	peer     netip.Addr
	trusted  bool

	once   sync.Once
	client netip.Addr
	err    error

	// The reader's own.
	br      *bufio.Reader // what has come with a header, or may be one; nil: nothing any more
	sniffed bool          // it does not begin with a header
	headed  bool          // the time for its first request is set
}

func (d *doors) open(nc net.Conn) *knownConn {
	c := &knownConn{Conn: nc, doors: d, accepted: time.Now(), br: bufio.NewReaderSize(nc, frontBuffer)}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.peer = a.AddrPort().Addr().Unmap().WithZone("")
	}
	c.trusted = d.lists.TrustsProxy(c.peer)
	return c
}

// RemoteAddr is the client's address. The HTTP server asks for it first of all, in the connection's goroutine.
func (c *knownConn) RemoteAddr() net.Addr {
	c.resolve()
	if c.client == c.peer || !c.client.IsValid() {
		return c.Conn.RemoteAddr()
	}
	return &net.TCPAddr{IP: c.client.AsSlice()}
}

// resolve finds the client, once. From a front it waits for the header.
func (c *knownConn) resolve() {
	c.once.Do(func() {
		c.client = c.peer
		if !c.trusted {
			return
		}
		c.sniffed = true
		c.Conn.SetReadDeadline(c.accepted.Add(c.doors.timeout))
		source, err := proxyproto.Read(c.br)
		if err != nil {
			c.shut(err)
			return
		}
		c.Conn.SetReadDeadline(time.Time{})
		if source.IsValid() {
			c.client = source
		}
	})
}

var errUntrusted = errors.New("PROXY header from an address that is not in proxy_from")

// shut ends a connection that does not keep to the protocol: the HTTP server finds it at its end.
func (c *knownConn) shut(err error) {
	c.doors.log.Warn("connection closed", "client", c.peer, "err", err)
	c.err = io.EOF
	c.Conn.Close()
}

func (c *knownConn) Read(b []byte) (int, error) {
	c.resolve()
	if c.err != nil {
		return 0, c.err
	}
	if !c.sniffed {
		if err := c.sniff(); err != nil {
			return 0, err
		}
	}
	if c.br != nil && c.br.Buffered() > 0 {
		return c.br.Read(b)
	}
	c.br = nil
	return c.Conn.Read(b)
}

// sniff waits until it is clear that the connection does not begin with a header, and closes one that does.
func (c *knownConn) sniff() error {
	for n := 1; !c.sniffed; n++ {
		head, err := c.br.Peek(n)
		if err != nil {
			return err
		}
		is, may := proxyproto.Starts(head)
		if is {
			c.shut(errUntrusted)
			return c.err
		}
		c.sniffed = !may
	}
	return nil
}

// SetReadDeadline bounds the first request's head from the accept on: what a header took is not given again.
func (c *knownConn) SetReadDeadline(t time.Time) error {
	if last := c.accepted.Add(headTime); !c.headed && t.After(last) {
		t = last
	}
	c.headed = true
	return c.Conn.SetReadDeadline(t)
}

// stranger says whether the lists keep a request's client out, and who that is.
func (h *callers) stranger(r *http.Request) (client netip.Addr, out bool) {
	c := connOf(r)
	if h.lists == nil || c == nil {
		return client, false
	}
	client = c.client()
	return client, !h.lists.Allows(client)
}

// client is the address that the lists judge; without lists none is known.
func (c *inConn) client() netip.Addr {
	if k, ok := c.Conn.(*knownConn); ok {
		k.resolve()
		return k.client
	}
	return netip.Addr{}
}

// visit is the call of a stranger: nothing more of its request is read.
func visit(r *http.Request, client netip.Addr) *call {
	return &call{Call: engine.Call{Tenant: r.Header.Get("X-Caller"), AccessDenied: true,
		Request: balancer.Request{ID: r.Header.Get("X-Call-Id"), Class: r.Header.Get("X-Call-Class"), Client: client}}}
}
