package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["many-at-once"] = manyAtOnce }

// manyAtOnce has a client send eight requests at once on one connection. Servers take 0.4 s for each. Each request is owed its
// answer by half a second after its time, which runs from its last byte.
func manyAtOnce(r *rig) {
	const (
		budget   = 1500 * time.Millisecond
		patience = 20 * time.Second
		work     = 400 * time.Millisecond
		requests = 8
	)
	r.newConfig(class("block-view", "read_like", 750, 1500))
	for i := range 4 {
		r.startServer(fmt.Sprintf("s-%d", i), answerAfter(work))
	}
	r.startNode()
	time.Sleep(time.Second)
	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		r.abandon("%v", err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	var ids []string
	var sentAt time.Time
	send := func(count int) {
		ids = nil
		text := ""
		for range count {
			ids = append(ids, newID())
			text += head("GET", "/api", ids[len(ids)-1], "block-view", budget, -1)
		}
		sentAt = time.Now()
		if _, err := io.WriteString(conn, text); err != nil {
			r.abandon("%v", err)
		}
		r.note("client: sent %d at once: %v", count, ids)
	}
	read := func() {
		for _, id := range ids {
			got := readAnswer(conn, in, sentAt, sentAt.Add(patience))
			r.note("client: %s got status %d, %q, %v, after %v", id, got.status, got.body, got.err, got.took)
			if late := got.took - budget; late > lateAfter {
				r.breaks("lost: %s had no final answer %v after its time (status %d)", id, late.Round(time.Millisecond), got.status)
			}
			if got.status == 200 && string(got.body) != id {
				r.breaks("foreign: %s got the answer %q", id, got.body)
			}
			if got.err != nil {
				return
			}
		}
	}
	if r.trouble {
		send(requests)
		read()
		return
	}
	for range requests {
		send(1)
		read()
	}
}
