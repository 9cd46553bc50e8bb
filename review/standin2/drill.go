package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["drilled-class"] = drilledClass }

// drilledClass has a settings file with a drill, which nobody starts. A new configuration drops the drill's class and moves
// discovery. Some seconds later a server begins to drain. Nothing may be sent to it later than the grace after the node was
// told.
func drilledClass(r *rig) {
	const (
		budget   = 3 * time.Second
		oldEnds  = 1500 * time.Millisecond // the old discovery's connections, after the signal
		drainAt  = 6 * time.Second         // after the signal
		grace    = 300 * time.Millisecond  // 250 ms, and 50 ms on sockets
		told     = 6 * time.Second         // at the latest, whether it arrived or not
		watch    = 4 * time.Second
		interval = 20 * time.Millisecond
	)
	view, brix := class("block-view", "read_like", 1250, 3000), class("brix-update", "read_like", 1250, 3000)
	r.newConfig(view, brix)
	r.settingsFile = filepath.Join(r.folder, "hookwalk.hcl")
	settings := "figures {\n  format = \"statsd\"\n}\ncapture {}\n" +
		"drill \"brix-stall\" {\n  class = \"brix-update\"\n  secret = \"crush-pad-7\"\n  share = 10\n  delay_ms = 500\n}\n"
	if err := os.WriteFile(r.settingsFile, []byte(settings), 0o600); err != nil {
		r.abandon("%v", err)
	}
	var hosts []host
	for i := range 3 {
		hosts = append(hosts, r.startServer(fmt.Sprintf("s-%d", i), answerAfter(interval)))
	}
	r.startNode()
	time.Sleep(time.Second)
	for range 10 {
		r.get("/api", "block-view", budget, budget+time.Second)
	}
	first := r.discovery
	second := newDiscovery(r)
	for _, h := range hosts {
		second.set(h)
	}
	r.discovery = second
	r.config["discovery"] = second.addr
	lanes := []any{view, brix}
	if r.trouble {
		lanes = []any{view}
	}
	r.settings()["lanes"] = lanes
	r.writeConfig()
	r.node.signal(r, sigHUP)
	signalled := time.Now()
	first.refuse()
	time.AfterFunc(oldEnds, first.close)
	for time.Since(signalled) < drainAt {
		r.get("/api", "block-view", budget, budget+time.Second)
		time.Sleep(10 * interval)
	}
	draining := hosts[0]
	draining.Health = "terminating"
	second.set(draining)
	drainedAt := time.Now()
	r.note("discovery: %s is terminating", draining.Host)
	for time.Since(drainedAt) < told+grace+watch {
		r.get("/api", "block-view", budget, budget+time.Second)
		time.Sleep(interval)
	}
	late := 0
	r.mu.Lock()
	for _, one := range r.runs {
		if one.server == draining.Host && one.at.After(drainedAt.Add(told+grace)) {
			late++
		}
	}
	r.mu.Unlock()
	if late > 0 {
		r.breaks("drain: %s got %d requests later than %v after it was listed as terminating", draining.Host, late, told+grace)
	}
}
