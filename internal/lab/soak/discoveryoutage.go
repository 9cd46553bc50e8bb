package soak

import (
	"net"
	"time"
)

// setOutage begins an outage, at which watches and waiting calls are reset, or ends it. With holdCalls connections come up
// and calls wait for its end, and are rejected after maxQueueTime; else connections are refused. Of two outages that overlap
// the first one counts, and either outage's end of the same form ends it.
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

// setHolding has calls wait, and resets watches, or has calls go on. The caller holds the lock.
func (d *discovery) setHolding(holding bool) {
	d.holding = holding
	renew(&d.holdChanged)
	if holding {
		renew(&d.watchesReset)
	}
}

// setRefusing closes all addresses, or opens them again. The caller holds the lock.
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

// recordOutage records the begin of an outage, since a time, or its end by now.
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
