package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["quick-reloads"] = quickReloads }

// quickReloads sends a request of a class that must not run twice, whose body arrives at 64 kB/s. While it arrives, two new
// configurations are signalled. The first drops the class, the second adds a class of its name with another effect. Every
// server runs what it gets and answers 500, so that a second attempt runs the request twice.
func quickReloads(r *rig) {
	const weighIn, bodySize, bytesPerSecond = "bin-weighin", 56 << 10, 64 << 10
	view := class("block-view", "read_like", 1250, 3000)
	r.newConfig(view, class(weighIn, "non_idempotent", 1250, 3000))
	for i := range 4 {
		r.startServer(fmt.Sprintf("s-%d", i), func(conn net.Conn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("X-Call-Id")
			if req.Method == http.MethodGet {
				return answerAfter(20*time.Millisecond)(conn, req, nil)
			}
			time.Sleep(20 * time.Millisecond)
			_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			return err == nil
		})
	}
	r.startNode()
	time.Sleep(time.Second)
	for range 30 { // ordinary traffic before
		r.get("/api", "block-view", 3*time.Second, 4*time.Second)
	}
	const requests = 5
	done := make(chan string, requests)
	for i := range requests {
		go func() {
			id := newID()
			defer func() { done <- id }()
			conn, err := net.Dial("tcp", r.listen)
			if err != nil {
				r.note("client: %v", err)
				return
			}
			defer conn.Close()
			io.WriteString(conn, head("POST", "/api", id, weighIn, 3*time.Second, bodySize))
			r.note("client %d: head of POST %s sent", i, id)
			piece := make([]byte, bytesPerSecond/20)
			for sent := 0; sent < bodySize; {
				n, err := conn.Write(piece[:min(len(piece), bodySize-sent)])
				if err != nil {
					r.note("client %d: %v", i, err)
					return
				}
				sent += n
				time.Sleep(50 * time.Millisecond)
			}
			sentAt := time.Now()
			r.note("client %d: body of %s sent", i, id)
			got := readAnswer(conn, bufio.NewReader(conn), sentAt, sentAt.Add(5*time.Second))
			r.note("client %d: %s got status %d, %v, after %v", i, id, got.status, got.err, got.took)
		}()
	}
	if r.trouble {
		time.Sleep(200 * time.Millisecond)
		r.settings()["lanes"] = []any{view}
		r.writeConfig()
		r.node.signal(r, sigHUP)
		time.Sleep(300 * time.Millisecond)
		r.settings()["lanes"] = []any{view, class(weighIn, "read_like", 1250, 3000)}
		r.writeConfig()
		r.node.signal(r, sigHUP)
	}
	for range requests {
		id := <-done
		if runs := r.runsOf(id); len(runs) > 1 {
			r.breaks("duplicate: %s, sent once as a request that must not run twice, ran %d times", id, len(runs))
		}
	}
}
