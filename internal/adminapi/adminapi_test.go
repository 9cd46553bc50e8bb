package adminapi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// fakeNode is a Node that records calls and returns err from all of them.
type fakeNode struct {
	sites any
	mu    sync.Mutex
	calls []string
	err   error
}

func (f *fakeNode) Peers() any { return f.sites }

func (f *fakeNode) record(format string, args ...any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
	return f.err
}

func (f *fakeNode) CheckReady() error { return f.record("ready") }
func (f *fakeNode) SetServerDisabled(_ context.Context, server string, disabled bool) error {
	if server == "nobody" {
		return balancer.ErrUnknownServer
	}
	return f.record("%s %v", server, disabled)
}
func (f *fakeNode) SetInService(_ context.Context, inService bool) error {
	return f.record("in service %v", inService)
}

// startServer runs a Server until the test ends, and returns its address.
func startServer(t *testing.T, node *fakeNode) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(ln, node, slog.New(slog.DiscardHandler))
	done := make(chan error)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// send writes text to a new connection and returns the response, or nil if there is none.
func send(t *testing.T, addr, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	return resp
}

// Each case has the text that a caller sends, the expected status, and the expected call to the node. Only a valid path with
// the right method may result in a call.
func TestCallsAndResponses(t *testing.T) {
	f := &fakeNode{}
	addr := startServer(t, f)
	request := func(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }
	for _, c := range []struct {
		text   string
		status int
		call   string
	}{
		{request("GET", "/control/ready"), 200, "ready"},
		{request("POST", "/control/out-of-service"), 200, "in service false"},
		{request("POST", "/control/in-service"), 200, "in service true"},
		{request("POST", "/control/servers/s-1/offline"), 200, "s-1 true"},
		{request("POST", "/control/servers/s-1/online"), 200, "s-1 false"},
		{request("POST", "/control/servers/a%2Fb%20c/offline"), 200, "a/b c true"},
		{"POST /control/servers/s-1/online HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, "s-1 false"},
		{request("POST", "/control/servers/nobody/offline"), 404, ""},
		{request("POST", "/control/servers//offline"), 404, ""},
		{request("POST", "/control/servers/s-1/"), 404, ""},
		{request("POST", "/control/servers/s-1/online/x"), 404, ""},
		{request("POST", "/control/servers/%zz/online"), 400, ""},
		{request("POST", "//control/ready"), 404, ""},
		{request("POST", "/control/ready"), 405, ""},
		{request("GET", "/control/in-service"), 405, ""},
		{request("GET", "/ready"), 404, ""},
		{request("GET", "/control/ready?"+strings.Repeat("x", 2*maxHeaderBytes)), 431, ""},
		{"what is this\r\n\r\n", 400, ""},
	} {
		f.calls = nil
		resp := send(t, addr, c.text)
		if resp == nil || resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%.60q: got response %v, want status %d and Connection: close", c.text, resp, c.status)
			continue
		}
		if allow := resp.Header.Get("Allow"); (allow != "") != (c.status == 405) {
			t.Errorf("%.60q: Allow %q", c.text, allow)
		}
		f.mu.Lock()
		if got := strings.Join(f.calls, ","); got != c.call {
			t.Errorf("%.60q: got calls %q, want %q", c.text, got, c.call)
		}
		f.mu.Unlock()
	}
	f.err = errors.New("not now")
	if resp := send(t, addr, request("POST", "/control/in-service")); resp == nil || resp.StatusCode != 503 {
		t.Errorf("a call that failed at the node: got response %v, want status 503", resp)
	}
}

// Somebody opens many connections and never sends a complete request on them. Operators must still be served: the oldest of
// these connections are closed to make room, and the others are closed after requestTimeout.
func TestIncompleteRequestsDoNotBlockOperators(t *testing.T) {
	addr := startServer(t, &fakeNode{})
	began := time.Now()
	var incomplete []net.Conn
	for i := range 4 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /control/ready HTTP/1.1\r\n"[:i%20])
		incomplete = append(incomplete, c)
		if i%8 == 0 {
			if resp := send(t, addr, "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp == nil || resp.StatusCode != 200 {
				t.Fatalf("with %d incomplete requests: got response %v, want status 200", i+1, resp)
			}
		}
	}
	for _, c := range incomplete {
		c.SetReadDeadline(began.Add(30 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) {
			t.Fatal("a connection without a request was never closed")
		}
	}
}

// Any path corresponds to at most one call, which calls the node at most once.
func FuzzRoute(f *testing.F) {
	for _, p := range []string{"/control/ready", "/control/servers/s-1/offline", "/control/servers/%2F/online", "/", ""} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, path string) {
		node := &fakeNode{}
		method, call := (&Server{node: node}).route(path)
		if (call == nil) != (method == "") {
			t.Fatalf("%q: got method %q and call %v", path, method, call != nil)
		}
		if call == nil {
			return
		}
		if call(t.Context()); len(node.calls) > 1 || !slices.Contains([]string{"GET", "POST"}, method) {
			t.Fatalf("%q: got method %q and calls %v", path, method, node.calls)
		}
	})
}

// A caller disconnects before the response. The call must still be carried out.
func TestCallCompletesAfterCallerDisconnects(t *testing.T) {
	f := &fakeNode{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	(&Server{node: f, log: slog.New(slog.DiscardHandler)}).ServeHTTP(httptest.NewRecorder(),
		httptest.NewRequest("POST", "/control/in-service", nil).WithContext(ctx))
	if len(f.calls) != 1 {
		t.Error("the node was not called")
	}
}
