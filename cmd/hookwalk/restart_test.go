package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against the loss of requests that arrive between the opening of the listener and the first read. A node that starts
// must answer every request whose connection is established, including the first. Clients connect without a pause at each
// start of the process, so that some connect in this interval.
func TestNoRequestLostDuringStart(t *testing.T) {
	const rounds, clients, timeBudget = 5, 8, 2 * time.Second
	s := newNodeEnvironment(t)
	var connected [rounds]atomic.Int64
	for round := range rounds {
		p := s.start(t)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for n := range clients {
			wg.Go(func() {
				for i := range 100000 {
					select {
					case <-stop:
						return
					default:
					}
					c, err := net.Dial("tcp", s.listen)
					if errors.Is(err, syscall.ECONNREFUSED) {
						continue // the node does not listen yet
					}
					if err != nil {
						t.Errorf("failed to connect: %v", err)
						return
					}
					connected[round].Add(1)
					c.SetDeadline(time.Now().Add(timeBudget + 500*time.Millisecond))
					fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r%d-c%d-%d\r\nX-Call-Class: a\r\nX-Budget: %dm\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
						round, n, i, timeBudget.Milliseconds())
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Errorf("round %d: a request on an established connection got no response: %v", round, err)
					} else if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("round %d: unexpected status %d", round, resp.StatusCode)
					}
					c.Close()
				}
			})
		}
		p.waitReady(t)
		for before := connected[round].Load(); connected[round].Load() < before+3*clients; {
			time.Sleep(time.Millisecond)
		}
		close(stop)
		wg.Wait() // before the kill, which may lose requests in flight
		p.Process.Kill()
		<-p.ended
	}
}
