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

// proxyHeaderBuffer is the size in bytes of the read buffer of a connection that may begin with a PROXY header. The
// signatures of both versions must fit, for they are looked at before anything is taken.
const proxyHeaderBuffer = 256

// errUntrustedProxy is logged for a connection that begins with a PROXY header though its address is not that of a
// trusted proxy. The operator either adds the address to proxy_from, or has found somebody who forges client addresses.
var errUntrustedProxy = errors.New("PROXY header from an address that is not in proxy_from")

// accessControl identifies the client of each connection and judges it by the access list.
type accessControl struct {
	accessList         *balancer.AccessList
	proxyHeaderTimeout time.Duration // from accepting a connection to the end of its PROXY header
	log                *slog.Logger
}

// identifiedConn is a connection whose client is known: by the PROXY header that a trusted proxy must send, or by the
// address of the connection.
//
// The header is read by the goroutine that serves the connection, never by the one that accepts: a slow proxy holds up
// nobody else. A connection that breaks the protocol is logged and closed; net/http sees it end.
type identifiedConn struct {
	net.Conn
	access     *accessControl
	acceptedAt time.Time
	remoteAddr netip.Addr
	fromProxy  bool // remoteAddr is that of a trusted proxy

	once       sync.Once
	clientAddr netip.Addr
	closeErr   error // what every Read returns once the connection was closed for breaking the protocol

	// Used by the reading goroutine only.
	buffered         *bufio.Reader // what came with a header, or may be one; nil: everything of it is taken
	headerChecked    bool          // the connection has, or does not have, a PROXY header
	firstDeadlineSet bool          // the deadline of the first request's head is set
}

// identify wraps a connection that was just accepted. It does not read.
func (a *accessControl) identify(nc net.Conn) *identifiedConn {
	c := &identifiedConn{Conn: nc, access: a, acceptedAt: time.Now(), buffered: bufio.NewReaderSize(nc, proxyHeaderBuffer)}
	if addr, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remoteAddr = addr.AddrPort().Addr().Unmap().WithZone("")
	}
	c.fromProxy = a.accessList.TrustsProxy(c.remoteAddr)
	return c
}

// RemoteAddr is the client's address. net/http asks for it first of all, in the connection's goroutine.
func (c *identifiedConn) RemoteAddr() net.Addr {
	c.resolveClient()
	if c.clientAddr == c.remoteAddr || !c.clientAddr.IsValid() {
		return c.Conn.RemoteAddr()
	}
	return &net.TCPAddr{IP: c.clientAddr.AsSlice()}
}

// resolveClient finds the client's address, once. On a connection from a trusted proxy it waits for the PROXY header, for no
// longer than the proxy header timeout.
func (c *identifiedConn) resolveClient() {
	c.once.Do(func() {
		c.clientAddr = c.remoteAddr
		if !c.fromProxy {
			return
		}
		c.headerChecked = true
		c.Conn.SetReadDeadline(c.acceptedAt.Add(c.access.proxyHeaderTimeout))
		source, err := proxyproto.Read(c.buffered)
		if err != nil {
			c.closeWith(err)
			return
		}
		c.Conn.SetReadDeadline(time.Time{})
		if source.IsValid() {
			c.clientAddr = source
		}
	})
}

// closeWith logs why the connection broke the PROXY protocol and closes it. net/http reads its end.
func (c *identifiedConn) closeWith(err error) {
	c.access.log.Warn("connection closed", "client", c.remoteAddr, "err", err)
	c.closeErr = io.EOF
	c.Conn.Close()
}

func (c *identifiedConn) Read(b []byte) (int, error) {
	c.resolveClient()
	if c.closeErr != nil {
		return 0, c.closeErr
	}
	if !c.headerChecked {
		if err := c.refuseUntrustedHeader(); err != nil {
			return 0, err
		}
	}
	if c.buffered != nil && c.buffered.Buffered() > 0 {
		return c.buffered.Read(b)
	}
	c.buffered = nil
	return c.Conn.Read(b)
}

// refuseUntrustedHeader waits until it is clear whether the connection begins with a PROXY header, and closes one that
// does: only a trusted proxy may name another client.
func (c *identifiedConn) refuseUntrustedHeader() error {
	for n := 1; !c.headerChecked; n++ {
		head, err := c.buffered.Peek(n)
		if err != nil {
			return err
		}
		isHeader, mayBecomeHeader := proxyproto.Starts(head)
		if isHeader {
			c.closeWith(errUntrustedProxy)
			return c.closeErr
		}
		c.headerChecked = !mayBecomeHeader
	}
	return nil
}

// SetReadDeadline bounds the head of the first request from accepting on: the time that a PROXY header took is not given
// again, else a silent client could hold its connection for both timeouts.
func (c *identifiedConn) SetReadDeadline(t time.Time) error {
	if last := c.acceptedAt.Add(requestHeadTimeout); !c.firstDeadlineSet && t.After(last) {
		t = last
	}
	c.firstDeadlineSet = true
	return c.Conn.SetReadDeadline(t)
}

// deniedClient reports whether the access list denies the client of a request, and who that is.
func (h *ingressHandler) deniedClient(r *http.Request) (client netip.Addr, denied bool) {
	c := connOf(r)
	if h.accessList == nil || c == nil {
		return client, false
	}
	client = c.clientAddr()
	return client, !h.accessList.Allows(client)
}

// clientAddr is the address that the access list judges; without an access list it is unknown.
func (c *clientConn) clientAddr() netip.Addr {
	if identified, ok := c.Conn.(*identifiedConn); ok {
		identified.resolveClient()
		return identified.clientAddr
	}
	return netip.Addr{}
}

// deniedRequest is the request of a denied client, for the log and the counters: nothing more of it is read.
func deniedRequest(r *http.Request, client netip.Addr) *clientRequest {
	return &clientRequest{Call: engine.Call{Tenant: r.Header.Get(headerTenant), AccessDenied: true,
		Request: balancer.Request{ID: r.Header.Get(headerRequestID), Class: r.Header.Get(headerClass), Client: client}}}
}
