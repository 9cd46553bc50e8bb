package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/settings"
)

// logBuffer collects the log of a node.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// lines returns the lines that contain a text.
func (l *logBuffer) lines(with string) (found []string) {
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, with) {
			found = append(found, line)
		}
	}
	return found
}

// withLog returns a function that makes a node log to out.
func withLog(out io.Writer) func(*Node) {
	return func(n *Node) {
		n.log = slog.New(slog.NewTextHandler(out, nil))
		n.engine.Log = n.log
	}
}

// startWithFeatures starts a node with features enabled and the backends in its bootstrap list. It also returns the node's
// log.
func startWithFeatures(t *testing.T, features settings.File, backends ...*backend) (*testNode, *logBuffer) {
	t.Helper()
	cfg, out := configWithBackends(t, backends...), &logBuffer{}
	cfg.Features = features
	return startNode(t, cfg, withLog(out)), out
}

// secret is the key that starts the fault injection in these tests.
const secret = "crush-pad-7"

// faultInjectionFeatures returns features with one fault injection that affects all requests of its class, modified by change.
func faultInjectionFeatures(change func(*settings.FaultInjection)) settings.File {
	d := settings.FaultInjection{Name: "stall", Secret: secret, Class: "unsafe", Percent: 100, Duration: 10 * time.Minute}
	change(&d)
	return settings.File{FaultInjections: []settings.FaultInjection{d}}
}

// postFaultInjection sends a request to start a fault injection, with the given keys, and returns the status.
func postFaultInjection(t *testing.T, url string, keys ...string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+faultinjection.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range keys {
		r.Header.Add(faultinjection.Header, k)
	}
	status, _, _ := sendRequest(t, r)
	return status
}

// With a fault injection on 10 percent of the requests, about 100 of 1,000 requests are affected and logged, and all 1,000 are
// answered.
func TestFaultInjectionPercent(t *testing.T) {
	n, out := startWithFeatures(t, faultInjectionFeatures(func(d *settings.FaultInjection) {
		d.Percent, d.Delay = 10, 20*time.Millisecond
	}), newBackend(t, respondOK))
	if status := postFaultInjection(t, n.url, secret); status != http.StatusOK {
		t.Fatalf("started with %d", status)
	}
	var wg sync.WaitGroup
	for caller := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 100 {
				r := newRequest(t, n.url, "unsafe", fmt.Sprintf("%d-%d", caller, i), "x")
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Errorf("not answered: %v", err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("answered %d", resp.StatusCode)
				}
			}
		}()
	}
	wg.Wait()
	affected := out.lines("msg=drilled")
	if len(affected) < 70 || len(affected) > 130 {
		t.Errorf("%d of 1000 were affected, want about 100", len(affected))
	}
	for _, line := range affected {
		if !strings.HasSuffix(line, " drill=stall\n") || !strings.Contains(line, " class=unsafe ") {
			t.Errorf("logged %q", line)
		}
	}
	n.stop()
	<-n.ended
	if want := fmt.Sprintf("hookwalk.drill.applied=%d ", len(affected)); len(out.lines(want)) == 0 {
		// in a slow run the counts may be split over two lines
		if len(out.lines("hookwalk.drill.applied=")) < 2 {
			t.Errorf("want %q in %v", want, out.lines("msg=counts"))
		}
	}
	if strings.Contains(out.String(), secret) {
		t.Error("the secret is in the log")
	}
}

// Only the secret from the settings file starts a fault injection. Otherwise any client could take the node out of service.
func TestOnlySecretStartsFaultInjection(t *testing.T) {
	b := newBackend(t, respondOK)
	unconfigured := startWithBackends(t, b)
	if status := postFaultInjection(t, unconfigured.url, secret); status != http.StatusNotFound {
		t.Errorf("without fault injections: %d", status)
	}
	if status := postFaultInjection(t, unconfigured.url); status != http.StatusBadRequest {
		t.Errorf("without fault injections and without a key, it is a request without an ID, but was answered %d", status)
	}
	withoutSecret, _ := startWithFeatures(t, faultInjectionFeatures(func(d *settings.FaultInjection) { d.Secret = "" }), b)
	for _, keys := range [][]string{nil, {""}, {secret}} {
		if status := postFaultInjection(t, withoutSecret.url, keys...); status != http.StatusNotFound {
			t.Errorf("without a secret, keys %q: %d", keys, status)
		}
	}
	n, out := startWithFeatures(t, faultInjectionFeatures(func(*settings.FaultInjection) {}), b)
	for _, keys := range [][]string{nil, {""}, {"crush-pad-"}, {secret + "7"}, {secret, secret}} {
		if status := postFaultInjection(t, n.url, keys...); status != http.StatusForbidden {
			t.Errorf("keys %q: %d", keys, status)
		}
	}
	if len(out.lines("drill started")) != 0 {
		t.Error("a wrong key started the fault injection")
	}
	for range 2 {
		if status := postFaultInjection(t, n.url, secret); status != http.StatusOK {
			t.Errorf("the right key: %d", status)
		}
	}
	// The engine's loop logs a start after accepting it, so the line may be written after the response.
	started := func() []string { return out.lines(`msg="drill started" drill=stall`) }
	eventually(t, "both starts are logged", func() bool { return len(started()) >= 2 })
	if got := started(); len(got) != 2 {
		t.Errorf("logged %q", got)
	}
	if b.requests() != 0 {
		t.Error("a request to start a fault injection was forwarded to a server")
	}
}

