package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Time limits of the protocol, and the load of the test.
const (
	notifiedAfterChange        = 6 * time.Second        // a node counts as notified this long after discovery had a change and was reachable
	notifiedAfterAddressChange = 4 * time.Second        // likewise, after a SIGHUP with another address of discovery
	drainGrace                 = 250 * time.Millisecond // in which a notified node may still send to a draining server

	drainRate            = 100              // requests per second
	loadAfterListWritten = 5 * time.Second  // how long the load continues after a list can have been delivered
	unansweredLoadTime   = 16 * time.Second // how long the load continues after a drain if no list is delivered
	failedPollTime       = 2 * time.Second  // duration of a poll that fails
)

// drainConfig is the format of the node's configuration. Its arguments are the address of discovery, the bootstrap list and
// the mode of discovery.
const drainConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
 "settings":{"registry-mode":%q,"balancers":1,"rules":{"ask-within-ms":10000},
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":500,"max-attempts":3,"retry-after":true,"max-retry-after-ms":2000},
  "lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":3000,"worth":1},
   {"name":"write","effect":"non_idempotent","target-ms":1000,"deadline-ms":3000,"worth":1}]}}`

// Guards against a node that relies on a stale endpoint list while discovery is slow and its watch is stalled or belongs to an
// earlier address: such a node kept sending to a server that had drained. A node must send nothing to a server once it counts
// as notified of the drain. It must answer every request, with a rejection and Retry-After while it has no valid list, and
// serve again with the next list.
func TestNoRequestsToDrainingServerWithoutFreshList(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		for _, pollDelay := range []time.Duration{3 * time.Second, 7 * time.Second} {
			for _, addressChanges := range []int{0, 3} {
				t.Run(fmt.Sprintf("%s/polls take %v/%d address changes", mode, pollDelay, addressChanges), func(t *testing.T) {
					t.Parallel()
					newDrainScenario(t, mode).run(t, pollDelay, addressChanges)
				})
			}
		}
	}
}

// Guards against a node that treats a discovery which answers no poll as unable to notify anybody: 10 s after the lease had
// expired, such a node served again from the expired list and sent to a draining server. A node must send nothing there,
// however its polls end. While connections are refused from the start, the node cannot know what discovery had before, and
// must reject every request.
func TestNothingGoesToADrainedServerWhileNoPollIsAnswered(t *testing.T) {
	reject := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	for _, mode := range []string{"on_request", "pushed"} {
		for name, outcomes := range map[string][]func(http.ResponseWriter){
			"503": {reject}, "reset": {reset}, "503 and reset": {reject, reset}, "nothing": {}, "refused": nil,
		} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				t.Parallel()
				newDrainScenario(t, mode).runUnanswered(t, outcomes)
			})
		}
	}
}

// drainScenario is a node with its servers and its discovery. The servers and discovery are HTTP handlers in this process.
type drainScenario struct {
	mode          string
	notifiedAfter time.Duration    // the node counts as notified this long after the drain began
	hosts         []map[string]any // the endpoint list of discovery; the last server drains

	mu             sync.Mutex
	pollDelay      time.Duration // before discovery answers a poll
	watchesStalled chan struct{} // when closed, open watches deliver nothing any more
	drainedAt      time.Time     // zero: the drain has not begun
	latestAddress  string        // the address of discovery that the node is configured with last
	listedAt       time.Time     // when a list with the drain was first written at latestAddress

	lateArrivals []time.Duration // times from the drain to requests that the draining server got too late
	statuses     map[int]int
	failures     []string
}

func newDrainScenario(t *testing.T, mode string) *drainScenario {
	p := &drainScenario{mode: mode, watchesStalled: make(chan struct{}), statuses: map[int]int{}}
	for i := range 4 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			p.recordArrival(i)
			fmt.Fprint(w, "ok")
		}))
		t.Cleanup(server.Close)
		p.hosts = append(p.hosts, map[string]any{"host": fmt.Sprintf("s-%d", i), "dial": server.Listener.Addr().String(),
			"site": "a", "class": "m", "health": "in_service"})
	}
	return p
}

// recordArrival records a request that the draining server gets too late.
func (p *drainScenario) recordArrival(server int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if server != len(p.hosts)-1 || p.drainedAt.IsZero() {
		return
	}
	if after := time.Since(p.drainedAt); after > p.notifiedAfter+drainGrace {
		p.lateArrivals = append(p.lateArrivals, after)
	}
}

// ServeHTTP implements discovery, at all its addresses.
func (p *drainScenario) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	pollDelay, stalled := p.pollDelay, p.watchesStalled
	p.mu.Unlock()
	select {
	case <-time.After(pollDelay):
	case <-r.Context().Done():
		return
	}
	w.Write(p.listFor(r.Host))
	w.(http.Flusher).Flush()
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		select {
		case <-stalled:
			<-r.Context().Done()
			return
		case <-heartbeat.C:
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// listFor returns the current complete list, as discovery writes it at an address.
func (p *drainScenario) listFor(address string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := 1
	if !p.drainedAt.IsZero() {
		version = 2
		if p.listedAt.IsZero() && address == p.latestAddress {
			p.listedAt = time.Now()
		}
	}
	text, err := json.Marshal(map[string]any{"seq": version, "whole": true, "hosts": p.hosts})
	if err != nil {
		panic(err) // only if the types of this file can't be marshaled
	}
	return append(text, '\n')
}

// drain begins the drain of the last server, delays all later polls, and stalls the open watches.
func (p *drainScenario) drain(pollDelay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[len(p.hosts)-1]["health"] = "terminating"
	p.pollDelay, p.drainedAt = pollDelay, time.Now()
	close(p.watchesStalled)
	p.watchesStalled = make(chan struct{})
}

// run drains a server of a node under load, whose address of discovery then changes a number of times.
func (p *drainScenario) run(t *testing.T, pollDelay time.Duration, addressChanges int) {
	var addresses []string
	for range addressChanges + 1 {
		discovery := httptest.NewServer(p)
		t.Cleanup(func() {
			discovery.CloseClientConnections()
			discovery.Close()
		})
		addresses = append(addresses, discovery.Listener.Addr().String())
	}
	if p.notifiedAfter = notifiedAfterChange; addressChanges > 0 {
		p.notifiedAfter = notifiedAfterAddressChange
	}
	p.latestAddress = addresses[addressChanges]
	known := p.listFor("")
	config := func(address string) string { return fmt.Sprintf(drainConfig, address, known, p.mode) }
	c, url, stopNode := startDrainNode(t, config(addresses[0]))
	path := strings.TrimPrefix(c.Env[len(c.Env)-1], "ROUTER_CONFIG=")
	ctx, end := context.WithTimeout(t.Context(), time.Second+pollDelay+loadAfterListWritten)
	defer end()
	answered := p.load(ctx, url)
	<-time.After(time.Second)
	p.drain(pollDelay)
	for i, wait := range []time.Duration{0, 400 * time.Millisecond, 600 * time.Millisecond}[:addressChanges] {
		<-time.After(wait)
		if err := os.WriteFile(path, []byte(config(addresses[i+1])), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	answered.Wait()
	stopNode()
	p.check(t, pollDelay)
}

// runUnanswered drains a server of a node under load that gets no list. Its polls end with the outcomes in turn. They never
// end if outcomes is empty, and their connections are refused if it is nil.
func (p *drainScenario) runUnanswered(t *testing.T, outcomes []func(http.ResponseWriter)) {
	address := "127.0.0.1:1" // refuses connections
	if outcomes != nil {
		discovery := httptest.NewServer(discoveryWithoutLists(outcomes))
		t.Cleanup(func() {
			discovery.CloseClientConnections()
			discovery.Close()
		})
		address = discovery.Listener.Addr().String()
	}
	p.notifiedAfter = notifiedAfterChange
	_, url, stopNode := startDrainNode(t, fmt.Sprintf(drainConfig, address, p.listFor(""), p.mode))
	ctx, end := context.WithTimeout(t.Context(), time.Second+unansweredLoadTime)
	defer end()
	answered := p.load(ctx, url)
	<-time.After(time.Second)
	p.drain(0)
	answered.Wait()
	stopNode()
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcomes == nil {
		if n := p.statuses[http.StatusOK]; n > 0 {
			t.Errorf("%d requests were sent to a list that discovery had not confirmed", n)
		}
	}
	p.checkResponses(t)
	t.Logf("responses by status %v", p.statuses)
}

// discoveryWithoutLists returns a discovery whose polls end with the outcomes in turn, each after failedPollTime. The polls
// never end if outcomes is empty.
func discoveryWithoutLists(outcomes []func(http.ResponseWriter)) http.Handler {
	var polls atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(outcomes) == 0 {
			<-r.Context().Done()
			return
		}
		select {
		case <-time.After(failedPollTime):
			outcomes[int(polls.Add(1))%len(outcomes)](w)
		case <-r.Context().Done():
		}
	})
}

// startDrainNode starts a node and returns its process and its URL. stop ends it with SIGTERM.
func startDrainNode(t *testing.T, config string) (c *exec.Cmd, url string, stop func()) {
	c = programCommand(t, config)
	lines, url := startServing(t, c)
	logRead := make(chan struct{})
	go func() {
		defer close(logRead)
		for lines.Scan() {
		}
	}()
	return c, url, func() {
		if err := c.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-logRead
		if err := c.Wait(); err != nil {
			t.Errorf("the node exited with %v", err)
		}
	}
}

// load sends requests at a constant rate until ctx ends. The result waits for the last response.
func (p *drainScenario) load(ctx context.Context, url string) *sync.WaitGroup {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: drainRate}}
	var inFlight sync.WaitGroup
	var id atomic.Int64
	inFlight.Go(func() {
		tick := time.NewTicker(time.Second / drainRate)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				inFlight.Go(func() { p.send(client, url, id.Add(1)) })
			case <-ctx.Done():
				return
			}
		}
	})
	return &inFlight
}

// send sends one request and records its outcome.
func (p *drainScenario) send(client *http.Client, url string, id int64) {
	method, class := http.MethodGet, "read"
	if id%2 == 0 {
		method, class = http.MethodPost, "write"
	}
	r, err := http.NewRequest(method, url+"/api", nil)
	if err != nil {
		panic(err) // only if the URL is invalid
	}
	r.Header.Set("X-Call-Id", fmt.Sprint("id-", id))
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", "3000m")
	begin := time.Now()
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	elapsed := time.Since(begin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures = append(p.failures, fmt.Sprintf("request %d: %v", id, err))
		return
	}
	p.statuses[resp.StatusCode]++
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		err = errors.New("rejected without Retry-After")
	case resp.StatusCode == http.StatusServiceUnavailable && elapsed > time.Second:
		err = fmt.Errorf("rejected after %v", elapsed)
	case resp.StatusCode == http.StatusServiceUnavailable && !p.listedAt.IsZero() && begin.After(p.listedAt.Add(time.Second)):
		err = fmt.Errorf("rejected %v after the list was written", begin.Sub(p.listedAt))
	case resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable:
		err = fmt.Errorf("answered %d", resp.StatusCode)
	}
	if err != nil {
		p.failures = append(p.failures, fmt.Sprintf("request %d: %v", id, err))
	}
}

// check fails the test if a rule was broken.
func (p *drainScenario) check(t *testing.T, pollDelay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkResponses(t)
	if p.listedAt.IsZero() {
		t.Error("the list with the drain was never written")
	} else if delay := p.listedAt.Sub(p.drainedAt); delay > pollDelay+4*time.Second {
		t.Errorf("the list was written %v after the drain", delay)
	}
	if p.statuses[http.StatusOK] == 0 {
		t.Error("nothing was served")
	}
	t.Logf("responses by status %v, list after %v", p.statuses, p.listedAt.Sub(p.drainedAt))
}

// checkResponses fails the test if a request reached the draining server too late or got an invalid response. The caller
// holds the lock.
func (p *drainScenario) checkResponses(t *testing.T) {
	if n := len(p.lateArrivals); n > 0 {
		t.Errorf("%d requests reached the draining server more than %v after the drain began, from %v to %v after it",
			n, p.notifiedAfter+drainGrace, p.lateArrivals[0], p.lateArrivals[n-1])
	}
	if n := len(p.failures); n > 0 {
		t.Errorf("%d requests got an invalid response, the first: %s", n, p.failures[0])
	}
}
