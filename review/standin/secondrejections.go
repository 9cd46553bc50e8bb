package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["second-rejections"] = secondRejections }

// secondRejections: a server turns a request away, and writes that answer a second time some milliseconds later. No
// request of a class that must never run twice may run twice.
func secondRejections(r *rig) int {
	twice := map[time.Duration]int{}
	for _, ms := range []time.Duration{6, 10, 15, 19, 22, 25, 30} {
		late := ms * time.Millisecond
		var mu sync.Mutex
		n := 0
		runs := map[string]int{}
		handle := func(a *arrival) bool {
			mu.Lock()
			n++
			k := n
			reject := r.trouble && k%12 == 8
			if !reject {
				runs[a.id]++
			}
			mu.Unlock()
			time.Sleep(150 * time.Millisecond)
			if !reject {
				return a.respond(a.id)
			}
			const answer = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
			fmt.Fprint(a.conn, answer)
			conn := a.conn
			go func() {
				time.Sleep(late)
				fmt.Fprint(conn, answer)
			}()
			return true
		}
		var entries []object
		for i := range 3 {
			s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
			entries = append(entries, entry(s.name, s.addr, "in_service"))
		}
		d := r.startDiscovery(entries)
		settings := smallSettings(1, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
		node := r.startNode(fmt.Sprintf("n-%d", ms), d.addr, settings, d.known(), usualLimits)
		time.Sleep(200 * time.Millisecond)
		var clients sync.WaitGroup
		for c := range 6 {
			clients.Go(func() {
				var kept session
				defer kept.close()
				for i := range 60 {
					call := &call{id: fmt.Sprintf("q-%d-%d", c, i), class: "bin-weighin", method: "POST", budget: 3 * time.Second, body: []byte("42 kg"), patience: 4 * time.Second}
					kept.do(call, node.listen)
				}
			})
		}
		clients.Wait()
		for id, k := range runs {
			if k > 1 {
				twice[late]++
				r.log("%s ran %d times", id, k)
			}
		}
		r.log("second rejection %v late: %d of %d requests ran twice", late, twice[late], len(runs))
		r.endProcesses()
	}
	for _, n := range twice {
		if n > 0 {
			return ruleBroken
		}
	}
	return ruleHeld
}
