package soak

import (
	"net"
	"time"
)

// setOutage begins or ends an outage. Its beginning resets watches and waiting calls. With holdCalls connections are
// accepted, and calls wait for the end of the outage and are rejected after maxQueueTime; otherwise connections are refused.
// If two outages overlap, the first one is in effect until the end of either outage that has the same holdCalls.
func (d *discovery) setOutage(begin, holdCalls bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if (d.refusing || d.holding) == begin || !begin && d.holding != holdCalls {
		return nil
	}
	now := d.recorder.now()
	if holdCalls {
		d.setHolding(begin)
	} else if err := d.setRefusing(begin); err != nil {
		return err
	}
	d.recordOutage(begin, now)
	return nil
}

// setHolding makes calls wait and resets watches, or lets calls continue. The caller holds the lock.
func (d *discovery) setHolding(holding bool) {
	d.holding = holding
	renew(&d.holdChanged)
	if holding {
		renew(&d.watchesReset)
	}
}

// setRefusing closes all addresses, or reopens them. The caller holds the lock.
func (d *discovery) setRefusing(refusing bool) error {
	d.refusing = refusing
	for node, e := range d.endpoints {
		if refusing {
			e.server.Close()
			continue
		}
		listener, err := net.Listen("tcp", e.addr)
		if err != nil {
			return err
		}
		d.serveNode(node, listener)
	}
	return nil
}

// recordOutage records that an outage began at since, or that the last one has ended now.
func (d *discovery) recordOutage(begin bool, since time.Duration) {
	d.recorder.record(func(o *Observations) {
		if begin {
			o.Outages = append(o.Outages, Span{From: since, Open: true})
			return
		}
		last := &o.Outages[len(o.Outages)-1]
		last.To, last.Open = d.recorder.now(), false
	})
}
