package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discoveryapi"
)

// Whatever faults the servers have, each request gets exactly one final answer, a non-idempotent request runs at most
// once, and a request that may have run is not rejected, since clients send rejected requests again.
func TestOneAnswerPerRequestUnderFaults(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{} // by request ID: how often servers may have run the request
	faulty := func(n int, c net.Conn, r *http.Request) bool {
		rejected := n%5 == 1
		mu.Lock()
		if !rejected {
			runs[r.Header.Get("X-Call-Id")]++
		}
		mu.Unlock()
		switch {
		case rejected:
			return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
		case n%7 == 2:
			return respond(c, "500 Internal Server Error", "")
		case n%11 == 3:
			return false // closed after the request
		case n%13 == 4:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return false
		case n%3 == 0:
			respond(c, "200 OK", "done")
			return false // closed while idle
		}
		return respond(c, "200 OK", "done")
	}
	n := startWithBackends(t, newBackend(t, faulty), newBackend(t, faulty), newBackend(t, faulty), newBackend(t, faulty))

	const clients, requestsPerClient = 12, 40
	answered := map[int]int{}
	var wg sync.WaitGroup
	for client := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range requestsPerClient {
				id, class := fmt.Sprintf("%d-%d", client, i), []string{"keyed", "unsafe"}[i%2]
				resp, err := http.DefaultClient.Do(newRequest(t, n.url, class, id, "x"))
				if err != nil {
					t.Errorf("request %s was not answered: %v", id, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				mu.Lock()
				answered[resp.StatusCode]++
				ran := runs[id]
				mu.Unlock()
				switch {
				case err != nil:
					t.Errorf("request %s: response truncated: %v", id, err)
				case resp.StatusCode == http.StatusOK && string(body) != "done":
					t.Errorf("request %s: got the body %q", id, body)
				case resp.StatusCode == http.StatusServiceUnavailable && ran > 0:
					t.Errorf("request %s was rejected, but may have run %d times", id, ran)
				case class == "unsafe" && ran > 1:
					t.Errorf("non-idempotent request %s may have run %d times", id, ran)
				}
			}
		}()
	}
	wg.Wait()
	if answered[200] == 0 || answered[502] == 0 {
		t.Errorf("answers by status: %v, want both 200 and 502", answered)
	}
	for status := range answered {
		if status != 200 && status != 502 && status != 503 {
			t.Errorf("got status %d", status)
		}
	}
}

// A request to a server that never responds is answered at its deadline, and its connection is closed.
func TestSilentServerTimesOutAtDeadline(t *testing.T) {
	left := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.Copy(io.Discard, c)
		close(left)
		return false
	})
	n := startWithBackends(t, b)
	r := newRequest(t, n.url, "unsafe", "1", "x")
	r.Header.Set("X-Budget", "2000m")
	if status, _, _ := sendRequest(t, r); status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502: the request may have run", status)
	}
	<-left
}

// A server that rejects a request with a large body before reading it has not run the request. The request must be
// rejected, not failed.
func TestEarlyRejection(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "503 Service Unavailable", "", "X-Rejected: 1", "Connection: close")
	})
	status, _, _ := sendRequest(t, newRequest(t, startWithBackends(t, b).url, "unsafe", "1", strings.Repeat("x", maxBuffered)))
	if status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", status)
	}
}

