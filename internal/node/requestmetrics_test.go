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

// startWithMetrics starts a node that sends its metrics to a UDP socket, and returns a function that waits until a line has
// arrived there.
func startWithMetrics(t *testing.T, backends ...*backend) (n *testNode, awaitLine func(line string)) {
	t.Helper()
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	n, _ = startWithFeatures(t, settings.File{Metrics: &settings.Metrics{Format: "statsd", UDP: peer.LocalAddr().String(),
		Flush: 10 * time.Millisecond, MaxBatch: 1400}}, backends...)
	return n, func(line string) {
		t.Helper()
		buf := make([]byte, 64<<10)
		for peer.SetReadDeadline(time.Now().Add(20 * time.Second)); ; {
			size, _, err := peer.ReadFrom(buf)
			if err != nil {
				t.Fatalf("the line %q did not arrive: %v", line, err)
			}
			if strings.Contains("\n"+string(buf[:size])+"\n", "\n"+line+"\n") {
				return
			}
		}
	}
}

// The gauges follow the open connections and requests. A connection counts under the tags of its latest request, and under
// no tags before its first one.
func TestOpenConnectionsAndRequests(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	n, awaitLine := startWithMetrics(t, b)
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
		io.Copy(io.Discard, resp.Body) // so that the connection can be kept open
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	const tags = "|g|#class:unsafe,tenant:t-1"
	awaitLine("hookwalk.open_connections:1" + tags)
	awaitLine("hookwalk.open_requests:1" + tags)
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	awaitLine("hookwalk.open_requests:0" + tags)
	client.CloseIdleConnections()
	awaitLine("hookwalk.open_connections:0" + tags)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	awaitLine("hookwalk.open_connections:1|g|#class:none,tenant:none")
	c.Close()
	awaitLine("hookwalk.open_connections:0|g|#class:none,tenant:none")
}

// If metrics can't be written, all requests are still served.
func TestServesWhenMetricsCannotBeWritten(t *testing.T) {
	n, _ := startWithFeatures(t, settings.File{Metrics: &settings.Metrics{Format: "statsd", File: "/nowhere/figures",
		UDP: "127.0.0.1:1", Flush: 10 * time.Millisecond, MaxBatch: 64}}, newBackend(t, respondOK))
	for i := range 200 {
		if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x")); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
	n.stop()
	if err := <-n.ended; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}

// Each status is counted by the right metric.
func TestCounterForStatus(t *testing.T) {
	for status, want := range map[int]metrics.Counter{200: metrics.Served, 429: metrics.Rejected, 503: metrics.Rejected,
		400: metrics.NotAccepted, 409: metrics.NotAccepted, 505: metrics.NotAccepted, 403: metrics.NotAccepted, 500: metrics.Failed,
		502: metrics.Failed, statusClientGone: metrics.ClientGone} {
		if got := counterForStatus(status); got != want {
			t.Errorf("status %d is counted by %v, want %v", status, got, want)
		}
	}
}
