package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/discoveryapi"
)

const platformSettings = `{"balancers":1,"me":0,"tier":0,"registry-mode":%q,"tick-ms":2,"zone":"z",
 "blend":{"whole":0.55,"worst-class":0.3},"callers":{"marks-retry":true},
 "limits":{"conn-idle-ms":30000,"connect-timeout-ms":2000,"max-attempts":6,"max-retry-after-ms":1200,"retry-after":true},
 "rules":{"ask-within-ms":1000,"cold-from":0.12,"fall-multiple":3,"warm-after-ms":20000},
 "lanes":[{"name":"keyed","effect":"idempotency_key","key-scope":"cell","window-ms":60000,"target-ms":20000,"deadline-ms":60000,"worth":2},
  {"name":"unsafe","effect":"non_idempotent","key-scope":"all","window-ms":5000,"target-ms":20000,"deadline-ms":60000,"worth":3}]}`

// testConfig returns a configuration with a discovery mode ("pushed" or "on_request") and a bootstrap list.
func testConfig(t *testing.T, mode string, known ...discoveryapi.Endpoint) Config {
	t.Helper()
	knownJSON, err := json.Marshal(discoveryapi.List{Version: 1, Complete: true, Endpoints: known})
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	 "seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		knownJSON, fmt.Sprintf(platformSettings, mode)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// inServiceEndpoint returns an entry of the endpoint list for a server that accepts requests.
func inServiceEndpoint(id, addr string) discoveryapi.Endpoint {
	return discoveryapi.Endpoint{ID: id, Addr: addr, Zone: "z", Health: "in_service"}
}

// eventually waits until a condition holds that the node brings about in the background. what names the condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen within 20 s: %s", what)
		}
	}
}

// backend is a server that passes each request to a function and records it.
type backend struct {
	ln       net.Listener
	mu       sync.Mutex
	received []*http.Request
	bodies   []string
	conns    []net.Conn
}

// newBackend starts a backend that serves until the test ends. serve writes the response to request number n (from 1) and
// returns false to close the connection.
func newBackend(t *testing.T, serve func(n int, c net.Conn, r *http.Request) bool) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{ln: ln}
	t.Cleanup(func() {
		ln.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, c := range b.conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns = append(b.conns, c)
			b.mu.Unlock()
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					b.mu.Lock()
					b.received = append(b.received, r)
					b.bodies = append(b.bodies, string(body))
					n := len(b.received)
					b.mu.Unlock()
					if !serve(n, c, r) {
						return
					}
				}
			}()
		}
	}()
	return b
}

func (b *backend) addr() string { return b.ln.Addr().String() }

// requests returns the number of requests received.
func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

// accepted returns the number of connections accepted.
func (b *backend) accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// respond writes a response and reports whether the write succeeded.
func respond(c net.Conn, status, body string, headers ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(headers, ""), "\r\n"), body)
	return err == nil
}

// respondOK answers a request with 200.
func respondOK(_ int, c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") }

// silentDiscovery starts a discovery server that keeps its watches open without sending updates.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	return newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"seq":1,"whole":false,"hosts":[]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
}

func newDiscoveryServer(t *testing.T, f http.HandlerFunc) string { return discoverytest.Serve(t, f) }

// testNode is a node that serves on a loopback address.
type testNode struct {
	*Node
	url   string
	stop  context.CancelFunc
	ended chan error
}

// startNode starts a node on a new listener and waits until it is ready. The adjust functions change it before it serves.
func startNode(t *testing.T, cfg Config, adjust ...func(*Node)) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := startNodeOn(t, cfg, ln, adjust...)
	eventually(t, "the node answers /ready with 200", func() bool {
		resp, err := http.Get(n.url + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return n
}

// startNodeOn starts a node on a listener that the test provides.
func startNodeOn(t *testing.T, cfg Config, ln net.Listener, adjust ...func(*Node)) *testNode {
	t.Helper()
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	n.maxCountedDeadline = 0 // shortens the shutdown; tests of the shutdown restore it
	for _, f := range adjust {
		f(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &testNode{Node: n, url: "http://" + ln.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		node.ended <- n.serve(ctx, ln, nil)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	eventually(t, "the node has an endpoint list", n.ready)
	return node
}

// startWithBackends starts a node with the backends in its bootstrap list and no further endpoint updates.
func startWithBackends(t *testing.T, backends ...*backend) *testNode {
	t.Helper()
	return startNode(t, configWithBackends(t, backends...))
}

// configWithBackends returns a configuration with the backends in its bootstrap list.
func configWithBackends(t *testing.T, backends ...*backend) Config {
	t.Helper()
	var endpoints []discoveryapi.Endpoint
	for i, b := range backends {
		endpoints = append(endpoints, inServiceEndpoint(fmt.Sprintf("s-%d", i), b.addr()))
	}
	cfg := testConfig(t, "pushed", endpoints...)
	cfg.Discovery = silentDiscovery(t)
	return cfg
}

// newRequest returns a request of a class with a budget of 30 s.
func newRequest(t *testing.T, url, class, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/api/x%2Fy?q=1&r=%20", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", "30000m")
	if class == "keyed" {
		r.Header.Set("Idempotency-Key", "k-"+id)
	}
	return r
}

// sendRequest sends a request and returns the response's status, headers and body.
func sendRequest(t *testing.T, r *http.Request) (int, http.Header, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(body)
}

// stopAndCheckIdle stops a node and checks that neither the balancer nor the connection pool has anything left in flight.
func stopAndCheckIdle(t *testing.T, n *testNode) {
	t.Helper()
	n.stop()
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	text, err := n.engine.Balancer.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	var checkpoint struct {
		Servers  []struct{ Open [][2]int }
		Requests []any
		Pools    []struct{ InFlight int }
	}
	if err := json.Unmarshal(text, &checkpoint); err != nil {
		t.Fatal(err)
	}
	for _, s := range checkpoint.Servers {
		if len(s.Open) > 0 {
			t.Errorf("attempts in flight at a server after the stop: %v", s.Open)
		}
	}
	for _, p := range checkpoint.Pools {
		if p.InFlight != 0 {
			t.Errorf("%d attempts of a pool in flight after the stop", p.InFlight)
		}
	}
	if len(checkpoint.Requests) > 0 || len(n.pool.conns) > 0 || n.pool.dialing != 0 || len(n.pool.idleByTarget) > 1 {
		t.Errorf("after the stop: %d requests, %d connections, %d being dialed, %d targets", len(checkpoint.Requests),
			len(n.pool.conns), n.pool.dialing, len(n.pool.idleByTarget))
	}
}

// rawServer starts a server that passes each connection to a function in its own goroutine.
func rawServer(t *testing.T, serve func(c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}

// resetConn closes a connection with a reset.
func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// readWholeRequest reads one complete request and reports whether it succeeded.
func readWholeRequest(c net.Conn) bool {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return err == nil
}
