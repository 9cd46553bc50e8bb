package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// PacketFault is what is wrong with packets on their way. The zero PacketFault is none.
type PacketFault struct {
	DropAll        bool          // none arrives
	LossRatio      float64       // the share that is lost, 0 to 1
	DuplicateRatio float64       // the share that arrives twice, 0 to 1
	Delay          time.Duration // of each
	Jitter         time.Duration // added to Delay, uniformly drawn up to this: packets overtake each other
}

// maxPacketBytes holds the largest UDP packet.
const maxPacketBytes = 64 << 10

// openAttempts is how often OpenPeerLink looks for a port that is free for both streams and packets.
const openAttempts = 20

// PeerLink is the way from one node to another: streams and packets at one address, in one direction. The packets that
// the other node sends have a link of their own.
type PeerLink struct {
	*Link
	in  *net.UDPConn
	out *net.UDPConn

	mu          sync.Mutex
	packetFault PacketFault
	forwarding  sync.WaitGroup
}

// OpenPeerLink opens a link to an address, in a rig's block of ports. Close must follow unless there is an error.
func OpenPeerLink(ports int, target string) (*PeerLink, error) {
	server, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	var last error
	for range openAttempts { // a port that is free for streams may be taken for packets
		stream, err := Open(ports, func() string { return target })
		if err != nil {
			return nil, err
		}
		peer, err := addPackets(stream, server)
		if err == nil {
			return peer, nil
		}
		stream.Close()
		last = err
	}
	return nil, fmt.Errorf("link: %w", last)
}

// addPackets forwards packets at a link's address as well.
func addPackets(stream *Link, server *net.UDPAddr) (*PeerLink, error) {
	addr, err := net.ResolveUDPAddr("udp", stream.Addr())
	if err != nil {
		return nil, err
	}
	in, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	out, err := net.DialUDP("udp", nil, server)
	if err != nil {
		in.Close()
		return nil, err
	}
	p := &PeerLink{Link: stream, in: in, out: out}
	p.forwarding.Go(p.forwardPackets)
	return p, nil
}

// SetPacketFault changes what is wrong with packets. Streams are not affected.
func (p *PeerLink) SetPacketFault(fault PacketFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packetFault = fault
}

// SetPartitioned has nothing arrive, neither packets nor streams, or all again. Streams that are up are reset, new ones
// refused. The error is that of Set.
func (p *PeerLink) SetPartitioned(partitioned bool) error {
	p.SetPacketFault(PacketFault{DropAll: partitioned})
	if err := p.Link.Set(Fault{Refuse: partitioned}); err != nil {
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
		n, _, err := p.in.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error: nobody listened at the target for a moment
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

// send forwards one packet with the delay of a fault. A packet that nobody takes is lost.
func (p *PeerLink) send(packet []byte, fault PacketFault) {
	wait := fault.Delay
	if fault.Jitter > 0 {
		wait += rand.N(fault.Jitter)
	}
	if wait == 0 {
		p.out.Write(packet)
		return
	}
	p.forwarding.Go(func() {
		time.Sleep(wait)
		p.out.Write(packet)
	})
}

// Close ends the link and waits for all that it has started.
func (p *PeerLink) Close() {
	p.in.Close()
	p.forwarding.Wait()
	p.out.Close()
	p.Link.Close()
}
