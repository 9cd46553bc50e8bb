package peers

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport extends memberlist's NetTransport with address overrides and traffic counters.
type transport struct {
	*memberlist.NetTransport
	overrides   map[string]string
	packets     atomic.Int64 // sent
	packetBytes atomic.Int64 // sent
	streamBytes atomic.Int64 // sent and received, on streams that this node opened
}

// resolve returns the address to dial for a peer's address.
func (t *transport) resolve(address string) string {
	if override, ok := t.overrides[address]; ok {
		return override
	}
	return address
}

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: address})
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	t.packets.Add(1)
	t.packetBytes.Add(int64(len(b)))
	return t.NetTransport.WriteTo(b, t.resolve(to.Addr))
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	conn, err := t.NetTransport.DialTimeout(t.resolve(to.Addr), timeout)
	if err != nil {
		return nil, err
	}
	return &countedStream{conn, &t.streamBytes}, nil
}

// countedStream counts the bytes sent and received on a stream.
type countedStream struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.bytes.Add(int64(n))
	return n, err
}
