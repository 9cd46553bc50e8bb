package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["crowded-discovery"] = crowdedDiscovery }

// Figures of the case crowded-discovery.
const (
	crowdedWait    = 2 * time.Second
	crowdedFor     = 20 * time.Second
	toldAtLatest   = 6 * time.Second        // "a change counts as told at the latest 6 s after discovery had it and could be reached"
	drainGrace     = 250 * time.Millisecond // rules.stop-sending-within-ms
	crowdedServers = 9
)

func crowdedDiscovery(r *rig) int {
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	handle := func(a *arrival) bool {
		mu.Lock()
		arrivals[a.server.name] = append(arrivals[a.server.name], a.at)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		return a.respond("done")
	}
	var entries []object
	for i := range crowdedServers {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{
		lane("block-view", "read_like", 5, nil), lane("brix-update", "read_like", 3, nil), lane("bin-weighin", "non_idempotent", 8, nil),
	}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	end := time.Now().Add(5*time.Second + crowdedFor)
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c := &call{id: fmt.Sprintf("c%d-%d", i, n), class: "bin-weighin", method: "POST", budget: 3 * time.Second, body: []byte("42 kg"),
					patience: 3500 * time.Millisecond}
				got := c.do(node.listen)
				if got.status != 200 {
					r.log("client: %s was answered %s", c.id, got.summary())
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		d.setCrowded(crowdedWait)
		d.resetWatches()
	}
	time.Sleep(time.Second)
	changed := time.Now()
	d.change("s1", "terminating")
	clients.Wait()
	limit := toldAtLatest + drainGrace + 2*socketSlack
	if !r.trouble {
		limit = drainGrace + 2*socketSlack
	}
	before, late := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, at := range arrivals["s1"] {
		if at.Sub(changed) > limit {
			late++
			if late <= 5 {
				r.log("DRAIN: a request reached s1 %v after discovery had its drain", at.Sub(changed))
			}
		} else {
			before++
		}
	}
	r.logNodeLines(node, "discovery", "invariant", "endpoint list")
	r.log("s1 got %d requests before the limit of %v, and %d after it", before, limit, late)
	switch {
	case before == 0:
		return couldNotRun
	case late > 0:
		return ruleBroken
	}
	return ruleHeld
}
