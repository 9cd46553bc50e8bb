package main

import (
	"io"
	"net"
	"time"
)

func init() { cases["half-heads"] = halfHeads }

// halfHeads has clients stop in the middle of a head and stay, on a node with few descriptors. A client that then sends a
// whole request on a new connection is owed its answer by half a second after its time. It may also find its connection shut
// unread.
func halfHeads(r *rig) {
	const (
		budget   = time.Second
		patience = 6 * time.Second
		sockets  = 256
		stopped  = 150
	)
	r.newConfig(class("block-view", "read_like", 500, 1000))
	r.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}
	for _, name := range []string{"s-0", "s-1", "s-2"} {
		r.startServer(name, answerAfter(20*time.Millisecond))
	}
	r.startNode()
	time.Sleep(time.Second)
	judge := func(id string, got answer) {
		runs := r.runsOf(id)
		switch late := got.took - budget; {
		case got.status == 0 && got.took < budget+lateAfter && len(runs) == 0:
			r.note("client: %s: its connection was shut unread", id)
		case late > lateAfter:
			r.breaks("lost: %s had no final answer %v after its time (status %d, %v)", id, late.Round(time.Millisecond), got.status, got.err)
		}
		for _, one := range runs {
			r.note("server %s had got %s", one.server, id)
		}
	}
	for range 5 {
		judge(r.get("/api", "block-view", budget, patience))
	}
	if r.trouble {
		for range stopped {
			conn, err := net.Dial("tcp", r.listen)
			if err != nil {
				r.abandon("%v", err)
			}
			defer conn.Close()
			io.WriteString(conn, "GET /api HTTP/1.1\r\nHost: service.inter")
		}
		r.note("%d clients have stopped in the middle of a head", stopped)
	}
	done := make(chan struct{})
	const requests = 5
	for range requests {
		time.Sleep(100 * time.Millisecond)
		go func() {
			judge(r.get("/api", "block-view", budget, patience))
			done <- struct{}{}
		}()
	}
	for range requests {
		<-done
	}
}
