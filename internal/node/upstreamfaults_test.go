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

// Servers fail in every way that a socket shows. Each request gets one final answer, a non-idempotent one runs at most once,
// and only what never ran is rejected: a client sends a rejected request again.
func TestOneAnswerPerRequestUnderFaults(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{} // by id: how often a server may have run it
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
			return false // reset after the request
		case n%13 == 4:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return false
		case n%3 == 0:
			respond(c, "200 OK", "done")
			return false // closed while it idles
		}
		return respond(c, "200 OK", "done")
	}
	n := startWith(t, newBackend(t, faulty), newBackend(t, faulty), newBackend(t, faulty), newBackend(t, faulty))

	const callers, each = 12, 40
	answered := map[int]int{}
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				id, class := fmt.Sprintf("%d-%d", caller, i), []string{"keyed", "unsafe"}[i%2]
				resp, err := http.DefaultClient.Do(newRequest(t, n.url, class, id, "x"))
				if err != nil {
					t.Errorf("%s was not answered: %v", id, err)
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
					t.Errorf("%s: response truncated: %v", id, err)
				case resp.StatusCode == http.StatusOK && string(body) != "done":
					t.Errorf("%s: served with %q", id, body)
				case resp.StatusCode == http.StatusServiceUnavailable && ran > 0:
					t.Errorf("%s was rejected, but may have run %d times", id, ran)
				case class == "unsafe" && ran > 1:
					t.Errorf("%s may have run %d times", id, ran)
				}
			}
		}()
	}
	wg.Wait()
	if answered[200] == 0 || answered[502] == 0 {
		t.Errorf("answers by status: %v; the faults or the service did not show", answered)
	}
	for status := range answered {
		if status != 200 && status != 502 && status != 503 {
			t.Errorf("answered %d", status)
		}
	}
}

// A server is silent. Its requests are answered at their deadline all the same, and their connections closed.
func TestSilentServerTimesOutAtDeadline(t *testing.T) {
	left := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.Copy(io.Discard, c)
		close(left)
		return false
	})
	n := startWith(t, b)
	r := newRequest(t, n.url, "unsafe", "1", "x")
	r.Header.Set("X-Budget", "2000m")
	if status, _, _ := sendRequest(t, r); status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502: it may have run", status)
	}
	<-left
}

// A server rejects a large body before it has read it. The request did not run, and must not be taken for one that did.
func TestEarlyRejection(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "503 Service Unavailable", "", "X-Rejected: 1", "Connection: close")
	})
	status, _, _ := sendRequest(t, newRequest(t, startWith(t, b).url, "unsafe", "1", strings.Repeat("x", maxBuffered)))
	if status != http.StatusServiceUnavailable {
		t.Errorf("answered %d, want 503", status)
	}
}

// A server closes or resets its connection at each moment of a request. What may have run is answered as failed and not
// retried, what can't have run is rejected with a Retry-After, and nothing stays in flight: a count that leaked would keep
// the server from getting its share for good.
func TestServerClosesAtEachStage(t *testing.T) {
	sent, maybeUnsent := []balancer.Outcome{balancer.ConnectionLost}, []balancer.Outcome{balancer.ConnectionLost, balancer.Unreachable}
	for name, tc := range map[string]struct {
		serve func(c *net.TCPConn)
		want  []balancer.Outcome
	}{
		// What the node has written by then is up to the kernel: it may know of the end, or learn of it after its last byte.
		"reset before the first byte":  {resetConn, maybeUnsent},
		"closed before the first byte": {func(*net.TCPConn) {}, maybeUnsent},
		"reset between request bytes":  {func(c *net.TCPConn) { io.ReadFull(c, make([]byte, 40)); resetConn(c) }, maybeUnsent},
		"half closed, and silent":      {func(c *net.TCPConn) { c.CloseWrite(); io.Copy(io.Discard, c) }, maybeUnsent},
		"reset after the last byte":    {func(c *net.TCPConn) { readWholeRequest(c); resetConn(c) }, sent},
		"closed after the last byte":   {func(c *net.TCPConn) { readWholeRequest(c) }, sent},
		"closed mid-header":            {func(c *net.TCPConn) { readWholeRequest(c); io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") }, sent},
		"closed mid-body": {func(c *net.TCPConn) {
			readWholeRequest(c)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		}, sent},
		"closed behind its response": {func(c *net.TCPConn) {
			readWholeRequest(c)
			respond(c, "200 OK", "done")
			c.CloseWrite()
			io.Copy(io.Discard, c)
		}, []balancer.Outcome{balancer.Success}},
		"silent for good": {func(c *net.TCPConn) { io.Copy(io.Discard, c) }, []balancer.Outcome{balancer.TimedOut}},
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
			cfg := testConfig(t, "pushed", inService("s-0", addr))
			cfg.Discovery = silentDiscovery(t)
			n := start(t, cfg)
			for i := range 3 {
				r := newRequest(t, n.url, "unsafe", fmt.Sprint(name, i), "x")
				r.Header.Set("X-Budget", "300m")
				status, header, _ := sendRequest(t, r)
				switch {
				case tc.want[0] == balancer.Success && status != 200, tc.want[0] != balancer.Success && status == 200:
					t.Errorf("answered %d", status)
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

// A server drains, moves and starts anew while a request is out at it. The attempt stays in flight until it ends, and no
// longer, and the new process gets requests meanwhile.
func TestServerChangesDuringRequest(t *testing.T) {
	received, end := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Call-Id") == "held" {
			close(received)
			<-end
			return false // reset under it
		}
		return respond(c, "200 OK", "done")
	})
	other := newBackend(t, respondOK)
	n := start(t, configWith(t, b))
	held := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "held", "x"))
		held <- status
	}()
	<-received
	moved := inService("s-0", other.addr())
	moved.StartedAtMillis = 1000
	for _, h := range []discoveryapi.Endpoint{{ID: "s-0", Health: "terminating"}, {ID: "s-0", Health: "terminated"}, inService("s-0", b.addr()), moved} {
		if err := n.engine.ApplyUpdate(t.Context(), discovery.ToUpdate(discoveryapi.List{Endpoints: []discoveryapi.Endpoint{h}})); err != nil {
			t.Fatal(err)
		}
	}
	if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "next", "x")); status != 200 || other.requests() != 1 {
		t.Errorf("the new process: answered %d after %d requests", status, other.requests())
	}
	close(end)
	if status := <-held; status != http.StatusBadGateway {
		t.Errorf("the call to the old one was answered %d", status)
	}
	stopAndCheckIdle(t, n)
}
