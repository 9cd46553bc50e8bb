package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// A request reaches a server unchanged except for hop-by-hop headers and its budget, and the response reaches the client.
func TestRequestIsServed(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	r := newRequest(t, n.url, "keyed", "id-1", "payload")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	if status, _, body := sendRequest(t, r); status != http.StatusOK || body != "done" {
		t.Fatalf("got %d %q", status, body)
	}
	got := b.received[0]
	if got.RequestURI != "/api/x%2Fy?q=1&r=%20" || b.bodies[0] != "payload" || got.Header.Get("X-Call-Id") != "id-1" ||
		got.Header.Get("Idempotency-Key") != "k-id-1" || got.Header.Get("X-Hop") != "" {
		t.Errorf("the server got %s %q %v", got.RequestURI, b.bodies[0], got.Header)
	}
	if left, err := parseBudget(got.Header.Get("X-Budget")); err != nil || left > 30*time.Second {
		t.Errorf("X-Budget %v, %v", left, err)
	}
}

// A malformed request gets a 4xx and reaches no server.
func TestMalformedRequests(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	for name, mutate := range map[string]func(*http.Request){
		"no id":                   func(r *http.Request) { r.Header.Del("X-Call-Id") },
		"ID of 9 KB":              func(r *http.Request) { r.Header.Set("X-Call-Id", strings.Repeat("x", 9000)) },
		"no class":                func(r *http.Request) { r.Header.Del("X-Call-Class") },
		"no budget":               func(r *http.Request) { r.Header.Del("X-Budget") },
		"no unit":                 func(r *http.Request) { r.Header.Set("X-Budget", "480") },
		"unknown unit":            func(r *http.Request) { r.Header.Set("X-Budget", "480s") },
		"no number":               func(r *http.Request) { r.Header.Set("X-Budget", "m") },
		"not a number":            func(r *http.Request) { r.Header.Set("X-Budget", "nanm") },
		"negative":                func(r *http.Request) { r.Header.Set("X-Budget", "-1m") },
		"zero budget":             func(r *http.Request) { r.Header.Set("X-Budget", "0m") },
		"exponent":                func(r *http.Request) { r.Header.Set("X-Budget", "1e3m") },
		"hexadecimal":             func(r *http.Request) { r.Header.Set("X-Budget", "0x1fm") },
		"unknown class":           func(r *http.Request) { r.Header.Set("X-Call-Class", "new") },
		"two ids":                 func(r *http.Request) { r.Header.Add("X-Call-Id", "other") },
		"two budgets":             func(r *http.Request) { r.Header.Add("X-Budget", "500m") },
		"keyed class without key": func(r *http.Request) { r.Header.Del("Idempotency-Key") },
		"unsafe class with key":   func(r *http.Request) { r.Header.Set("X-Call-Class", "unsafe") },
		"GET":                     func(r *http.Request) { r.Method = http.MethodGet },
		"chunked GET":             func(r *http.Request) { r.Method, r.ContentLength = http.MethodGet, -1 },
		"endless":                 func(r *http.Request) { r.Header.Set("X-Budget", "1e300m") },
		"method":                  func(r *http.Request) { r.Method = http.MethodDelete },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, n.url, "keyed", "id-"+name, "payload")
			mutate(r)
			if status, _, _ := sendRequest(t, r); status < 400 || status > 499 {
				t.Errorf("answered %d", status)
			}
		})
	}
	if n := b.requests(); n != 0 {
		t.Errorf("%d malformed requests reached a server", n)
	}
}

// exchange writes raw bytes and returns all that comes back until the node closes the connection.
func exchange(t *testing.T, n *testNode, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text) // may fail: the node may close the connection before it has read everything
	got, err := io.ReadAll(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the node left the connection open after %q", got)
	}
	return string(got)
}

