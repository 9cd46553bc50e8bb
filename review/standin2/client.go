package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// lateAfter is how late a final answer may be: half a second, and the 50 ms by which time limits on sockets are longer.
const lateAfter = 550 * time.Millisecond

// newID returns a fresh request ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request. length is that of its body; below 0 it has none.
func head(method, target, id, class string, budget time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: okanagan-ridge\r\nX-Budget: %dm\r\n",
		method, target, id, class, budget.Milliseconds())
	if length >= 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// answer is what a client got.
type answer struct {
	status int // 0: no whole head
	body   []byte
	err    error // how the answer broke off; nil: it is whole
	took   time.Duration
}

// readAnswer reads one answer until a time. The time that it took is counted from sentAt.
func readAnswer(conn net.Conn, in *bufio.Reader, sentAt, until time.Time) answer {
	conn.SetReadDeadline(until)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err, took: time.Since(sentAt)}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: body, err: err, took: time.Since(sentAt)}
}

// get sends one GET on a new connection and reads its answer for as long as patience says.
func (r *rig) get(target, class string, budget, patience time.Duration) (id string, got answer) {
	id = newID()
	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		return id, answer{err: err}
	}
	defer conn.Close()
	sentAt := time.Now()
	if _, err := io.WriteString(conn, head("GET", target, id, class, budget, -1)); err != nil {
		return id, answer{err: err}
	}
	r.note("client: sent GET %s %s, budget %v", target, id, budget)
	got = readAnswer(conn, bufio.NewReader(conn), sentAt, sentAt.Add(patience))
	r.note("client: %s got status %d, %d bytes, %v, after %v", id, got.status, len(got.body), got.err, got.took)
	return id, got
}
