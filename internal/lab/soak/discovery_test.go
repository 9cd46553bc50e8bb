package soak

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// newTestDiscovery lists one server and serves one node at the address that is returned.
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

// callResult is how a call of discovery ended.
type callResult struct {
	status int
	err    error
}

// startCall begins a startCall for the complete list.
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

// awaitCall returns how a call ended.
func awaitCall(t *testing.T, ended <-chan callResult) callResult {
	t.Helper()
	select {
	case end := <-ended:
		return end
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on")
		return callResult{}
	}
}

// A discovery that was down and is back was seen by no node whose call it still held: it rejected that call.
func TestHeldCallContinuesWhenTheOutageEnds(t *testing.T) {
	d, addr := newTestDiscovery(t)
	d.setOutage(true, true)
	ended := startCall(t, addr)
	select {
	case end := <-ended:
		t.Fatalf("ended with %v in the outage", end)
	case <-time.After(maxQueueTime / 4):
	}
	d.setOutage(false, true)
	if end := awaitCall(t, ended); end.status != http.StatusOK {
		t.Errorf("ended with %v, want the list", end)
	}
}

// A call that an outage holds until its end is rejected.
func TestHeldCallIsRejectedAfterMaxQueueTime(t *testing.T) {
	d, addr := newTestDiscovery(t)
	d.setOutage(true, true)
	began := time.Now()
	if end := awaitCall(t, startCall(t, addr)); end.status != http.StatusServiceUnavailable {
		t.Errorf("ended with %v, want a rejection", end)
	}
	if took := time.Since(began); took < maxQueueTime {
		t.Errorf("rejected after %v, want %v", took, maxQueueTime)
	}
}

// A discovery that goes down handles no call any more that waits for its turn: it once did, in the outage.
func TestWaitingCallIsResetWhenAnOutageBegins(t *testing.T) {
	for name, holdCalls := range map[string]bool{"calls held": true, "connections refused": false} {
		t.Run(name, func(t *testing.T) {
			d, addr := newTestDiscovery(t)
			d.faults.begin(Fault{Kind: DiscoverySlow, Wait: time.Second})
			ended := startCall(t, addr)
			select {
			case end := <-ended:
				t.Fatalf("ended with %v, which should take its time", end)
			case <-time.After(200 * time.Millisecond):
			}
			d.setOutage(true, holdCalls)
			if end := awaitCall(t, ended); end.err == nil {
				t.Errorf("answered with %d in the outage", end.status)
			}
		})
	}
}

// A node that got a new address in an outage was once given that of another node, whose listener the outage had closed: one of
// the two could not listen when the outage was over.
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
		t.Errorf("listens at the address of another, after %d tries", len(opened))
	}
	if _, err := opened[0].Accept(); err == nil {
		t.Error("the address of another is still listened at")
	}
}
