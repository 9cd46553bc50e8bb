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

// A node that shuts down keeps accepting connections until the load balancer in front of it has noticed, answers all
// open requests and ends without an error. Closing the listener immediately would reset clients' connections.
func TestShutdownLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			<-release
		}
		return respond(c, "200 OK", "done")
	})
	n := startWithBackends(t, b)
	held := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "held", "x"))
		held <- status
	}()
	eventually(t, "the request is sent", func() bool { return b.requests() == 1 })
	n.stop()
	eventually(t, "shutting down", func() bool { return n.lifecycle.Load().ShuttingDown() })
	noKeepAlive := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := noKeepAlive.Do(newRequest(t, n.url, "unsafe", "late", "x"))
	if err != nil {
		t.Fatalf("a connection during the shutdown was not accepted: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d", resp.StatusCode)
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
		t.Errorf("the open request got status %d", status)
	}
	if err := <-n.ended; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}

const (
	// acceptEndToHardDeadline is the time from the end of accepting connections to the hard deadline of a shutdown.
	acceptEndToHardDeadline = 600 * time.Millisecond

	// maxLateRuns limits how often a test is repeated because it missed the stage of a shutdown that it tests.
	maxLateRuns = 8
)

// retryIfLate runs a test of a shutdown, and runs it again if it was too slow for the stage that it tests, as happens
// on a busy machine.
func retryIfLate(t *testing.T, run func(t *testing.T) (late bool)) {
	t.Helper()
	for range maxLateRuns {
		if !run(t) {
			return
		}
	}
	t.Fatalf("the test was too slow %d times: the machine is too busy", maxLateRuns)
}

// stageEnded reports whether less than left remains until the hard deadline of a node's shutdown, and logs the
// difference.
func stageEnded(t *testing.T, n *testNode, left time.Duration) bool {
	t.Helper()
	late := n.clock.Now() - (n.lifecycle.Load().HardDeadline() - left)
	t.Logf("%v after the end of the stage", late)
	return late > 0
}

// net/http does not answer a request that it reads during its own shutdown: the client sees a closed connection and
// cannot know whether the request ran. A request that has begun before the node stops accepting connections must be
// answered.
func TestRequestBegunBeforeLastAcceptIsAnswered(t *testing.T) {
	retryIfLate(t, runRequestBegunBeforeLastAccept)
}

func runRequestBegunBeforeLastAccept(t *testing.T) (late bool) {
	n := startNode(t, configWithBackends(t, newBackend(t, respondOK)), func(n *Node) { n.maxCountedDeadline = maxCountedDeadline })
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
		t.Fatalf("the connection was closed without an answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("got status %d", response.StatusCode)
	}
	return false
}

// If a client sends two pipelined requests at a stage of a shutdown where responses close their connections, both are
// answered: the second request has already been read with the first. Only its response closes the connection.
func TestPipelinedRequestsAreAnsweredInShutdown(t *testing.T) { retryIfLate(t, runPipelinedInShutdown) }

func runPipelinedInShutdown(t *testing.T) (late bool) {
	n := startNode(t, configWithBackends(t, newBackend(t, respondOK)), func(n *Node) { n.maxCountedDeadline = maxCountedDeadline })
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
			t.Errorf("response %d: status %d, closes the connection %v", i+1, response.StatusCode, response.Close)
		}
	}
	return false
}

// A node that shuts down may be the only one that its clients can use. It serves them until responses might no longer
// be written before SIGKILL. A request that would take longer is answered early.
func TestServesDuringShutdown(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Call-Id") == "late" {
			io.Copy(io.Discard, c) // until the node closes the connection
			return false
		}
		return respond(c, "200 OK", "done")
	})
	n := startNode(t, configWithBackends(t, b), func(n *Node) { n.maxCountedDeadline = maxCountedDeadline })
	startedAt := time.Now()
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
	eventually(t, "the late request is sent", func() bool { return b.requests() == 1 })
	keepAlive := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	var lastServed time.Duration
	for i := range 1_000_000 {
		resp, err := keepAlive.Do(newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x"))
		if err != nil {
			break
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			lastServed = time.Since(startedAt)
		}
	}
	if lastServed < maxCountedDeadline/2 {
		t.Errorf("the last request was served after %v, want at least %v", lastServed, maxCountedDeadline/2)
	}
	select {
	case status := <-late:
		if status != http.StatusBadGateway {
			t.Errorf("the late request got status %d, want 502: it may have run", status)
		}
	case <-time.After(20 * time.Second):
		t.Error("the late request was not answered in time")
	}
}

// A request with a budget of one hour must be answered before SIGKILL if the node shuts down. Otherwise its client
// would not know that it may have run.
func TestLongBudgetOnSIGTERM(t *testing.T) {
	received := make(chan struct{})
	addr := rawServer(t, func(c *net.TCPConn) { readWholeRequest(c); close(received); io.Copy(io.Discard, c) })
	cfg := testConfig(t, "pushed", inServiceEndpoint("s-0", addr))
	cfg.Discovery = silentDiscovery(t)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 300*time.Millisecond, time.Second
	}
	n := startNode(t, cfg)
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
		t.Errorf("got status %q", status)
	}
	stopAndCheckIdle(t, n)
}

// While a node is out of service, its responses close their connections and idle connections are closed. Putting it
// back in service ends this, also if it is done twice, and the listener stays open throughout.
func TestOutOfServiceAndBack(t *testing.T) {
	n := startWithBackends(t, newBackend(t, respondOK))
	admin := adminService{n.Node}
	for round := range 2 {
		idle, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		if err := admin.SetInService(t.Context(), false); err != nil {
			t.Fatal(err)
		}
		if readyStatus(t, n.url) != http.StatusServiceUnavailable {
			t.Error("the node is ready although it is out of service")
		}
		eventually(t, "responses close their connections", func() bool {
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", time.Now().String(), "x"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("got status %d", resp.StatusCode)
			}
			return resp.Close
		})
		idle.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("round %d: the idle connection ended with %v, want EOF", round, err)
		}
		for range 2 {
			if err := admin.SetInService(t.Context(), true); err != nil {
				t.Fatal(err)
			}
		}
		if readyStatus(t, n.url) != http.StatusOK {
			t.Error("the node is not ready although it is in service")
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