// An aborted request is answered at once with the configured status, and reaches no server.
func TestAbortedRequestsReachNoServer(t *testing.T) {
	for status, retryAfter := range map[int]string{503: "1.2", 500: ""} {
		b := newBackend(t, respondOK)
		n, out := startWithFeatures(t, faultInjectionFeatures(func(d *settings.FaultInjection) {
			d.AbortStatus, d.Delay = status, time.Hour
		}), b)
		postFaultInjection(t, n.url, secret)
		got, header, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "1", "x"))
		if got != status || header.Get("Retry-After") != retryAfter || b.requests() != 0 {
			t.Errorf("answered %d, Retry-After %q, %d attempts", got, header.Get("Retry-After"), b.requests())
		}
		if len(out.lines("id=1 class=unsafe drill=stall")) != 1 {
			t.Errorf("logged %s", out)
		}
		if got, _, _ := sendRequest(t, newRequest(t, n.url, "keyed", "2", "x")); got != http.StatusOK {
			t.Errorf("a request of another class was answered %d", got)
		}
	}
}

// A delayed request ends like any other: it is dropped when its client leaves, and served at once when the node shuts down.
func TestDelayedRequestIsCanceledOrServedAtShutdown(t *testing.T) {
	b := newBackend(t, respondOK)
	n, out := startWithFeatures(t, faultInjectionFeatures(func(d *settings.FaultInjection) { d.Delay = time.Hour }), b)
	postFaultInjection(t, n.url, secret)
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "leaves", "x").WithContext(ctx))
	}()
	eventually(t, "the request is delayed", func() bool { return len(out.lines("id=leaves class=unsafe drill=stall")) == 1 })
	leave()
	<-left
	eventually(t, "the request ID is free", func() bool { // until then the answer is 409
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "leaves", "x").WithContext(ctx))
		return err != nil && len(out.lines("id=leaves class=unsafe drill=stall")) == 2
	})
	held := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "held", "x"))
		held <- status
	}()
	eventually(t, "the request is delayed", func() bool { return len(out.lines("id=held")) == 1 })
	if b.requests() != 0 {
		t.Error("a delayed request was forwarded before its delay was over")
	}
	n.stop()
	if status := <-held; status != http.StatusOK {
		t.Errorf("at shutdown the delayed request was answered %d", status)
	}
	if err := <-n.ended; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}

// The key is a secret, so it is not forwarded to servers.
func TestFaultInjectionKeyIsNotForwarded(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	r := newRequest(t, n.url, "unsafe", "1", "x")
	r.Header.Set(faultinjection.Header, secret)
	if status, _, _ := sendRequest(t, r); status != http.StatusOK || b.received[0].Header.Get(faultinjection.Header) != "" {
		t.Errorf("answered %d, the server got %v", status, b.received[0].Header)
	}
}

// A node that shuts down starts no fault injection.
func TestNoFaultInjectionDuringShutdown(t *testing.T) {
	h := &ingressHandler{
		faultKeys: faultinjection.NewKeys(faultInjectionFeatures(func(*settings.FaultInjection) {}).FaultInjections),

		responsesCloseConnections: func() bool { return false },
		shuttingDown:              func() bool { return true },
	}
	r, w := httptest.NewRequest(http.MethodPost, faultinjection.Path, nil), httptest.NewRecorder()
	r.Header.Set(faultinjection.Header, secret)
	if h.startFaultInjection(w, r, netip.Addr{}); w.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d", w.Code)
	}
}

// A misspelled class makes the node fail at startup, with the position in the settings file, rather than when an operator
// starts the fault injection.
func TestFaultInjectionOfUnknownClass(t *testing.T) {
	cfg := testConfig(t, "pushed")
	cfg.Features = faultInjectionFeatures(func(d *settings.FaultInjection) { d.Class, d.Pos = "new", "a.hcl:3" })
	if _, err := New(cfg, discardLogger()); err == nil || !strings.Contains(err.Error(), `a.hcl:3: drill stall: class "new"`) {
		t.Errorf("got error %v", err)
	}
}

// A request to start a fault injection is answered even if its body does not arrive completely. Its connection is closed.
func TestFaultInjectionStartWithBody(t *testing.T) {
	n, _ := startWithFeatures(t, faultInjectionFeatures(func(*settings.FaultInjection) {}), newBackend(t, respondOK))
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /drills HTTP/1.1\r\nHost: n\r\nX-Drill-Key: %s\r\nContent-Length: 1000\r\n\r\nhalf", secret)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
		t.Errorf("answered %q, %v", got, err)
	}
}
