package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["reconfigurations"] = reconfigurations }

// Figures of the play reconfigurations.
const (
	signals       = 6
	toldAfterHUP  = 4 * time.Second // "Whatever discovery has to tell counts as told 4 s after the signal."
	slowDiscovery = 14 * time.Second
)

// reconfigurations: several new configurations within 2 s, each of which moves discovery, while discovery is slow and cuts
// answers. A server begins to drain just before them. Nothing may go to it from 4.25 s after the first signal.
func reconfigurations(r *rig) int {
	var mu sync.Mutex
	var arrivals []time.Time
	handle := func(a *arrival) bool {
		if a.server.name == "s1" {
			mu.Lock()
			arrivals = append(arrivals, a.at)
			mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
		return a.respond("done")
	}
	var entries []object
	for i := range 9 {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	end := time.Now().Add(3*time.Second + slowDiscovery + 6*time.Second)
	var clients sync.WaitGroup
	status := map[int]int{}
	for i := range 6 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c := &call{id: fmt.Sprintf("c%d-%d", i, n), class: "bin-weighin", method: "POST", budget: 3 * time.Second, body: []byte("42 kg"),
					patience: 3500 * time.Millisecond}
				got := c.do(node.listen)
				mu.Lock()
				status[got.status]++
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	d.mu.Lock()
	if r.trouble {
		d.slow = func() (time.Duration, bool) {
			return time.Duration(2500+rand.IntN(4500)) * time.Millisecond, rand.IntN(2) == 0
		}
	}
	old := d.watches
	d.watches = map[net.Conn]int{}
	d.mu.Unlock()
	time.AfterFunc(1500*time.Millisecond, func() {
		for conn := range old {
			resetConn(conn)
		}
	})
	first := time.Now()
	d.change("s1", "terminating")
	for i := range signals {
		r.reconfigure(node, []string{d.second.Addr().String(), d.addr}[i%2])
		time.Sleep(time.Duration(100+rand.IntN(400)) * time.Millisecond)
	}
	time.Sleep(time.Until(first.Add(slowDiscovery)))
	d.mu.Lock()
	d.slow = nil
	d.mu.Unlock()
	clients.Wait()
	limit := toldAfterHUP + drainGrace + 2*socketSlack
	before, late := 0, 0
	for _, at := range arrivals {
		if at.Sub(first) > limit {
			late++
			r.log("DRAIN: a request reached s1 %v after the first signal", at.Sub(first))
		} else {
			before++
		}
	}
	r.logNodeLines(node, "discovery", "invariant", "endpoint list", "configuration")
	r.log("answers %v; s1 got %d requests up to %v after the first signal, %d later", status, before, limit, late)
	switch {
	case before == 0:
		return couldNotRun
	case late > 0:
		return ruleBroken
	}
	return ruleHeld
}
