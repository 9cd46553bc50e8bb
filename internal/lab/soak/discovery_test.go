package soak

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// newTestDiscovery returns a discovery that lists one server, and the address at which it serves one node.
func newTestDiscovery(t *testing.T) (d *discovery, addr string) {
	t.Helper()
	d = newDiscovery(&recorder{started: time.Now()}, []*server{{}})
	addr, err := d.openAddress(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.close)
	return d, addr
}

// callResult is the result of a call to discovery.
type callResult struct {
	status int
	err    error
}

// startCall starts a poll for the complete list and returns a channel that delivers its result.
func startCall(t *testing.T, addr string) <-chan callResult {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints", nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan callResult, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			ended <- callResult{err: err}
			return
		}
		resp.Body.Close()
		ended <- callResult{status: resp.StatusCode}
	}()
	return ended
}

// awaitCall returns the result of a call, and fails the test if the call does not end.
func awaitCall(t *testing.T, ended <-chan callResult) callResult {
	t.Helper()
	select {
	case end := <-ended:
		return end
	case <-time.After(10 * time.Second):
		t.Fatal("the call has not ended after 10 s")
		return callResult{}
	}
}

// Calls that discovery held during an outage must be answered when the outage ends. It once rejected them, so that no node
// with a held call noticed that discovery was available again.
func TestHeldCallContinuesWhenTheOutageEnds(t *testing.T) {
	d, addr := newTestDiscovery(t)
	d.setOutage(true, true)
	ended := startCall(t, addr)
	select {
	case end := <-ended:
		t.Fatalf("the call ended with %v during the outage", end)
	case <-time.After(maxQueueTime / 4):
	}
	d.setOutage(false, true)
	if end := awaitCall(t, ended); end.status != http.StatusOK {
		t.Errorf("the call ended with %v, want the list", end)
	}
}

// A call that an outage holds for maxQueueTime is rejected.
func TestHeldCallIsRejectedAfterMaxQueueTime(t *testing.T) {
	d, addr := newTestDiscovery(t)
	d.setOutage(true, true)
	began := time.Now()
	if end := awaitCall(t, startCall(t, addr)); end.status != http.StatusServiceUnavailable {
		t.Errorf("the call ended with %v, want a rejection", end)
	}
	if took := time.Since(began); took < maxQueueTime {
		t.Errorf("rejected after %v, want %v", took, maxQueueTime)
	}
}

// When an outage begins, discovery resets the calls that wait for their turn. It once handled them during the outage.
func TestWaitingCallIsResetWhenAnOutageBegins(t *testing.T) {
	for name, holdCalls := range map[string]bool{"calls held": true, "connections refused": false} {
		t.Run(name, func(t *testing.T) {
			d, addr := newTestDiscovery(t)
			d.faults.begin(Fault{Kind: DiscoverySlow, Wait: time.Second})
			ended := startCall(t, addr)
			select {
			case end := <-ended:
				t.Fatalf("the call ended with %v before the wait of the fault", end)
			case <-time.After(200 * time.Millisecond):
			}
			d.setOutage(true, holdCalls)
			if end := awaitCall(t, ended); end.err == nil {
				t.Errorf("the call was answered with %d during the outage", end.status)
			}
		})
	}
}

// A node that gets a new address during an outage must not get that of another node, whose listener the outage has closed.
// This once happened, and one of the two addresses could not be reopened after the outage.
func TestListenAtUnusedAddress(t *testing.T) {
	var opened []net.Listener
	listen := func() (net.Listener, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		opened = append(opened, listener)
		return listener, err
	}
	listener, err := listenAtUnusedAddress(listen, func(addr string) bool { return addr == opened[0].Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if len(opened) != 2 || listener != opened[1] {
		t.Errorf("listens at a taken address after %d tries", len(opened))
	}
	if _, err := opened[0].Accept(); err == nil {
		t.Error("the listener at the taken address is still open")
	}
}
