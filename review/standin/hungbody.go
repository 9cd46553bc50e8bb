package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["hung-body"] = hungBody }

// Figures of the case hung-body.
const (
	hungServers = 20              // one of twenty hangs
	hungBudget  = 3 * time.Second // half of the class's 6 s
	bigBody     = 6 << 20         // "Answers and bodies of up to 32 MB occur"
	bigCalls    = 4
	hangPoint   = 128 << 10 // bytes of the body that are read before the hang
	smallCalls  = 20
)

// hungBody: requests with long bodies. The server of the first of them hangs in the middle of the body and reads no
// further. The request must have its final answer half a second after its time at the latest, counted from the moment in
// which the node's machine has its last byte.
func hungBody(r *rig) int {
	var mu sync.Mutex
	var hung *serverStandIn
	hangs := func(s *serverStandIn) bool {
		mu.Lock()
		defer mu.Unlock()
		return hung == s
	}
	readBody := func(s *serverStandIn, conn net.Conn, body io.Reader, req *http.Request) (int64, bool) {
		id := req.Header.Get("X-Call-Id")
		if req.ContentLength >= 0 || !r.trouble {
			n, err := io.Copy(io.Discard, body)
			return n, err == nil
		}
		n, _ := io.CopyN(io.Discard, body, hangPoint)
		mu.Lock()
		if hung == nil {
			hung = s
			r.log("%s: hangs in the middle of its work, %d bytes of the body of %s are read", s.name, n, id)
		}
		mu.Unlock()
		if hangs(s) {
			time.Sleep(time.Hour)
		}
		rest, err := io.Copy(io.Discard, body)
		return n + rest, err == nil
	}
	handle := func(a *arrival) bool {
		if hangs(a.server) {
			time.Sleep(time.Hour)
		}
		time.Sleep(20 * time.Millisecond)
		return a.respond("done")
	}
	var entries []object
	for i := range hungServers {
		s := r.startServer(fmt.Sprintf("s%02d", i+1), false, handle)
		s.readBody = readBody
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{
		lane("block-view", "read_like", 5, nil), lane("brix-update", "read_like", 3, nil), lane("bin-weighin", "non_idempotent", 8, nil),
	}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	time.Sleep(500 * time.Millisecond)

	served := 0
	for i := range smallCalls {
		c := &call{id: fmt.Sprintf("short-%d", i), class: "bin-weighin", method: "POST", budget: hungBudget, body: []byte("42 kg"),
			patience: hungBudget + lostAfter}
		got := c.do(node.listen)
		r.log("client: %s was answered %s", c.id, got.summary())
		if got.status == http.StatusOK {
			served++
		}
	}
	lost, taken := 0, 0
	for i := range bigCalls {
		c := &call{id: fmt.Sprintf("long-%d", i), class: "bin-weighin", budget: hungBudget, patience: 20 * time.Second}
		got, length := c.doChunked(node.listen, bigBody)
		if c.arrived.IsZero() {
			r.log("client: the last byte of %s did not reach the node's machine: not counted (%s)", c.id, got.summary())
			continue
		}
		taken++
		took := got.lastByte.Sub(c.arrived)
		r.log("client: %s: body of %d bytes, the node's machine had the last %v after it was written; answered %s %v after that; its time is %v",
			c.id, length, c.arrived.Sub(c.sent).Round(time.Millisecond), got.summary(), took.Round(time.Millisecond), hungBudget)
		if got.status == 0 || took > hungBudget+lostAfter {
			r.log("LOST: %s had no final answer %v after its time", c.id, lostAfter)
			lost++
		}
	}
	r.logNodeLines(node, "invariant broken", "attempt without an answer")
	r.log("%d requests with a long body were taken, %d of them lost", taken, lost)
	switch {
	case served < smallCalls || taken < bigCalls:
		return couldNotRun
	case lost > 0:
		return ruleBroken
	}
	return ruleHeld
}
