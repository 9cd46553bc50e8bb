package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["slow-answer"] = slowAnswer }

// Figures of the case slow-answer.
const (
	slowBudget = 3 * time.Second
	slowWork   = 2300 * time.Millisecond
	slowRate   = 64 << 10 // bytes a second
	slowLength = 200 << 10
)

// slowAnswer: servers write chunked answers of over 64 KiB slowly.
func slowAnswer(r *rig) int {
	var mu sync.Mutex
	cut := map[string]bool{}
	handle := func(a *arrival) bool {
		if a.id[0] != 'l' {
			time.Sleep(20 * time.Millisecond)
			return a.respond("done")
		}
		time.Sleep(slowWork)
		began := time.Now()
		fmt.Fprint(a.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		piece := bytes.Repeat([]byte("x"), 1600)
		for n := 0; n < slowLength; n += len(piece) {
			if r.trouble {
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / slowRate)))
			}
			if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				r.log("%s: the node has ended the connection after %d bytes of the answer to %s, %v after its first byte", a.server.name, n, a.id, time.Since(began))
				mu.Lock()
				cut[a.id] = true
				mu.Unlock()
				return false
			}
		}
		_, err := fmt.Fprint(a.conn, "0\r\n\r\n")
		r.log("%s: the answer to %s is written whole: error %v", a.server.name, a.id, err)
		return err == nil
	}
	var entries []object
	for i := range 9 {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{
		lane("block-view", "read_like", 5, nil), lane("brix-update", "read_like", 3, nil), lane("bin-weighin", "non_idempotent", 8, nil),
	}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	time.Sleep(500 * time.Millisecond)
	failed := 0
	for i := range 5 {
		c := &call{id: fmt.Sprintf("long-%d", i), class: "bin-weighin", method: "POST", budget: slowBudget, body: []byte("42 kg"), patience: 20 * time.Second}
		got := c.do(node.listen)
		r.log("client: %s was answered %s; first byte after %v, last after %v", c.id, got.summary(), got.firstByte.Sub(c.sent), got.lastByte.Sub(c.sent))
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		if got.status != 200 && cut[c.id] {
			failed++
			r.log("LOST: %s was cut off while its server still gave", c.id)
		}
		mu.Unlock()
	}
	r.logNodeLines(node, "invariant", "attempt without")
	if failed > 0 {
		return ruleBroken
	}
	return ruleHeld
}
