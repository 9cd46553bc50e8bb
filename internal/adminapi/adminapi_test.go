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

// fakeNode is a node that notes what is asked of it.
type fakeNode struct {
	sites any
	mu    sync.Mutex
	asked []string
	err   error
}

func (f *fakeNode) Sites() any { return f.sites }

func (f *fakeNode) note(format string, args ...any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, fmt.Sprintf(format, args...))
	return f.err
}

func (f *fakeNode) CheckReady() error { return f.note("ready") }
func (f *fakeNode) SetServerDisabled(_ context.Context, id string, out bool) error {
	if id == "nobody" {
		return balancer.ErrUnknownServer
	}
	return f.note("%s %v", id, out)
}
func (f *fakeNode) SetInService(_ context.Context, in bool) error { return f.note("in service %v", in) }

func serving(t *testing.T, f *fakeNode) (addr string, s *Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = New(ln, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
	done := make(chan error)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), s
}

// call writes a text on a connection of its own and reads the answer, or nil if there is none.
func call(t *testing.T, addr, text string) *http.Response {
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

func TestCalls(t *testing.T) {
	f := &fakeNode{}
	addr, _ := serving(t, f)
	get := func(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }
	for _, c := range []struct {
		text   string
		status int
		asked  string
	}{
		{get("GET", "/control/ready"), 200, "ready"},
		{get("POST", "/control/out-of-service"), 200, "in service false"},
		{get("POST", "/control/in-service"), 200, "in service true"},
		{get("POST", "/control/servers/s-1/offline"), 200, "s-1 true"},
		{get("POST", "/control/servers/s-1/online"), 200, "s-1 false"},
		{get("POST", "/control/servers/a%2Fb%20c/offline"), 200, "a/b c true"},
		{"POST /control/servers/s-1/online HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, "s-1 false"},
		{get("POST", "/control/servers/nobody/offline"), 404, ""},
		{get("POST", "/control/servers//offline"), 404, ""},
		{get("POST", "/control/servers/s-1/"), 404, ""},
		{get("POST", "/control/servers/s-1/online/x"), 404, ""},
		{get("POST", "/control/servers/%zz/online"), 400, ""},
		{get("POST", "//control/ready"), 404, ""},
		{get("POST", "/control/ready"), 405, ""},
		{get("GET", "/control/in-service"), 405, ""},
		{get("GET", "/ready"), 404, ""},
		{get("GET", "/control/ready?"+strings.Repeat("x", 2*maxHead)), 431, ""},
		{"what is this\r\n\r\n", 400, ""},
	} {
		f.asked = nil
		resp := call(t, addr, c.text)
		if resp == nil || resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%.60q: %v, want %d and the end of the connection", c.text, resp, c.status)
			continue
		}
		if allow := resp.Header.Get("Allow"); (allow != "") != (c.status == 405) {
			t.Errorf("%.60q: Allow %q", c.text, allow)
		}
		f.mu.Lock()
		if got := strings.Join(f.asked, ","); got != c.asked {
			t.Errorf("%.60q: asked %q, want %q", c.text, got, c.asked)
		}
		f.mu.Unlock()
	}
	f.err = errors.New("not now")
	if resp := call(t, addr, get("POST", "/control/in-service")); resp == nil || resp.StatusCode != 503 {
		t.Errorf("a call that can't be followed: %v", resp)
	}
}

// Callers that hold connections without a whole call keep nobody out, however many they are; the oldest of them go,
// and each by itself at the latest when its time is over.
func TestHeldConnectionsKeepNobodyOut(t *testing.T) {
	addr, _ := serving(t, &fakeNode{})
	began := time.Now()
	var held []net.Conn
	for i := range 4 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /control/ready HTTP/1.1\r\n"[:i%20])
		held = append(held, c)
		if i%8 == 0 {
			if resp := call(t, addr, "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp == nil || resp.StatusCode != 200 {
				t.Fatalf("with %d held: %v", i+1, resp)
			}
		}
	}
	for _, c := range held {
		c.SetReadDeadline(began.Add(30 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) {
			t.Fatal("a connection without a call was never closed")
		}
	}
}

// Whatever comes as a path names one call or none, and a server's id comes back as it was escaped.
func FuzzRoute(f *testing.F) {
	for _, p := range []string{"/control/ready", "/control/servers/s-1/offline", "/control/servers/%2F/online", "/", ""} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, path string) {
		n := &fakeNode{}
		method, act := (&Server{node: n}).route(path)
		if (act == nil) != (method == "") {
			t.Fatalf("%q: method %q", path, method)
		}
		if act == nil {
			return
		}
		if act(t.Context()); len(n.asked) > 1 || !slices.Contains([]string{"GET", "POST"}, method) {
			t.Fatalf("%q asked %v", path, n.asked)
		}
	})
}

// A caller that leaves at once has its wish all the same.
func TestCallerThatLeft(t *testing.T) {
	f := &fakeNode{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	(&Server{node: f, log: slog.New(slog.NewTextHandler(io.Discard, nil))}).ServeHTTP(httptest.NewRecorder(),
		httptest.NewRequest("POST", "/control/in-service", nil).WithContext(ctx))
	if len(f.asked) != 1 {
		t.Error("nothing was asked of the node")
	}
}
