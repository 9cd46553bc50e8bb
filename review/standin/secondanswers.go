package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["second-answers"] = secondAnswers }

// secondAnswers: servers answer some requests twice, the second time some milliseconds late. No client may get the answer to
// another request.
func secondAnswers(r *rig) int {
	astray := map[time.Duration]int{}
	lateness := []time.Duration{3, 6, 10, 15, 19, 25, 30, 34, 50}
	for _, ms := range lateness {
		late := ms * time.Millisecond
		for _, slow := range []time.Duration{10, 60, 140, 150} {
			var mu sync.Mutex
			n := 0
			handle := func(a *arrival) bool {
				mu.Lock()
				n++
				k := n
				mu.Unlock()
				work := 10 * time.Millisecond
				if k > 3 {
					work = slow * time.Millisecond
				}
				time.Sleep(work)
				if !a.respond(a.id) {
					return false
				}
				if r.trouble && k%6 == 4 {
					conn := a.conn
					go func() {
						time.Sleep(late)
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.id), a.id)
					}()
				}
				return true
			}
			s := r.startServer("s1", false, handle)
			d := r.startDiscovery([]object{entry("s1", s.addr, "in_service")})
			settings := smallSettings(1, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
			node := r.startNode(fmt.Sprintf("n-%d-%d", ms, slow), d.addr, settings, d.known(), usualLimits)
			time.Sleep(200 * time.Millisecond)
			var kept session
			wrong, failed := 0, 0
			for i := range 16 {
				c := &call{id: fmt.Sprintf("q-%d", i), class: "bin-weighin", method: "POST", budget: 3 * time.Second, body: []byte("42 kg"), patience: 4 * time.Second}
				got := kept.do(c, node.listen)
				switch {
				case got.status != 200:
					failed++
				case strings.TrimSpace(string(got.body)) != c.id:
					wrong++
				}
				if slow > 100 {
					time.Sleep(21 * time.Millisecond) // the node's rest is over
				}
			}
			kept.close()
			astray[late] += wrong
			r.log("second answer %v late, answers after %v: %d wrong, %d failed of 16", late, slow*time.Millisecond, wrong, failed)
			r.endProcesses()
		}
	}
	r.log("wrong answers by lateness: %v", astray)
	for _, n := range astray {
		if n > 0 {
			return ruleBroken
		}
	}
	return ruleHeld
}
