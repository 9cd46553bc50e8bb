package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
)

// If polls of discovery fail at first, the node polls again and gets its list.
func TestDiscoveryPollIsRetried(t *testing.T) {
	b := newBackend(t, respondOK)
	calls := make(chan struct{}, 100)
	addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		if len(calls) < 3 {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"z","health":"in_service"}]}`+"\n", b.addr())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	cfg := testConfig(t, "on_request")
	cfg.Discovery = addr
	n := startNode(t, cfg) // waits until the node is ready, which requires a list
	if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("got status %d", status)
	}
}

// A draining server gets no new requests, a server that has moved gets requests at its new address, and a server that
// is missing from a complete list gets none.
func TestEndpointChangesAreApplied(t *testing.T) {
	a := discoverytest.NewAgent(discoverytest.CompleteList)
	addr := discoverytest.Serve(t, a)
	first, second := newBackend(t, respondOK), newBackend(t, respondOK)
	cfg := testConfig(t, "pushed", inServiceEndpoint("s-1", first.addr()), inServiceEndpoint("s-2", second.addr()))
	cfg.Discovery = addr
	applied := make(chan struct{}, 10)
	n := startNode(t, cfg, func(n *Node) {
		applyUpdate := n.discovery.ApplyUpdate
		n.discovery.ApplyUpdate = func(ctx context.Context, w engine.Update) error {
			err := applyUpdate(ctx, w)
			applied <- struct{}{}
			return err
		}
	})
	id := 0
	send := func() {
		t.Helper()
		for range 10 {
			id++
			if status, _, _ := sendRequest(t, newRequest(t, n.url, "keyed", fmt.Sprint(id), "x")); status != http.StatusOK {
				t.Fatalf("request %d got status %d", id, status)
			}
		}
	}
	// apply sends an update and waits until the engine has applied it.
	apply := func(line string) {
		t.Helper()
		a.Lines <- line
		<-applied
		n.engine.ApplyUpdate(t.Context(), engine.Update{}) // blocks until the previous update has been applied
	}
	entry := func(host, dial, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","health":%q,"born_ms":0}`, host, dial, health)
	}
	apply(`{"seq":1,"hosts":[]}`) // the first update of a watch confirms the bootstrap list
	send()
	if first.requests() == 0 || second.requests() == 0 {
		t.Fatalf("the servers got %d and %d requests, want both above 0", first.requests(), second.requests())
	}
	apply(`{"seq":2,"hosts":[` + entry("s-2", second.addr(), "terminating") + `]}`)
	before := second.requests()
	send()
	if got := second.requests(); got != before {
		t.Errorf("a draining server got %d new requests", got-before)
	}
	moved := newBackend(t, respondOK)
	apply(`{"seq":3,"hosts":[` + entry("s-1", moved.addr(), "in_service") + `]}`)
	before = first.requests()
	send()
	if first.requests() != before || moved.requests() != 10 {
		t.Errorf("after the move the old address got %d requests, the new one %d, want 0 and 10", first.requests()-before, moved.requests())
	}
	third := newBackend(t, respondOK)
	apply(`{"seq":4,"whole":true,"hosts":[` + entry("s-3", third.addr(), "in_service") + `]}`)
	send()
	if moved.requests() != 10 || third.requests() != 10 {
		t.Errorf("after the complete list the absent server got %d requests, the listed one %d, want 0 and 10", moved.requests()-10, third.requests())
	}
}

// If discovery pushes, a new process must never send requests to a server that discovery has already announced as
// draining. The bootstrap list may still have that server in service, so requests wait for the first update.
func TestNewProcessWaitsForDiscovery(t *testing.T) {
	a := discoverytest.NewAgent(discoverytest.CompleteList)
	addr := discoverytest.Serve(t, a)
	draining, usable := newBackend(t, respondOK), newBackend(t, respondOK)
	cfg := testConfig(t, "pushed", inServiceEndpoint("s-1", draining.addr()), inServiceEndpoint("s-2", usable.addr()))
	cfg.Discovery = addr
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.serve(ctx, ln, nil) }()
	a.WantPoll(t, "watch 1")
	statuses, read := make(chan int, 8), make(chan struct{}, 8)
	for i := range cap(statuses) {
		req := newRequest(t, "http://"+ln.Addr().String(), "unsafe", fmt.Sprint(i), "x")
		req.Header.Set("Expect", "100-continue")
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got100Continue: func() { read <- struct{}{} }}))
		go func() {
			status, _, _ := sendRequest(t, req)
			statuses <- status
		}()
	}
	for range cap(read) { // until all requests have reached the node
		<-read
	}
	<-time.After(300 * time.Millisecond) // longer than the lease of an unconfirmed list
	a.Lines <- `{"seq":2,"hosts":[{"host":"s-1","dial":"` + draining.addr() + `","site":"z","health":"terminating"}]}`
	for range cap(statuses) {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("got status %d", status)
		}
	}
	if draining.requests() != 0 || usable.requests() != cap(statuses) {
		t.Errorf("the draining server got %d requests, the other one %d", draining.requests(), usable.requests())
	}
	end()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// If discovery pushes and is slow, a new process waits for its list. The process uses its bootstrap list after
// polledListWait if discovery is unavailable, and after pushedListWait if discovery never responds.
func TestInitialListWait(t *testing.T) {
	for name, c := range map[string]struct {
		agent    func(w http.ResponseWriter, r *http.Request)
		refused  bool
		from, to time.Duration
	}{
		"slow": {func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(1900 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			fmt.Fprintln(w, discoverytest.CompleteList)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, false, 1900 * time.Millisecond, 2 * time.Second},
		"no response":        {func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false, pushedListWait, pushedListWait + 100*time.Millisecond},
		"connection refused": {nil, true, polledListWait, polledListWait + 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig(t, "pushed", inServiceEndpoint("s-1", "127.0.0.1:1"))
				n, err := New(cfg, discardLogger())
				if err != nil {
					t.Fatal(err)
				}
				n.discovery.Client.Transport.(*http.Transport).DialContext = discoverytest.ServePipe(t, http.HandlerFunc(c.agent))
				if c.refused {
					n.discovery.Client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
						return nil, syscall.ECONNREFUSED
					}
				}
				p := discoverytest.NewPipeNetwork()
				ctx, end := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- n.serve(ctx, p, nil) }()
				begin := time.Now()
				for !n.ready() {
					time.Sleep(10 * time.Millisecond)
				}
				if at := time.Since(begin); at < c.from || at > c.to {
					t.Errorf("ready after %v", at)
				}
				end()
				p.Close()
				<-done
			})
		})
	}
}

// The start times of servers are converted to the node's clock; a missing start time stays missing.
func TestStartTimeIsClockTime(t *testing.T) {
	clock := engine.NewClock()
	startedAt := time.Now().Add(-5 * time.Second)
	server := discovery.ToServer(discoveryapi.Endpoint{ID: "s", Health: "in_service", StartedAtMillis: float64(startedAt.UnixMicro()) / 1000})
	if age := clock.Now() - server.StartTime; age < 4999*time.Millisecond || age > time.Minute {
		t.Errorf("the age of a server that started 5 s ago is %v", age)
	}
	if s := discovery.ToServer(discoveryapi.Endpoint{Health: "terminating"}); s.StartTime != 0 || s.State != balancer.Draining {
		t.Errorf("got %+v", s)
	}
}
