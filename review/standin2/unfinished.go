package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unfinished-answer"] = unfinishedAnswer }

// unfinishedAnswer has servers spoil some answers, which have no length: they come in pieces for 1.2 s, and then a byte every
// 3 s, and never end. They stay below 64 KiB. Each request is owed its final answer, or an end that shows that there is none,
// by half a second after its time.
func unfinishedAnswer(r *rig) {
	const (
		budget   = 2 * time.Second
		patience = 20 * time.Second
		pieces   = 24
		pause    = 50 * time.Millisecond
		piece    = 2 << 10
		drip     = 3 * time.Second
		spoilt   = 4
		ordinary = 36
	)
	r.newConfig(class("block-view", "read_like", 1000, 2000))
	over := make(chan struct{})
	for i := range 4 {
		name := fmt.Sprintf("s-%d", i)
		r.startServer(name, func(conn net.Conn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("X-Call-Id")
			if req.URL.Query().Get("long") == "" {
				return answerAfter(20*time.Millisecond)(conn, req, nil)
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range pieces {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", piece, make([]byte, piece)); err != nil {
					r.note("server %s: the node closed the connection of %s", name, id)
					return false
				}
				time.Sleep(pause)
			}
			if !r.trouble {
				_, err := fmt.Fprint(conn, "0\r\n\r\n")
				return err == nil
			}
			r.note("server %s: from here on, the answer to %s drips", name, id)
			for {
				select {
				case <-over:
					return false
				case <-time.After(drip):
				}
				if _, err := fmt.Fprint(conn, "1\r\n.\r\n"); err != nil {
					r.note("server %s: the node closed the connection of %s", name, id)
					return false
				}
			}
		})
	}
	r.startNode()
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	judge := func(id string, got answer) {
		if late := got.took - budget; late > lateAfter {
			r.breaks("lost: %s had no final answer %v after its time (status %d, %d bytes, %v)", id, late.Round(time.Millisecond),
				got.status, len(got.body), got.err)
		}
	}
	for i := range ordinary {
		judge(r.get("/api", "block-view", budget, patience))
		if i%(ordinary/spoilt) == 0 {
			clients.Go(func() { judge(r.get("/api?long=1", "block-view", budget, patience)) })
		}
	}
	clients.Wait()
	close(over)
}
