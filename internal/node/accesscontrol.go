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

// proxyHeaderBuffer is the size in bytes of the read buffer for a connection that may begin with a PROXY header. It must
// hold the signatures of both versions, because they are peeked at before any byte is consumed.
const proxyHeaderBuffer = 256

// errUntrustedProxy is logged when a connection begins with a PROXY header but does not come from a trusted proxy. Either
// the proxy's address is missing in proxy_from, or somebody forges client addresses.
var errUntrustedProxy = errors.New("PROXY header from an address that is not in proxy_from")

// accessControl determines the client address of each connection, to which the access list is applied.
type accessControl struct {
	accessList         *balancer.AccessList
	proxyHeaderTimeout time.Duration // from accepting a connection to the end of its PROXY header
	log                *slog.Logger
}

// identifiedConn is a connection whose client address is known. A trusted proxy must send it in a PROXY header; for any
// other connection it is the remote address.
//
// The header is read by the goroutine that serves the connection, never by the one that accepts connections, so that a slow
// proxy delays no other client. A connection that violates the PROXY protocol is logged and closed, and net/http reads
// io.EOF.
type identifiedConn struct {
	net.Conn
	access           *accessControl
	acceptedAt       time.Time
	remoteAddr       netip.Addr
	fromTrustedProxy bool // remoteAddr is the address of a trusted proxy

	once       sync.Once
	clientAddr netip.Addr
	closeErr   error // returned by every Read after the connection was closed for a protocol violation

	// Used only by the goroutine that reads the connection.
	bufferedReader   *bufio.Reader // holds the bytes read while looking for a header; nil: all of them have been consumed
	headerChecked    bool          // it is known whether the connection begins with a PROXY header
	firstDeadlineSet bool          // the deadline for the first request's head has been set
}

// identify wraps a newly accepted connection. It does not read from it.
func (a *accessControl) identify(nc net.Conn) *identifiedConn {
	c := &identifiedConn{Conn: nc, access: a, acceptedAt: time.Now(),
		bufferedReader: bufio.NewReaderSize(nc, proxyHeaderBuffer)}
	if addr, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remoteAddr = addr.AddrPort().Addr().Unmap().WithZone("")
	}
	c.fromTrustedProxy = a.accessList.TrustsProxy(c.remoteAddr)
	return c
}

// RemoteAddr returns the client's address. net/http calls it before anything else, in the goroutine that serves the
// connection.
func (c *identifiedConn) RemoteAddr() net.Addr {
	c.resolveClient()
	if c.clientAddr == c.remoteAddr || !c.clientAddr.IsValid() {
		return c.Conn.RemoteAddr()
	}
	return &net.TCPAddr{IP: c.clientAddr.AsSlice()}
}

// resolveClient determines the client's address, once. On a connection from a trusted proxy it waits for the PROXY header,
// until proxyHeaderTimeout at most.
func (c *identifiedConn) resolveClient() {
	c.once.Do(func() {
		c.clientAddr = c.remoteAddr
		if !c.fromTrustedProxy {
			return
		}
		c.headerChecked = true
		c.Conn.SetReadDeadline(c.acceptedAt.Add(c.access.proxyHeaderTimeout))
		source, err := proxyproto.Read(c.bufferedReader)
		if err != nil {
			c.closeWithError(err)
			return
		}
		c.Conn.SetReadDeadline(time.Time{})
		if source.IsValid() {
			c.clientAddr = source
		}
	})
}

// closeWithError logs how the connection violated the PROXY protocol and closes it. net/http then reads io.EOF.
func (c *identifiedConn) closeWithError(err error) {
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
		if err := c.rejectUntrustedHeader(); err != nil {
			return 0, err
		}
	}
	if c.bufferedReader != nil && c.bufferedReader.Buffered() > 0 {
		return c.bufferedReader.Read(b)
	}
	c.bufferedReader = nil
	return c.Conn.Read(b)
}

// rejectUntrustedHeader reads until it is certain whether the connection begins with a PROXY header, and closes the
// connection if it does: only a trusted proxy may name another client.
func (c *identifiedConn) rejectUntrustedHeader() error {
	for n := 1; !c.headerChecked; n++ {
		head, err := c.bufferedReader.Peek(n)
		if err != nil {
			return err
		}
		isHeader, mayBecomeHeader := proxyproto.Starts(head)
		if isHeader {
			c.closeWithError(errUntrustedProxy)
			return c.closeErr
		}
		c.headerChecked = !mayBecomeHeader
	}
	return nil
}

// SetReadDeadline limits the first deadline to requestHeadTimeout after accepting the connection. The time spent on a PROXY
// header counts towards it. Otherwise a silent client could hold its connection for both timeouts.
func (c *identifiedConn) SetReadDeadline(t time.Time) error {
	if latest := c.acceptedAt.Add(requestHeadTimeout); !c.firstDeadlineSet && t.After(latest) {
		t = latest
	}
	c.firstDeadlineSet = true
	return c.Conn.SetReadDeadline(t)
}

// deniedClient returns the address of a request's client, and reports whether the access list denies it.
func (h *ingressHandler) deniedClient(r *http.Request) (client netip.Addr, denied bool) {
	c := connOf(r)
	if h.accessList == nil || c == nil {
		return client, false
	}
	client = c.clientAddr()
	return client, !h.accessList.Allows(client)
}

// clientAddr returns the address to which the access list is applied. It is the zero Addr if there is no access list.
func (c *clientConn) clientAddr() netip.Addr {
	if identified, ok := c.Conn.(*identifiedConn); ok {
		identified.resolveClient()
		return identified.clientAddr
	}
	return netip.Addr{}
}

// deniedRequest returns the request of a denied client, with only the headers that the log and the counters need.
func deniedRequest(r *http.Request, client netip.Addr) *clientRequest {
	return &clientRequest{Call: engine.Call{Tenant: r.Header.Get(headerTenant), AccessDenied: true,
		Request: balancer.Request{ID: r.Header.Get(headerRequestID), Class: r.Header.Get(headerClass), Client: client}}}
}