// Request smuggling: with two lengths, or lines that end in LF alone, a proxy and the node could see different requests in
// the same bytes, and a server could receive a part of a client's body as a request. Any request whose end is ambiguous
// gets one 4xx or 5xx and a close, and the bytes that follow it on its connection are never read.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	request := func(id, version, framing string) string {
		return "POST /api HTTP/" + version + "\r\nHost: h\r\nX-Call-Id: " + id + "\r\nX-Call-Class: unsafe\r\n" +
			"X-Budget: 30000m\r\n" + framing + "\r\n\r\n"
	}
	inner := request("inner", "1.1", "Content-Length: 0")
	both := fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked", 5+len(inner))
	for name, text := range map[string]string{
		"both":                    request("1", "1.1", both) + "0\r\n\r\n" + inner,
		"both, 1.0":               request("2", "1.0", "Connection: keep-alive\r\n"+both) + "0\r\n\r\n" + inner,
		"coding, 1.0":             request("2", "1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked") + "0\r\n\r\n" + inner,
		"coding, 0.1":             request("2", "0.1", "Connection: keep-alive\r\nTransfer-Encoding: chunked") + "0\r\n\r\n" + inner,
		"both, coding first":      request("3", "1.1", "Transfer-Encoding: chunked\r\nContent-Length: 0") + "0\r\n\r\n" + inner,
		"both, with extra spaces": request("3", "1.1", "Transfer-Encoding:  chunked\r\ncontent-LENGTH:\t 5 ") + "0\r\n\r\n" + inner,
		"bare LF":                 strings.Replace(request("3", "1.1", "Content-Length: 0"), "h\r\n", "h\n", 1) + inner,
		"bare LF at the end":      strings.TrimSuffix(request("3", "1.1", "Content-Length: 0"), "\r\n") + "\n" + inner,
		"CR within a line":        request("3", "1.1", "X: a\rContent-Length: 5\r\nContent-Length: 0") + inner,
		"folded length":           request("3", "1.1", "Content-Length:\r\n 5") + inner,
		"folded coding":           request("3", "1.1", "Transfer-Encoding:\r\n chunked") + "0\r\n\r\n" + inner,
		"two codings":             request("3", "1.1", "Transfer-Encoding: gzip, chunked") + "0\r\n\r\n" + inner,
		"chunk without a size":    request("3", "1.1", "Transfer-Encoding: chunked") + "x\r\n\r\n" + inner,
		"identity":                request("4", "1.1", "Transfer-Encoding: identity") + inner,
		"negative":                request("5", "1.1", "Content-Length: -1") + inner,
		"signed":                  request("6", "1.1", "Content-Length: +0") + inner,
		"two":                     request("7", "1.1", "Content-Length: 0\r\nContent-Length: 5") + inner,
		"list of lengths":         request("8", "1.1", "Content-Length: 0, 0") + inner,
		"huge":                    request("9", "1.1", "Content-Length: 99999999999999999999") + inner,
		"90 MB":                   request("10", "1.1", "Content-Length: 90000000") + inner,
		"TLS handshake":           "\x16\x03\x01\x02\x00\x01\r\n\r\n" + inner,
		"long head":               request("11", "1.1", "X-Long: "+strings.Repeat("x", 40<<10)) + inner,
	} {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, n, text)
			if strings.Count(got, "HTTP/1.1 ") > 1 || got != "" && got[9] != '4' && got[9] != '5' {
				t.Errorf("answered %q", got)
			}
		})
	}
	if n := b.requests(); n != 0 {
		t.Errorf("%d ambiguous requests reached a server", n)
	}
}

// A request that the balancer gives up on is answered at once, long before its deadline. A rejection has a Retry-After; a
// failure, after which the request may have run, has none.
func TestRejectionAndFailureResponses(t *testing.T) {
	rejecting := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
	})
	failing := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "500 Internal Server Error", "")
	})
	begin := time.Now()
	status, header, _ := sendRequest(t, newRequest(t, startWithBackends(t, rejecting).url, "unsafe", "1", "x"))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "1.2" {
		t.Errorf("rejected with %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	status, header, _ = sendRequest(t, newRequest(t, startWithBackends(t, failing).url, "unsafe", "1", "x"))
	if status != http.StatusBadGateway || header.Get("Retry-After") != "" {
		t.Errorf("failed with %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if took := time.Since(begin); took > 15*time.Second { // each request has a budget of 30 s
		t.Errorf("answered after %v", took)
	}
}

// The balancer identifies a request by its ID. A second open request with the same ID would never be answered, so it is
// rejected with 409.
func TestDuplicateIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	n := startWithBackends(t, b)
	first := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "1", "x"))
		first <- status
	}()
	eventually(t, "the first request has reached the server", func() bool { return b.requests() == 1 })
	if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusConflict {
		t.Errorf("answered %d, want 409", status)
	}
	close(release)
	select {
	case status := <-first:
		if status != http.StatusOK {
			t.Errorf("the first request was answered %d", status)
		}
	case <-time.After(20 * time.Second):
		t.Error("the first request was not answered")
	}
}

// A client leaves while its request is at a server, and comes again with the same ID. A request that must not run twice is answered
// with 409, during the attempt and after it, and runs once. Other requests are not affected: the ID of a request that may run
// again becomes free.
func TestRequestOfGoneClientRunsOnce(t *testing.T) {
	for class, wantRuns := range map[string]int{"unsafe": 1, "keyed": 2} {
		t.Run(class, func(t *testing.T) {
			release := make(chan struct{})
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				<-release
				return respond(c, "200 OK", "done")
			})
			n := startWithBackends(t, b)
			ctx, leave := context.WithCancel(context.Background())
			left := make(chan error, 1)
			go func() {
				_, err := http.DefaultClient.Do(newRequest(t, n.url, class, "1", "x").WithContext(ctx))
				left <- err
			}()
			eventually(t, "the request has reached the server", func() bool { return b.requests() == 1 })
			leave()
			if err := <-left; err == nil {
				t.Fatal("the request was answered, although its client left")
			}
			if status, _, _ := sendRequest(t, newRequest(t, n.url, class, "1", "x")); status != http.StatusConflict {
				t.Errorf("during the attempt, the ID was answered with %d", status)
			}
			close(release)
			eventually(t, "the attempt has ended", func() bool {
				status, _, _ := sendRequest(t, newRequest(t, n.url, class, "1", "x"))
				return wantRuns == 1 && n.openRequests() == 0 || status == http.StatusOK
			})
			if wantRuns == 1 {
				if status, _, _ := sendRequest(t, newRequest(t, n.url, class, "1", "x")); status != http.StatusConflict {
					t.Errorf("after the attempt, the ID was answered with %d", status)
				}
			}
			if status, _, _ := sendRequest(t, newRequest(t, n.url, class, "2", "x")); status != http.StatusOK {
				t.Errorf("another request was answered with %d", status)
			}
			if got := b.requests() - 1; got != wantRuns {
				t.Errorf("the request ran %d times, want %d", got, wantRuns)
			}
		})
	}
}
