package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Told to stop, a node accepts what still comes while the load balancer in front of it notices, answers what is open and
// ends without an error. A listener closed at once would reset connections of clients.
func TestShutdownLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			<-release
		}
		return respond(c, "200 OK", "done")
	})
	n := startWith(t, b)
	held := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "held", "x"))
		held <- status
	}()
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	n.stop()
	eventually(t, "shutting down", func() bool { return n.lifecycle.Load().ShuttingDown() })
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := fresh.Do(newRequest(t, n.url, "unsafe", "late", "x"))
	if err != nil {
		t.Fatalf("a connection that came late was not taken: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
	eventually(t, "closed to new connections", func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(release)
	if status := <-held; status != http.StatusOK {
		t.Errorf("what it held was answered %d", status)
	}
	if err := <-n.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

const (
	// acceptEndToHardDeadline is for how much longer than it accepts connections a node that shuts down answers.
	acceptEndToHardDeadline = 600 * time.Millisecond

	// maxLateRuns is how often a test may come too late for the stage of a shutdown that it is about.
	maxLateRuns = 8
)

// retryIfLate plays a part of a shutdown, and plays it again where the test itself came too late for it, on a busy machine.
func retryIfLate(t *testing.T, run func(t *testing.T) (late bool)) {
	t.Helper()
	for range maxLateRuns {
		if !run(t) {
			return
		}
	}
	t.Fatalf("the test came too late %d times: the machine is too busy", maxLateRuns)
}

// stageEnded reports whether a time before the end of a node's shutdown has passed, and logs by how much.
func stageEnded(t *testing.T, n *testNode, left time.Duration) bool {
	t.Helper()
	late := n.clock.Now() - (n.lifecycle.Load().HardDeadline() - left)
	t.Logf("%v after the end of its stage", late)
	return late > 0
}

// net/http drops a request that it reads while its own shutdown is on: its client sees a close and cannot know whether it ran.
// A request that has begun when the node takes no more connections is answered.
func TestRequestBegunBeforeLastAcceptIsAnswered(t *testing.T) {
	retryIfLate(t, runRequestBegunBeforeLastAccept)
}

func runRequestBegunBeforeLastAccept(t *testing.T) (late bool) {
	n := start(t, configWith(t, newBackend(t, respondOK)), func(n *Node) { n.maxCountedDeadline = maxCountedDeadline })
	address := strings.TrimPrefix(n.url, "http://")
	n.stop()
	eventually(t, "responses close their connections", func() bool { return n.lifecycle.Load().ResponsesCloseConnections(n.clock.Now()) })
	c, err := net.Dial("tcp", address)
	if err != nil && stageEnded(t, n, acceptEndToHardDeadline) {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h\r\n"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "closed to new connections", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(c, "X-Call-Id: 1\r\nX-Call-Class: unsafe\r\nX-Budget: 1000m\r\nContent-Length: 0\r\n\r\n")
	late = stageEnded(t, n, 0)
	if err != nil && late {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil && late {
		return true
	}
	if err != nil {
		t.Fatalf("read, and closed without an answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("answered %d", response.StatusCode)
	}
	return false
}

// A client sends two requests at once to a node that shuts down, whose responses close their connections by then. The second
// one has been read with the first: it is answered too, and its response closes the connection.
func TestPipelinedRequestsAreAnsweredInShutdown(t *testing.T) { retryIfLate(t, runPipelinedInShutdown) }

func runPipelinedInShutdown(t *testing.T) (late bool) {
	n := start(t, configWith(t, newBackend(t, respondOK)), func(n *Node) { n.maxCountedDeadline = maxCountedDeadline })
	n.stop()
	eventually(t, "responses close their connections", func() bool { return n.lifecycle.Load().ResponsesCloseConnections(n.clock.Now()) })
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil && stageEnded(t, n, acceptEndToHardDeadline) {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	const request = "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: %d\r\nX-Call-Class: unsafe\r\nX-Budget: 1000m\r\nContent-Length: 0\r\n\r\n"
	if _, err := fmt.Fprintf(c, request+request, 1, 2); err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(c)
	for i := range 2 {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i+1, err)
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if isLast := i == 1; response.StatusCode != http.StatusOK || response.Close != isLast {
			t.Errorf("response %d: %d, closes %v", i+1, response.StatusCode, response.Close)
		}
	}
	return false
}

// A node that is told to stop may be its clients' only one. It serves them until responses could meet SIGKILL; what can't be
// answered by then is answered early.
func TestServesDuringShutdown(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Call-Id") == "late" {
			io.Copy(io.Discard, c) // until the node gives up
			return false
		}
		return respond(c, "200 OK", "done")
	})
	n := start(t, configWith(t, b), func(n *Node) { n.maxCountedDeadline = maxCountedDeadline })
	begin := time.Now()
	n.stop()
	eventually(t, "shutting down", func() bool { return n.lifecycle.Load().ShuttingDown() })
	late := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "late", "x")) // has 30 s
		if err != nil {
			late <- 0
			return
		}
		resp.Body.Close()
		late <- resp.StatusCode
	}()
	eventually(t, "the late one is out", func() bool { return b.requests() == 1 })
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	var last time.Duration
	for i := range 1_000_000 {
		resp, err := kept.Do(newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x"))
		if err != nil {
			break
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			last = time.Since(begin)
		}
	}
	if last < maxCountedDeadline/2 {
		t.Errorf("served no longer than %v", last)
	}
	select {
	case status := <-late:
		if status != http.StatusBadGateway {
			t.Errorf("the late one was answered %d, want 502: it may have run", status)
		}
	case <-time.After(20 * time.Second):
		t.Error("the late one was not answered in time")
	}
}

// A client gives its request an hour, and the node is told to stop. The request must be answered before SIGKILL comes: else
// its client would not know that it may have run.
func TestLongBudgetOnSIGTERM(t *testing.T) {
	received := make(chan struct{})
	addr := rawServer(t, func(c *net.TCPConn) { readWholeRequest(c); close(received); io.Copy(io.Discard, c) })
	cfg := testConfig(t, "pushed", inService("s-0", addr))
	cfg.Discovery = silentDiscovery(t)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 300*time.Millisecond, time.Second
	}
	n := start(t, cfg)
	result := make(chan string, 1)
	go func() {
		r := newRequest(t, n.url, "unsafe", "1", "x")
		r.Header.Set("X-Budget", "3600000m")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			result <- err.Error()
			return
		}
		resp.Body.Close()
		result <- resp.Status
	}()
	<-received
	n.stop()
	if status := <-result; status != "502 Bad Gateway" {
		t.Errorf("it got %q", status)
	}
	stopAndCheckIdle(t, n)
}

// Out of service, responses end their connections and idle connections are closed; the second call undoes all of it, twice
// in a row, and no listener closes.
func TestOutOfServiceAndBack(t *testing.T) {
	n := startWith(t, newBackend(t, respondOK))
	o := adminService{n.Node}
	for round := range 2 {
		idle, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		if err := o.SetInService(t.Context(), false); err != nil {
			t.Fatal(err)
		}
		if readyStatus(t, n.url) != http.StatusServiceUnavailable {
			t.Error("ready though out of service")
		}
		eventually(t, "answers end their connections", func() bool {
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", time.Now().String(), "x"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("answered %d", resp.StatusCode)
			}
			return resp.Close
		})
		idle.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("round %d: the connection at rest ended with %v", round, err)
		}
		for range 2 {
			if err := o.SetInService(t.Context(), true); err != nil {
				t.Fatal(err)
			}
		}
		if readyStatus(t, n.url) != http.StatusOK {
			t.Error("not ready though in service")
		}
	}
}

func readyStatus(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}
