package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// PacketFault describes the faults injected into forwarded packets. The zero PacketFault injects none.
type PacketFault struct {
	DropAll        bool          // every packet is lost
	LossRatio      float64       // share of packets that are lost, 0 to 1
	DuplicateRatio float64       // share of packets that arrive twice, 0 to 1
	Delay          time.Duration // delay of each packet
	Jitter         time.Duration // upper bound of a uniformly drawn addition to Delay, which reorders packets
}

// maxPacketBytes is an upper bound of the size of a UDP packet.
const maxPacketBytes = 64 << 10

// openAttempts limits how many ports OpenPeerLink tries to find one that is free for both TCP and UDP.
const openAttempts = 20

// PeerLink carries the TCP connections and the UDP packets that one node sends to another, both at one address. Traffic
// in the opposite direction needs a second PeerLink.
type PeerLink struct {
	*Link
	clientConn *net.UDPConn
	targetConn *net.UDPConn

	mu          sync.Mutex
	packetFault PacketFault
	forwarding  sync.WaitGroup
}

// OpenPeerLink opens a link to the address target on a port of the block that begins at ports, as Open does. The caller
// must close the link.
func OpenPeerLink(ports int, target string) (*PeerLink, error) {
	server, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	var lastErr error
	for range openAttempts { // a port that is free for TCP may be in use for UDP
		stream, err := Open(ports, func() string { return target })
		if err != nil {
			return nil, err
		}
		peer, err := addPackets(stream, server)
		if err == nil {
			return peer, nil
		}
		stream.Close()
		lastErr = err
	}
	return nil, fmt.Errorf("link: %w", lastErr)
}

// addPackets turns a link into a PeerLink that also forwards the UDP packets sent to the link's address.
func addPackets(stream *Link, server *net.UDPAddr) (*PeerLink, error) {
	addr, err := net.ResolveUDPAddr("udp", stream.Addr())
	if err != nil {
		return nil, err
	}
	clientConn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	targetConn, err := net.DialUDP("udp", nil, server)
	if err != nil {
		clientConn.Close()
		return nil, err
	}
	p := &PeerLink{Link: stream, clientConn: clientConn, targetConn: targetConn}
	p.forwarding.Go(p.forwardPackets)
	return p, nil
}

// SetPacketFault replaces the fault of packets. TCP connections are not affected.
func (p *PeerLink) SetPacketFault(fault PacketFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packetFault = fault
}

// SetPartitioned partitions the two nodes in this direction, or ends the partition. During a partition all packets are
// dropped and new connections are refused; open connections are reset at its start. The error is that of Link.SetFault.
func (p *PeerLink) SetPartitioned(partitioned bool) error {
	p.SetPacketFault(PacketFault{DropAll: partitioned})
	if err := p.Link.SetFault(Fault{Refuse: partitioned}); err != nil {
		return err
	}
	if partitioned {
		p.Link.Reset()
	}
	return nil
}

// forwardPackets forwards packets until the link is closed.
func (p *PeerLink) forwardPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := p.clientConn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error: no process was listening at the target
		}
		p.mu.Lock()
		fault := p.packetFault
		p.mu.Unlock()
		if fault.DropAll || rand.Float64() < fault.LossRatio {
			continue
		}
		copies := 1
		if rand.Float64() < fault.DuplicateRatio {
			copies = 2
		}
		packet := append([]byte(nil), buffer[:n]...)
		for range copies {
			p.send(packet, fault)
		}
	}
}

// send forwards one packet after the delay of the fault. It ignores write errors: the packet is lost, as on a network.
func (p *PeerLink) send(packet []byte, fault PacketFault) {
	wait := fault.Delay
	if fault.Jitter > 0 {
		wait += rand.N(fault.Jitter)
	}
	if wait == 0 {
		p.targetConn.Write(packet)
		return
	}
	p.forwarding.Go(func() {
		time.Sleep(wait)
		p.targetConn.Write(packet)
	})
}

// Close closes the link, resets its connections and waits for its goroutines.
func (p *PeerLink) Close() {
	p.clientConn.Close()
	p.forwarding.Wait()
	p.targetConn.Close()
	p.Link.Close()
}
