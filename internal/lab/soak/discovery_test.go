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

// called is how a call of discovery ended.
type called struct {
	status int
	err    error
}

// call begins a call for the complete list.
func call(t *testing.T, addr string) <-chan called {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints", nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan called, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			ended <- called{err: err}
			return
		}
		resp.Body.Close()
		ended <- called{status: resp.StatusCode}
	}()
	return ended
}

// wait returns how a call ended.
func wait(t *testing.T, ended <-chan called) called {
	t.Helper()
	select {
	case end := <-ended:
		return end
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on")
		return called{}
	}
}

// A discovery that was down and is back was seen by no node whose call it still held: it rejected that call.
func TestHeldCallGoesOnAsTheOutageEnds(t *testing.T) {
	d, addr := newTestDiscovery(t)
	d.setOutage(true, true)
	ended := call(t, addr)
	select {
	case end := <-ended:
		t.Fatalf("ended with %v in the outage", end)
	case <-time.After(maxQueueTime / 4):
	}
	d.setOutage(false, true)
	if end := wait(t, ended); end.status != http.StatusOK {
		t.Errorf("ended with %v, want the list", end)
	}
}

// A call that an outage holds until its end is rejected.
func TestHeldCallIsRejected(t *testing.T) {
	d, addr := newTestDiscovery(t)
	d.setOutage(true, true)
	began := time.Now()
	if end := wait(t, call(t, addr)); end.status != http.StatusServiceUnavailable {
		t.Errorf("ended with %v, want a rejection", end)
	}
	if took := time.Since(began); took < maxQueueTime {
		t.Errorf("rejected after %v, want %v", took, maxQueueTime)
	}
}

// A discovery that goes down handles no call any more that waits for its turn: it once did, in the outage.
func TestWaitingCallIsResetAsAnOutageBegins(t *testing.T) {
	for name, holdCalls := range map[string]bool{"calls held": true, "connections refused": false} {
		t.Run(name, func(t *testing.T) {
			d, addr := newTestDiscovery(t)
			d.faults.begin(Fault{Kind: DiscoverySlow, Wait: time.Second})
			ended := call(t, addr)
			select {
			case end := <-ended:
				t.Fatalf("ended with %v, which should take its time", end)
			case <-time.After(200 * time.Millisecond):
			}
			d.setOutage(true, holdCalls)
			if end := wait(t, ended); end.err == nil {
				t.Errorf("answered with %d in the outage", end.status)
			}
		})
	}
}

// A node that got a new address in an outage was once given that of another node, whose listener the outage had closed: one of
// the two could not listen when the outage was over.
func TestListenApart(t *testing.T) {
	var opened []net.Listener
	listen := func() (net.Listener, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		opened = append(opened, listener)
		return listener, err
	}
	listener, err := listenApart(listen, func(addr string) bool { return addr == opened[0].Addr().String() })
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
