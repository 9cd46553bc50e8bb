package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["left-in-body"] = leftInBody }

// leftInBody has clients send a request with a long body and close their connections right after it. Servers are busy, so that
// the node holds the requests. Nothing may begin for a client later than 0.1 s after its close.
func leftInBody(r *rig) {
	const (
		budget   = 6 * time.Second
		work     = 700 * time.Millisecond
		readers  = 12
		writers  = 4
		bodySize = 1 << 20
		stay     = 100 * time.Millisecond
		grace    = 150 * time.Millisecond // 0.1 s, and 50 ms on sockets
	)
	r.newConfig(class("block-view", "read_like", 3000, 6000), class("bin-weighin", "non_idempotent", 3000, 6000))
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	began := func(server, id string, at time.Time) {
		mu.Lock()
		left, gone := closedAt[id]
		mu.Unlock()
		if gone && at.After(left.Add(grace)) {
			r.breaks("lost: %s began at %s %v after its client had closed its connection", id, server, at.Sub(left).Round(time.Millisecond))
		}
	}
	for i := range 2 {
		name := fmt.Sprintf("s-%d", i)
		r.startRawServer(name, func(conn net.Conn) {
			in := bufio.NewReader(conn)
			for {
				if _, err := in.Peek(1); err != nil {
					return
				}
				at := time.Now()
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id := req.Header.Get("X-Call-Id")
				r.note("server %s: %s %s begins", name, req.Method, id)
				began(name, id, at)
				n, err := io.Copy(io.Discard, req.Body)
				if err != nil {
					r.note("server %s: %s broke off after %d bytes", name, id, n)
					return
				}
				r.ran(id, name)
				if !answerAfter(work)(conn, req, nil) {
					return
				}
			}
		})
	}
	r.startNode()
	time.Sleep(time.Second)
	for range 5 {
		r.get("/api", "block-view", budget, budget+time.Second)
	}
	var clients sync.WaitGroup
	for range readers {
		clients.Go(func() { r.get("/api", "block-view", budget, budget+time.Second) })
	}
	time.Sleep(50 * time.Millisecond)
	for range writers {
		clients.Go(func() {
			id := newID()
			conn, err := net.Dial("tcp", r.listen)
			if err != nil {
				r.abandon("%v", err)
			}
			sentAt := time.Now()
			io.WriteString(conn, head("POST", "/api", id, "bin-weighin", budget, bodySize))
			if _, err := conn.Write(make([]byte, bodySize)); err != nil {
				r.abandon("%v", err)
			}
			r.note("client: POST %s written, after %v", id, time.Since(sentAt))
			if r.trouble {
				time.Sleep(stay)
				mu.Lock()
				closedAt[id] = time.Now()
				mu.Unlock()
				conn.Close()
				r.note("client: %s closed", id)
				return
			}
			got := readAnswer(conn, bufio.NewReader(conn), sentAt, sentAt.Add(budget+time.Second))
			r.note("client: %s got %d, %v, after %v", id, got.status, got.err, got.took)
			conn.Close()
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
}
