package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/internal/settings"
)

// startWithMetrics runs a node that reports to a UDP peer, and returns a function that waits for a line to come there.
func startWithMetrics(t *testing.T, backends ...*backend) (n *testNode, comes func(line string)) {
	t.Helper()
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	n, _ = startLogged(t, settings.File{Metrics: &settings.Metrics{Format: "statsd", UDP: peer.LocalAddr().String(),
		Flush: 10 * time.Millisecond, MaxBatch: 1400}}, backends...)
	return n, func(line string) {
		t.Helper()
		buf := make([]byte, 64<<10)
		for peer.SetReadDeadline(time.Now().Add(20 * time.Second)); ; {
			size, _, err := peer.ReadFrom(buf)
			if err != nil {
				t.Fatalf("%s did not come: %v", line, err)
			}
			if strings.Contains("\n"+string(buf[:size])+"\n", "\n"+line+"\n") {
				return
			}
		}
	}
}

// Gauges follow what is open: a connection counts under the tags of its last request, under none before.
func TestOpenConnectionsAndRequests(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	n, comes := startWithMetrics(t, b)
	http.DefaultClient.CloseIdleConnections()
	client := &http.Client{Transport: &http.Transport{}}
	status := make(chan int, 1)
	go func() {
		r := newRequest(t, n.url, "unsafe", "1", "x")
		r.Header.Set("X-Caller", "t-1")
		resp, err := client.Do(r)
		if err != nil {
			status <- 0
			return
		}
		io.Copy(io.Discard, resp.Body) // else the connection could not be kept
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	const tags = "|g|#class:unsafe,tenant:t-1"
	comes("hookwalk.open_connections:1" + tags)
	comes("hookwalk.open_requests:1" + tags)
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	comes("hookwalk.open_requests:0" + tags)
	client.CloseIdleConnections()
	comes("hookwalk.open_connections:0" + tags)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	comes("hookwalk.open_connections:1|g|#class:none,tenant:none")
	c.Close()
	comes("hookwalk.open_connections:0|g|#class:none,tenant:none")
}

// Metrics that can't be written cost clients nothing: all requests are answered.
func TestServesThoughMetricsFail(t *testing.T) {
	n, _ := startLogged(t, settings.File{Metrics: &settings.Metrics{Format: "statsd", File: "/nowhere/figures",
		UDP: "127.0.0.1:1", Flush: 10 * time.Millisecond, MaxBatch: 64}}, newBackend(t, respondOK))
	for i := range 200 {
		if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x")); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
	n.stop()
	if err := <-n.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Each status has its counter.
func TestCounterOfStatus(t *testing.T) {
	for status, want := range map[int]metrics.Counter{200: metrics.Served, 429: metrics.Rejected, 503: metrics.Rejected,
		400: metrics.NotAccepted, 409: metrics.NotAccepted, 505: metrics.NotAccepted, 403: metrics.NotAccepted, 500: metrics.Failed,
		502: metrics.Failed, statusClientGone: metrics.ClientGone} {
		if got := counterOf(status); got != want {
			t.Errorf("%d counts as %v, want %v", status, got, want)
		}
	}
}
