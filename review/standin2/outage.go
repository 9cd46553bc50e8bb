package main

import (
	"fmt"
	"time"
)

func init() { cases["restart-in-outage"] = restartInOutage }

// restartInOutage has a server drain, discovery go down 2 s later, and the node, which was killed before, start again in the
// outage with the list that it had. The server counts as known to drain 6 s after discovery had it and could be reached.
func restartInOutage(r *rig) {
	const (
		budget   = 3 * time.Second
		reach    = 2 * time.Second         // discovery can be reached with the drain
		restart  = 800 * time.Millisecond  // from the outage's begin to the node's start
		outage   = 20 * time.Second        // of discovery
		told     = 6 * time.Second         // at the latest, whether it arrived or not
		grace    = 300 * time.Millisecond  // 250 ms, and 50 ms on sockets
		interval = 40 * time.Millisecond   // between requests
		settle   = 1500 * time.Millisecond // before the kill
	)
	r.newConfig(class("block-view", "read_like", 1250, 3000))
	var hosts []host
	for i := range 3 {
		hosts = append(hosts, r.startServer(fmt.Sprintf("s-%d", i), answerAfter(20*time.Millisecond)))
	}
	r.startNode()
	for until := time.Now().Add(settle); time.Now().Before(until); time.Sleep(interval) {
		r.get("/api", "block-view", budget, budget+time.Second)
	}
	seq, listed := r.discovery.snapshot()
	r.config["known"] = map[string]any{"seq": seq, "whole": true, "hosts": listed}
	r.killNode()
	draining := hosts[0]
	draining.Health = "terminating"
	r.discovery.set(draining)
	drainedAt := time.Now()
	r.note("discovery: %s is terminating", draining.Host)
	time.Sleep(reach)
	if r.trouble {
		r.discovery.down()
		r.note("discovery is down")
	}
	downAt := time.Now()
	time.Sleep(restart)
	r.config["seed"] = newID()
	r.startNode()
	for time.Since(downAt) < outage {
		r.get("/api", "block-view", budget, budget+time.Second)
		time.Sleep(interval)
	}
	if r.trouble {
		r.note("discovery is back: %v", r.discovery.up())
		time.Sleep(interval)
	}
	late, lastLate := 0, time.Duration(0)
	r.mu.Lock()
	for _, one := range r.runs {
		if after := one.at.Sub(drainedAt); one.server == draining.Host && after > told+grace {
			late, lastLate = late+1, after
		}
	}
	r.mu.Unlock()
	if late > 0 {
		r.breaks("drain: %s got %d requests later than %v after discovery listed it as terminating, the last after %v", draining.Host, late,
			told+grace, lastLate.Round(time.Millisecond))
	}
}
