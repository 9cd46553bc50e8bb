package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

func init() { cases["cold-server"] = coldServer }

// Figures of the play cold-server.
const (
	coldNodes     = 30
	coldServers   = 9
	coldWork      = 126 * time.Millisecond // of one request on one core
	coldCores     = 2
	coldFrom      = 0.31
	coldWarmAfter = 8400 * time.Millisecond
	coldMultiple  = 3.0
	coldPerNode   = 360 * time.Millisecond // between two requests of a node: six tenths of the capacity
	coldBurst     = 240 * time.Millisecond // the same in a burst of half as much again
)

// coldServer: thirty nodes, of which each sends little. Three of nine servers restart and return cold, in a burst. No cold
// server may get more than N + 3 x root of N + 3 requests in a second.
func coldServer(r *rig) int {
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	started := map[string]time.Time{}
	places := map[string]chan struct{}{}
	capacityShare := func(name string, at time.Time) float64 {
		s, cold := started[name]
		if !cold {
			return 1
		}
		return min(1, coldFrom+(1-coldFrom)*float64(at.Sub(s))/float64(coldWarmAfter))
	}
	handle := func(a *arrival) bool {
		mu.Lock()
		arrivals[a.server.name] = append(arrivals[a.server.name], a.at)
		share := capacityShare(a.server.name, a.at)
		place := places[a.server.name]
		mu.Unlock()
		place <- struct{}{}
		time.Sleep(time.Duration(float64(coldWork) / share))
		<-place
		return a.respond("done")
	}
	var entries []object
	for i := range coldServers {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		places[s.name] = make(chan struct{}, coldCores)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	var nodes []*nodeProcess
	for i := range coldNodes {
		settings := smallSettings(1, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
		settings["balancers"], settings["me"] = coldNodes, i
		nodes = append(nodes, r.startNode(fmt.Sprintf("n%d", i), d.addr, settings, d.known(), usualLimits))
	}
	end := time.Now().Add(30 * time.Second)
	burstAt := time.Now().Add(10 * time.Second)
	var clients sync.WaitGroup
	for i, node := range nodes {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				go func() {
					c := &call{id: fmt.Sprintf("c%d-%d", i, n), class: "bin-weighin", method: "POST", budget: 3 * time.Second, body: []byte("42 kg"), patience: 3500 * time.Millisecond}
					c.do(node.listen)
				}()
				wait := coldPerNode
				if now := time.Now(); now.After(burstAt) && now.Before(burstAt.Add(10*time.Second)) {
					wait = coldBurst
				}
				time.Sleep(wait)
			}
		})
	}
	time.Sleep(time.Until(burstAt))
	if r.trouble {
		now := time.Now()
		mu.Lock()
		for _, name := range []string{"s2", "s5", "s8"} {
			started[name] = now
		}
		mu.Unlock()
		d.mu.Lock()
		d.version++
		for i, e := range d.entries {
			if _, cold := started[e["host"].(string)]; cold {
				e["born_ms"] = now.UnixMilli()
				d.entries[i] = e
				d.changed[e["host"].(string)] = d.version
			}
		}
		for conn := range d.watches {
			d.tell(conn, false)
		}
		d.mu.Unlock()
	}
	clients.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for name, s := range started {
		worst, at := math.Inf(-1), time.Duration(0)
		count := 0
		for i, t := range arrivals[name] {
			if t.Before(s) || t.Sub(s) > coldWarmAfter-time.Second {
				continue
			}
			n := 0
			for _, u := range arrivals[name][i:] {
				if u.Sub(t) < time.Second {
					n++
				}
			}
			capacity := coldCores / coldWork.Seconds() * min(1, coldFrom+(1-coldFrom)*float64(t.Sub(s))/float64(coldWarmAfter))
			allowed := coldMultiple * capacity
			limit := allowed + 2*math.Sqrt(allowed) + 2
			if allowed < 30 {
				limit = allowed + 3*math.Sqrt(allowed) + 3
			}
			if float64(n)-limit > worst {
				worst, at, count = float64(n)-limit, t.Sub(s), n
			}
		}
		r.log("%s: worst second begins %v after its start: %d requests, %.1f beside its limit", name, at, count, worst)
		broken = broken || worst > 0
	}
	if broken {
		return ruleBroken
	}
	return ruleHeld
}