// A server may close or reset its connection at any stage of a request. A request that may have run fails and is not
// retried; one that can't have run is rejected with a Retry-After. Afterwards no attempt is counted as in flight: a
// leaked count would reduce the server's share of requests permanently.
func TestServerClosesAtEachStage(t *testing.T) {
	lost, lostOrUnreachable := []balancer.Outcome{balancer.ConnectionLost}, []balancer.Outcome{balancer.ConnectionLost, balancer.Unreachable}
	for name, tc := range map[string]struct {
		serve func(c *net.TCPConn)
		want  []balancer.Outcome
	}{
		// Depending on the kernel, the node may detect the end before or after it has written the last byte.
		"reset before the first byte":    {resetConn, lostOrUnreachable},
		"closed before the first byte":   {func(*net.TCPConn) {}, lostOrUnreachable},
		"reset between request bytes":    {func(c *net.TCPConn) { io.ReadFull(c, make([]byte, 40)); resetConn(c) }, lostOrUnreachable},
		"half-closed without a response": {func(c *net.TCPConn) { c.CloseWrite(); io.Copy(io.Discard, c) }, lostOrUnreachable},
		"reset after the last byte":      {func(c *net.TCPConn) { readWholeRequest(c); resetConn(c) }, lost},
		"closed after the last byte":     {func(c *net.TCPConn) { readWholeRequest(c) }, lost},
		"closed mid-header":              {func(c *net.TCPConn) { readWholeRequest(c); io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") }, lost},
		"closed mid-body": {func(c *net.TCPConn) {
			readWholeRequest(c)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		}, lost},
		"half-closed after the response": {func(c *net.TCPConn) {
			readWholeRequest(c)
			respond(c, "200 OK", "done")
			c.CloseWrite()
			io.Copy(io.Discard, c)
		}, []balancer.Outcome{balancer.Success}},
		"no response": {func(c *net.TCPConn) { io.Copy(io.Discard, c) }, []balancer.Outcome{balancer.TimedOut}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, addr := testPool(t), rawServer(t, tc.serve)
			wait := time.Minute
			if tc.want[0] == balancer.TimedOut {
				wait = 100 * time.Millisecond
			}
			if got := p.runAttempt(testAttempt(p, addr, wait)).Outcome; !slices.Contains(tc.want, got) {
				t.Errorf("ended %v, want one of %v", got, tc.want)
			}
			cfg := testConfig(t, "pushed", inServiceEndpoint("s-0", addr))
			cfg.Discovery = silentDiscovery(t)
			n := startNode(t, cfg)
			for i := range 3 {
				r := newRequest(t, n.url, "unsafe", fmt.Sprint(name, i), "x")
				r.Header.Set("X-Budget", "300m")
				status, header, _ := sendRequest(t, r)
				switch {
				case tc.want[0] == balancer.Success && status != 200, tc.want[0] != balancer.Success && status == 200:
					t.Errorf("got status %d", status)
				case status == 503 && header.Get("Retry-After") == "":
					t.Error("rejected without a Retry-After")
				case status == 503 && len(tc.want) == 1:
					t.Error("rejected, but may have run")
				}
			}
			stopAndCheckIdle(t, n)
		})
	}
}

// A server drains, terminates and restarts at another address during a request. The attempt stays in flight exactly
// until it ends, and the new process gets requests meanwhile.
func TestServerChangesDuringRequest(t *testing.T) {
	received, finish := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Call-Id") == "held" {
			close(received)
			<-finish
			return false // closed without a response
		}
		return respond(c, "200 OK", "done")
	})
	other := newBackend(t, respondOK)
	n := startNode(t, configWithBackends(t, b))
	held := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "held", "x"))
		held <- status
	}()
	<-received
	moved := inServiceEndpoint("s-0", other.addr())
	moved.StartedAtMillis = 1000
	for _, endpoint := range []discoveryapi.Endpoint{{ID: "s-0", Health: "terminating"}, {ID: "s-0", Health: "terminated"}, inServiceEndpoint("s-0", b.addr()), moved} {
		if err := n.engine.ApplyUpdate(t.Context(), discovery.ToUpdate(discoveryapi.List{Endpoints: []discoveryapi.Endpoint{endpoint}})); err != nil {
			t.Fatal(err)
		}
	}
	if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "next", "x")); status != 200 || other.requests() != 1 {
		t.Errorf("the next request got status %d, and the new process got %d requests", status, other.requests())
	}
	close(finish)
	if status := <-held; status != http.StatusBadGateway {
		t.Errorf("the request to the old process got status %d, want 502", status)
	}
	stopAndCheckIdle(t, n)
}
