package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["late-repeat"] = lateRepeat }

// Figures of the case late-repeat.
const (
	repeatWindow   = 1500 * time.Millisecond            // lanes[].window-ms
	failAfter      = repeatWindow - 60*time.Millisecond // the first attempt is answered 500 then
	repeatRounds   = 9
	lateRoundsOf   = 3 // connections to servers come up late in one round of so many
	repeatServers  = 4
	ordinaryBefore = 15 // requests that are served at once, before each that is answered 500
)

// effects is what the servers of the group have in common: which keys have run, and when first.
type effects struct {
	mu    sync.Mutex
	first map[string]time.Time
	runs  map[string]int
}

// run runs a request, unless its key has run within the window: then the group drops the repeat.
func (e *effects) run(r *rig, a *arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first, known := e.first[a.key]
	since := a.at.Sub(first)
	switch {
	case !known:
		e.first[a.key], e.runs[a.key] = a.at, 1
		r.log("%s: %s runs", a.server.name, a.key)
	case since <= repeatWindow+socketSlack:
		r.log("%s: %s is a repeat after %v, inside the window: dropped", a.server.name, a.key, since)
	default:
		e.runs[a.key]++
		r.log("%s: %s RUNS AGAIN: sent again %v after its first attempt, the window is %v", a.server.name, a.key, since, repeatWindow)
	}
}

// lateRepeat: a class with idempotency key. A server answers 500 shortly before the end of the window, and the connection
// for the next attempt comes up 1 s late. No attempt may be sent after the window.
func lateRepeat(r *rig) int {
	group := &effects{first: map[string]time.Time{}, runs: map[string]int{}}
	var mu sync.Mutex
	attempts := map[string]int{}
	var servers []*serverStandIn
	late := false // connections come up late in this round
	handle := func(a *arrival) bool {
		mu.Lock()
		attempts[a.id]++
		first, lateNow := attempts[a.id] == 1, late
		mu.Unlock()
		group.run(r, a)
		if a.id[0] != 'r' || !first {
			time.Sleep(20 * time.Millisecond)
			return a.respond("done")
		}
		if lateNow && r.trouble {
			time.Sleep(time.Until(a.at.Add(failAfter - 800*time.Millisecond)))
			var holding sync.WaitGroup
			for _, s := range servers {
				holding.Go(s.hold)
			}
			holding.Wait()
			r.log("connections to servers come up late now")
		}
		time.Sleep(time.Until(a.at.Add(failAfter)))
		r.log("%s: answers 500 to %s", a.server.name, a.id)
		fmt.Fprint(a.conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		if lateNow && r.trouble {
			time.Sleep(400 * time.Millisecond)
			for _, s := range servers {
				s.release()
			}
			r.log("connections to servers come up at once again")
		}
		return true
	}
	var entries []object
	for i := range repeatServers {
		s := r.startServer(fmt.Sprintf("s%d", i+1), true, handle)
		s.idle = 200 * time.Millisecond
		servers = append(servers, s)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(1, []object{
		lane("block-view", "read_like", 5, nil),
		lane("bin-weighin", "idempotency_key", 8, object{"window-ms": float64(repeatWindow.Milliseconds())}),
	}, object{"connect-timeout-ms": 1500.0})
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	time.Sleep(500 * time.Millisecond)

	send := func(id string) {
		c := &call{id: id, class: "bin-weighin", method: "POST", key: "key-" + id, budget: 4 * time.Second, body: []byte("42 kg"),
			patience: 5 * time.Second}
		got := c.do(node.listen)
		r.log("client: %s was answered %s after %v", id, got.summary(), got.lastByte.Sub(c.sent).Round(time.Millisecond))
	}
	for round := range repeatRounds {
		mu.Lock()
		late = round%lateRoundsOf == lateRoundsOf-1
		mu.Unlock()
		for i := range ordinaryBefore {
			send(fmt.Sprintf("o-%d-%d", round, i))
		}
		time.Sleep(300 * time.Millisecond)
		send(fmt.Sprintf("r-%d", round))
		time.Sleep(300 * time.Millisecond)
	}
	r.logNodeLines(node, "invariant broken", "attempt without an answer")
	twice := 0
	for _, runs := range group.runs {
		if runs > 1 {
			twice++
		}
	}
	r.log("%d keys, %d of them ran more than once", len(group.runs), twice)
	switch {
	case len(group.runs) < repeatRounds*(ordinaryBefore+1):
		r.log("not all requests reached a server")
		return couldNotRun
	case twice > 0:
		return ruleBroken
	}
	return ruleHeld
}
