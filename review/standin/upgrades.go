package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrades"] = upgrades }

// Figures of the play upgrades.
const (
	upgradeRounds  = 6
	upgradeClients = 24
	upgradeEvery   = 8 * time.Second
)

// upgrades: the process is replaced under load, while operators take servers out by hand at the new process and put them
// back. No request may be lost or run twice, and nothing may go to a server that is out.
func upgrades(r *rig) int {
	var mu sync.Mutex
	runs := map[string]int{}
	outAt := map[string]time.Time{}
	lateSends, lost, served, refused, unread := 0, 0, 0, 0, 0
	handle := func(a *arrival) bool {
		mu.Lock()
		runs[a.id]++
		if at, out := outAt[a.server.name]; out && a.at.Sub(at) > drainGrace+2*socketSlack {
			lateSends++
			r.log("DRAIN: %s got %s %v after it was taken out", a.server.name, a.id, a.at.Sub(at))
		}
		mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		return a.respond(a.id)
	}
	var entries []object
	for i := range 9 {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
	r.control = freeAddress()
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	end := time.Now().Add(upgradeRounds*upgradeEvery + 2*time.Second)
	var clients sync.WaitGroup
	for i := range upgradeClients {
		clients.Go(func() {
			var kept session
			defer kept.close()
			for n := 0; time.Now().Before(end); n++ {
				c := &call{id: fmt.Sprintf("u-%d-%d", i, n), class: "bin-weighin", method: "POST", budget: 3 * time.Second, body: []byte("42 kg"), patience: 3500 * time.Millisecond}
				got := kept.do(c, node.listen)
				mu.Lock()
				switch {
				case got.status == 200 && string(got.body) != c.id:
					r.log("WRONG: %s got %q", c.id, got.body)
					lost++
				case got.status == 200:
					served++
				case got.status == 0 && c.arrived.IsZero():
					unread++
				case got.status == 0:
					lost++
					r.log("LOST: %s: %v", c.id, got.err)
				default:
					refused++
				}
				mu.Unlock()
				if i%4 == 0 {
					kept.close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for round := range upgradeRounds {
		time.Sleep(2 * time.Second)
		old := node
		r.replaces, r.control = old, freeAddress()
		successor := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
		terminated := time.Now()
		must(old.cmd.Process.Signal(syscall.SIGTERM))
		out := fmt.Sprintf("s%d", round+1)
		post(r.control, "/control/servers/"+out+"/offline")
		mu.Lock()
		outAt[out] = time.Now()
		mu.Unlock()
		r.log("platform: SIGTERM to the old process; %s is out", out)
		ended := make(chan struct{})
		go func() { old.cmd.Wait(); close(ended) }()
		select {
		case <-ended:
			r.log("platform: the old process has ended %v after SIGTERM", time.Since(terminated).Round(time.Millisecond))
		case <-time.After(killAfter):
			old.cmd.Process.Kill()
			r.log("platform: SIGKILL")
		}
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		delete(outAt, out)
		mu.Unlock()
		post(r.control, "/control/servers/"+out+"/online")
		r.logNodeLines(old, "level=")
		node = successor
		time.Sleep(time.Until(terminated.Add(upgradeEvery - 2*time.Second)))
	}
	clients.Wait()
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.log("TWICE: %s ran %d times", id, n)
		}
	}
	r.logNodeLines(node, "invariant broken")
	r.log("%d served, %d other answers, %d not taken, %d lost, %d ran twice, %d sent to a server that is out", served, refused, unread, lost, twice, lateSends)
	if lost+twice+lateSends > 0 {
		return ruleBroken
	}
	return ruleHeld
}
