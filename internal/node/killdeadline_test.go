package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/invariants"
)

const (
	// shortCountedDeadline replaces maxCountedDeadline, so that the test takes less time. It is far below the deadline of
	// the classes, as in service.
	shortCountedDeadline = time.Second

	// killDelay is the time from SIGTERM to the earliest SIGKILL.
	killDelay = shortCountedDeadline + killMargin

	// slowBodyChunk is the number of bytes that a slow client sends every slowBodyInterval: 64 kB a second.
	slowBodyChunk    = 1600
	slowBodyInterval = 25 * time.Millisecond

	// maxTimerDelay is how late a timer of the test may fire. If one is later, the machine was too busy for the test.
	maxTimerDelay = 50 * time.Millisecond
)

// slowRequest is a request whose body arrives slowly, and whose server never answers.
type slowRequest struct {
	name    string
	sentAt  time.Duration // when the client begins to send it, from SIGTERM
	pause   time.Duration // time between the beginning of the head and its rest
	buffers int           // bytes that are sent at once
	slowly  int           // bytes that are sent slowly after them; the body is complete if their sum is length
	length  int           // announced length of the body
}

// A request that a client has sent gets its final answer before the process may be killed, however long its deadline is
// and whenever its body arrives. Otherwise SIGKILL ends its connection, and the client cannot know whether it ran.
func TestRequestsAreAnsweredBeforeKill(t *testing.T) {
	retryIfLate(t, runRequestsBeforeKill)
}

func runRequestsBeforeKill(t *testing.T) (late bool) {
	requests := []slowRequest{
		{"read before SIGTERM", -200 * time.Millisecond, 0, 1, 0, 1},
		{"streamed, complete before SIGTERM", -200 * time.Millisecond, 0, 3 * maxBuffered, 0, 3 * maxBuffered},
		{"streamed, begun before SIGTERM", -200 * time.Millisecond, 0, maxBuffered + 1, 60_000, maxBuffered + 60_001},
		{"streamed, begun after SIGTERM", 100 * time.Millisecond, 0, maxBuffered + 1, 60_000, maxBuffered + 60_001},
		{"buffered, begun after SIGTERM", 100 * time.Millisecond, 0, 1, 60_000, 60_001},
		{"buffered, complete after the last answer is due", 640 * time.Millisecond, 0, 1, 60_000, 60_001},
		{"head complete after the last answer is due", 640 * time.Millisecond, 960 * time.Millisecond, 1, 0, 1},
		{"streamed, never complete", 100 * time.Millisecond, 0, maxBuffered + 1, 3 * maxBuffered, 16 * maxBuffered},
	}
	hung := rawServer(t, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
	cfg := testConfig(t, "pushed", inServiceEndpoint("s-0", hung), inServiceEndpoint("s-1", hung))
	cfg.Discovery = silentDiscovery(t)
	n := startNode(t, cfg, func(n *Node) { n.maxCountedDeadline = shortCountedDeadline })
	terminated := time.Now().Add(400 * time.Millisecond)
	answers := make(chan error, len(requests))
	for i, r := range requests {
		conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		go func() { answers <- r.send(conn, i, terminated) }()
	}
	time.Sleep(time.Until(terminated))
	n.stop()
	time.Sleep(time.Until(terminated.Add(killDelay - maxTimerDelay)))
	if time.Since(terminated) > killDelay {
		return true
	}
	for range requests {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if got := n.engine.Violations.Count(invariants.Lost); got != 0 {
		t.Errorf("%d violations of the invariant %v", got, invariants.Lost)
	}
	return false
}

// send sends the request on a connection and waits for its final answer until the process may be killed.
func (r slowRequest) send(conn net.Conn, id int, terminated time.Time) error {
	time.Sleep(time.Until(terminated.Add(r.sentAt)))
	go func() {
		fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: %d\r\n", id)
		time.Sleep(r.pause)
		fmt.Fprintf(conn, "X-Call-Class: unsafe\r\nX-Budget: 30000m\r\nContent-Length: %d\r\n\r\n%s", r.length,
			strings.Repeat("x", r.buffers))
		begun := time.Now()
		for sent := 0; sent < r.slowly; sent += slowBodyChunk {
			time.Sleep(time.Until(begun.Add(time.Duration(sent/slowBodyChunk+1) * slowBodyInterval)))
			if _, err := io.WriteString(conn, strings.Repeat("x", min(slowBodyChunk, r.slowly-sent))); err != nil {
				return // the node has answered
			}
		}
	}()
	conn.SetReadDeadline(terminated.Add(killDelay))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("%s: no answer before SIGKILL: %w", r.name, err)
	}
	response.Body.Close()
	return nil
}
