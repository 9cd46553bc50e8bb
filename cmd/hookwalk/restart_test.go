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

// A node that starts owes an answer to every request whose connection came up, the first one at its listener included:
// what arrives between the opening of the listener and the first read must not be lost. Clients here connect without a
// pause while the process is killed and started again, so that some arrive at that moment of each start.
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
						continue // nobody listens yet
					}
					if err != nil {
						t.Errorf("no connection: %v", err)
						return
					}
					connected[round].Add(1)
					c.SetDeadline(time.Now().Add(timeBudget + 500*time.Millisecond))
					fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: r%d-c%d-%d\r\nX-Call-Class: a\r\nX-Budget: %dm\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
						round, n, i, timeBudget.Milliseconds())
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Errorf("round %d: accepted and not answered: %v", round, err)
					} else if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("round %d: answered %d", round, resp.StatusCode)
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
		wg.Wait() // no client runs while it is killed: requests in flight then are owed nothing
		p.Process.Kill()
		<-p.ended
	}
}
