package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Loss is what is wrong with packets on their way. The zero Loss is nothing.
type PacketFault struct {
	DropAll        bool          // none arrives
	LossRatio      float64       // the share that does not
	DuplicateRatio float64       // the share that arrives twice
	Delay          time.Duration // of each
	Jitter         time.Duration // added to it, up to so much: packets overtake each other
}

// Peers is the way of one node to another: streams and packets at one address, in one direction. What the other answers
// in packets has a way of its own.
type PeerLink struct {
	*Link
	in  *net.UDPConn
	out *net.UDPConn

	mu          sync.Mutex
	packetFault PacketFault
	forwarding  sync.WaitGroup
}

// OpenPeers opens a way to an address, in a rig's block of ports.
func OpenPeerLink(ports int, to string) (*PeerLink, error) {
	far, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	var last error
	for range 20 { // the port of the one may be taken for the other
		l, err := Open(ports, func() string { return to })
		if err != nil {
			return nil, err
		}
		at, err := net.ResolveUDPAddr("udp", l.Addr())
		if err == nil {
			var in, out *net.UDPConn
			if in, err = net.ListenUDP("udp", at); err == nil {
				if out, err = net.DialUDP("udp", nil, far); err == nil {
					p := &PeerLink{Link: l, in: in, out: out}
					p.forwarding.Go(p.forwardPackets)
					return p, nil
				}
				in.Close()
			}
		}
		l.Close()
		last = err
	}
	return nil, fmt.Errorf("link: %w", last)
}

// SetLoss changes what is wrong with packets.
func (p *PeerLink) SetPacketFault(l PacketFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packetFault = l
}

// Cut has nothing arrive, or all again: neither packets nor streams.
func (p *PeerLink) SetPartitioned(off bool) error {
	p.SetPacketFault(PacketFault{DropAll: off})
	if err := p.Link.Set(Fault{Refuse: off}); err != nil {
		return err
	}
	if off {
		p.Link.Reset()
	}
	return nil
}

// carry takes packets on.
func (p *PeerLink) forwardPackets() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := p.in.ReadFromUDP(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // nobody listened at the far side for a moment
		}
		p.mu.Lock()
		l := p.packetFault
		p.mu.Unlock()
		if l.DropAll || rand.Float64() < l.LossRatio {
			continue
		}
		times := 1
		if rand.Float64() < l.DuplicateRatio {
			times = 2
		}
		packet := append([]byte(nil), b[:n]...)
		for range times {
			wait := l.Delay
			if l.Jitter > 0 {
				wait += rand.N(l.Jitter)
			}
			if wait == 0 {
				p.out.Write(packet) // one that nobody takes is lost
				continue
			}
			p.forwarding.Go(func() {
				time.Sleep(wait)
				p.out.Write(packet)
			})
		}
	}
}

// Close ends the way.
func (p *PeerLink) Close() {
	p.in.Close()
	p.forwarding.Wait()
	p.out.Close()
	p.Link.Close()
}
