package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart-upload"] = restartUpload }

// Figures of the case restart-upload.
const (
	restartBudget = 3 * time.Second         // half of the class's 6 s
	killAfter     = 3700 * time.Millisecond // "the longest deadline (taken as 3 s if it is longer) plus 0.7 s after SIGTERM"
	countedAfter  = 700 * time.Millisecond  // "if that request arrived more than 0.7 s after SIGTERM"
	uploadRate    = 64000                   // bytes a second: "a body at 64 kB a second"
	uploadLength  = 100 << 10
	uploadPiece   = 1600
	restartWork   = 2 * time.Second // an answer is wanted within 2.5 s
	restartCalls  = 6
)

// restartUpload: a planned restart. Clients go on with the connections that they hold, and send requests with bodies of
// 100 KiB at 64 kB a second. Each request that arrived more than 0.7 s after SIGTERM must have its answer before SIGKILL.
func restartUpload(r *rig) int {
	handle := func(a *arrival) bool {
		if strings.HasPrefix(a.id, "upload") {
			time.Sleep(restartWork)
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		ok := a.respond("done")
		r.log("%s: answers %s: written %v", a.server.name, a.id, ok)
		return ok
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

	var mu sync.Mutex
	var clients sync.WaitGroup
	taken, lost := 0, 0
	ready := make(chan time.Time)
	var connected sync.WaitGroup
	connected.Add(restartCalls)
	for i := range restartCalls {
		clients.Go(func() {
			conn, err := net.Dial("tcp", node.listen)
			must(err)
			defer conn.Close()
			first := &call{id: fmt.Sprintf("first-%d", i), class: "bin-weighin", method: "POST", patience: 4 * time.Second}
			fmt.Fprint(conn, uploadHead(first.id, 5)+"42 kg")
			got := first.receive(conn)
			r.log("client: %s was answered %s", first.id, got.summary())
			connected.Done()
			terminated := <-ready
			time.Sleep(time.Until(terminated.Add(750*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			c := &call{id: fmt.Sprintf("upload-%d", i), patience: restartBudget + 3*time.Second}
			if _, err := fmt.Fprint(conn, uploadHead(c.id, uploadLength)); err != nil {
				r.log("client: %s: %v", c.id, err)
				return
			}
			began := time.Now()
			piece := strings.Repeat("x", uploadPiece)
			for n := 0; n < uploadLength; n += uploadPiece {
				time.Sleep(time.Until(began.Add(time.Duration(n+uploadPiece) * time.Second / uploadRate)))
				if _, err := fmt.Fprint(conn, piece); err != nil {
					r.log("client: %s: %v after %d bytes: not counted", c.id, err, n)
					return
				}
			}
			if !waitTaken(conn, time.Second) {
				return
			}
			c.arrived = time.Now()
			r.log("client: the node's machine has the last byte of %s, %v after SIGTERM", c.id, c.arrived.Sub(terminated).Round(time.Millisecond))
			got = c.receive(conn)
			r.log("client: %s was answered %s, %v after its last byte", c.id, got.summary(), got.lastByte.Sub(c.arrived).Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if c.arrived.Sub(terminated) > countedAfter {
				taken++
				if got.status == 0 || got.err != nil || got.lastByte.Sub(c.arrived) > restartBudget+lostAfter {
					lost++
					r.log("LOST: %s has no final answer", c.id)
				}
			}
		})
	}
	connected.Wait()
	terminated := time.Now()
	if r.trouble {
		must(node.cmd.Process.Signal(syscall.SIGTERM))
		r.log("platform: SIGTERM")
	}
	for range restartCalls {
		ready <- terminated
	}
	if r.trouble {
		ended := make(chan error, 1)
		go func() { ended <- node.cmd.Wait() }()
		select {
		case err := <-ended:
			r.log("platform: the node has ended by itself %v after SIGTERM: %v", time.Since(terminated).Round(time.Millisecond), err)
		case <-time.After(time.Until(terminated.Add(killAfter + 20*time.Millisecond))):
			node.cmd.Process.Kill()
			r.log("platform: SIGKILL, %v after SIGTERM", time.Since(terminated).Round(time.Millisecond))
		}
	}
	clients.Wait()
	r.logNodeLines(node, "invariant broken", "attempt without an answer", "shutting", "stopped")
	r.log("%d requests arrived more than %v after SIGTERM, %d of them were lost", taken, countedAfter, lost)
	switch {
	case taken == 0:
		return couldNotRun
	case lost > 0:
		return ruleBroken
	}
	return ruleHeld
}

// uploadHead returns the head of a request with a body of a given length.
func uploadHead(id string, length int) string {
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: bin-weighin\r\nX-Caller: okanagan-ridge\r\n"+
		"X-Budget: %dm\r\nContent-Length: %d\r\n\r\n", http.MethodPost, id, restartBudget.Milliseconds(), length)
}
