package node

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/invariants"
)

// pattern returns a text of n bytes without repeated parts, so that lost or reordered bytes are detected.
func pattern(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%08x", i*2654435761)
	}
	return b.String()[:n]
}

// hash returns the SHA-256 of a text in hexadecimal.
func hash(s string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(s))) }

// Bodies of any size and framing reach a server unchanged and once, whether they are buffered or streamed.
func TestBodiesOfAnySize(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	for i, size := range []int{1, maxBuffered - 1, maxBuffered, maxBuffered + 1, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			want := pattern(size)
			r := newRequest(t, n.url, "unsafe", fmt.Sprint(i, chunked), want)
			if chunked {
				r.ContentLength = -1
			}
			r.Header.Set("Expect", "100-continue")
			if got, _, _ := sendRequest(t, r); got != http.StatusOK {
				t.Errorf("%d bytes, chunked %v: answered %d", size, chunked, got)
				continue
			}
			b.mu.Lock()
			if last := b.bodies[len(b.bodies)-1]; hash(last) != hash(want) {
				t.Errorf("%d bytes, chunked %v: the server got %d bytes that differ", size, chunked, len(last))
			}
			b.mu.Unlock()
		}
	}
	if got := b.requests(); got != 10 {
		t.Errorf("the server got %d requests", got)
	}
}

// The node does not rely on the end of a chunked body to find the next request. It closes the connection after the response,
// and never reads the bytes that follow the body, which could be a smuggled request.
func TestConnectionClosesAfterChunkedBody(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	request := func(id, framing string) string {
		return "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: " + id + "\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\n" +
			framing + "\r\n\r\n"
	}
	got := exchange(t, n, request("1", "Transfer-Encoding: chunked")+"2;x=y\r\nhi\r\n0\r\nTrailer: t\r\n\r\n"+request("2", "Content-Length: 0"))
	if strings.Count(got, "HTTP/1.1 200") != 1 || b.requests() != 1 {
		t.Errorf("answered %q, %d requests ran", got, b.requests())
	}
}

// largeResponse returns a handler that responds with a text. framing is "length", "chunked" or "end" (the response ends with
// the connection). If hold is not nil, the second half is sent after hold is closed.
func largeResponse(framing, want string, hold <-chan struct{}) func(int, net.Conn, *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		halves := []string{want[:len(want)/2], want[len(want)/2:]}
		head := "HTTP/1.1 200 OK\r\n"
		switch framing {
		case "length":
			head += fmt.Sprintf("Content-Length: %d\r\n", len(want))
		case "chunked":
			head += "Transfer-Encoding: chunked\r\n"
			for i, h := range halves {
				halves[i] = fmt.Sprintf("%x\r\n%s\r\n", len(h), h)
			}
			halves[1] += "0\r\n\r\n"
		}
		io.WriteString(c, head+"\r\n"+halves[0])
		if hold != nil {
			<-hold
		}
		io.WriteString(c, halves[1])
		return framing != "end"
	}
}

// Responses of any size and framing reach the client unchanged. The first bytes of a large response reach it before the
// server has sent the last.
func TestResponsesOfAnySize(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "end"} {
		for _, size := range []int{2, maxBuffered, maxBuffered + 1, 4 << 20} {
			t.Run(fmt.Sprint(framing, size), func(t *testing.T) {
				want := pattern(size)
				var hold chan struct{}
				if size > 4*maxBuffered {
					hold = make(chan struct{})
				}
				n := startWithBackends(t, newBackend(t, largeResponse(framing, want, hold)))
				for i := range 2 {
					resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x"))
					if err != nil {
						t.Fatal(err)
					}
					first := make([]byte, 1)
					if _, err := io.ReadFull(resp.Body, first); err != nil {
						t.Fatal(err)
					}
					if hold != nil && i == 0 {
						close(hold)
					}
					rest, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if err != nil || hash(string(first)+string(rest)) != hash(want) {
						t.Errorf("got %d bytes, %v", 1+len(rest), err)
					}
				}
			})
		}
	}
}

// A server truncates a large response. The client must be able to detect this: its connection ends before the response is
// complete. The request is not retried, and the connection is not used again.
func TestTruncatedResponses(t *testing.T) {
	for _, framing := range []string{"length", "chunked"} {
		t.Run(framing, func(t *testing.T) {
			b := newBackend(t, func(n int, c net.Conn, r *http.Request) bool {
				if n > 1 {
					return respondOK(n, c, r)
				}
				want := pattern(1 << 20)
				if framing == "length" {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(want), want)
				} else {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(want), want)
				}
				return false
			})
			n := startWithBackends(t, b)
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Error("the client can't detect that the response is truncated")
			}
			resp.Body.Close()
			if got, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "2", "x")); got != http.StatusOK || b.requests() != 2 {
				t.Errorf("the next request was answered %d; %d requests ran", got, b.requests())
			}
		})
	}
}

// A streamed body is not stored, so it can't be sent again after a part of it has been read from the client. Before that, the
// request can be retried. After that, it is rejected with a Retry-After, because it did not run.
func TestStreamedBodyIsSentOnce(t *testing.T) {
	var attempts atomic.Int64
	rejecting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer rejecting.Close()
	go func() {
		for {
			c, err := rejecting.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				io.CopyN(io.Discard, br, 200_000) // more than the buffered part
				attempts.Add(1)
				respond(c, "503 Service Unavailable", "", "X-Rejected: 1", "Connection: close")
			}()
		}
	}()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	startWithEndpoints := func(hosts ...discoveryapi.Endpoint) *testNode {
		cfg := testConfig(t, "pushed", hosts...)
		cfg.Discovery = silentDiscovery(t)
		return startNode(t, cfg)
	}
	n := startWithEndpoints(inServiceEndpoint("s-0", rejecting.Addr().String()), inServiceEndpoint("s-1", rejecting.Addr().String()))
	status, header, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "1", pattern(8<<20)))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || attempts.Load() != 1 {
		t.Errorf("answered %d, %v; %d attempts", status, header, attempts.Load())
	}
	b := newBackend(t, respondOK)
	n = startWithEndpoints(inServiceEndpoint("s-0", closed.Addr().String()), inServiceEndpoint("s-1", b.addr()))
	for i := range 4 {
		if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), pattern(1<<20))); status != http.StatusOK {
			t.Errorf("with one server unreachable, a request was answered %d", status)
		}
	}
}

// A client does not send the rest of its body. It gets an error and a close, and no server gets a complete request. A server
// that got the announced number of bytes would run a partial request.
func TestStalledBody(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	for name, framing := range map[string]string{"length": "Content-Length: 300000\r\n\r\n" + pattern(200_000),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + pattern(200_000)} {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, n, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: "+name+
				"\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\n"+framing)
			if !strings.HasPrefix(got, "HTTP/1.1 400 ") {
				t.Errorf("answered %.60q", got)
			}
		})
	}
	if got := b.requests(); got != 0 {
		t.Errorf("%d complete requests reached the server", got)
	}
}

// A server hangs in the middle of a streamed body whose last byte the node's machine already has. The client's time runs from
// that byte, which the node has not read: a failed write to the server must not take longer than the client waits.
func TestServerHangsDuringStreamedBody(t *testing.T) {
	const budget = time.Second
	hung := listenWithSmallBuffers(t) // accepts no connection, so that the kernel's buffers fill
	cfg := testConfig(t, "pushed", inServiceEndpoint("s-0", hung.Addr().String()))
	cfg.Discovery = silentDiscovery(t)
	n := startNode(t, cfg, func(n *Node) {
		n.pool.dialer.Control = setSocketBuffers(smallSocketBuffer, func() time.Duration { return 0 })
	})
	for name, framing := range map[string]func(string) string{
		"length": func(body string) string {
			return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		},
		"chunked": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Now()
			got := exchange(t, n, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: "+name+"\r\nX-Call-Class: unsafe\r\n"+
				fmt.Sprintf("X-Budget: %dm\r\n", budget.Milliseconds())+framing(pattern(maxBuffered+50_000)))
			if took := time.Since(begin); took > budget+invariants.AnswerSlack || !strings.HasPrefix(got, "HTTP/1.1 503 ") {
				t.Errorf("answered %.60q after %v", got, took)
			}
		})
	}
}

// Guards against reporting a broken invariant of a request that was sent on a valid list: the list was asked about only when the whole
// body had been sent, and counted as expired since a time before that.
func TestListExpiresWhileABodyIsSent(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWithBackends(t, b)
	body := pattern(maxBuffered + 100_000)
	reader, writer := io.Pipe()
	go func() {
		io.WriteString(writer, body[:maxBuffered+50_000])
		eventually(t, "the request has begun at the server", func() bool { return n.pool.openConns() > 0 })
		time.Sleep(50 * time.Millisecond) // its head is written at once
		n.engine.RenewLease(engine.Lease{Until: time.Now().Add(-time.Minute)})
		io.WriteString(writer, body[maxBuffered+50_000:])
		writer.Close()
	}()
	r := newRequest(t, n.url, "unsafe", "1", body)
	r.Body, r.ContentLength = reader, -1
	if status, _, _ := sendRequest(t, r); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
	if got := n.engine.Violations.Total(); got != 0 {
		t.Errorf("%d violations of %v", got, invariants.Rules)
	}
}

// A body that arrives too slowly is aborted. Only the time spent waiting for the client counts, so that a slow server does
// not make a client's body late.
func TestMinBodyRate(t *testing.T) {
	var deadline time.Time
	reader := &bodyReader{body: strings.NewReader(pattern(10 * streamChunk)), progress: sendingClientPace.begin(bodyTimeAllowance),
		setReadDeadline: func(at time.Time) error { deadline = at; return nil }}
	for range 10 {
		if n, err := reader.Read(make([]byte, streamChunk)); n != streamChunk || err != nil {
			t.Fatal(n, err)
		}
	}
	if left := reader.progress.credit; left < sendingClientPace.maxPause-time.Second || left > sendingClientPace.maxPause {
		t.Errorf("after ten chunks at once, the time left is %v", left)
	}
	begin := time.Now()
	reader.progress.credit = time.Second
	reader.body = io.MultiReader(strings.NewReader("x"), strings.NewReader("yz"))
	if reader.Read(make([]byte, 9)); deadline.Sub(begin) < time.Second || deadline.Sub(begin) > 2*time.Second {
		t.Errorf("a read with 1 s left has a deadline after %v", deadline.Sub(begin))
	}
	reader.bytesRead.Store(maxStreamedBody)
	if _, err := reader.Read(make([]byte, 1)); !errors.Is(err, errRequestBody) || !reader.unsendable() {
		t.Errorf("a body over the maximum size ends with %v", err)
	}
	reader.err = nil
	reader.close()
	if _, err := reader.Read(make([]byte, 1)); !errors.Is(err, errRequestBody) || !deadline.Before(time.Now().Add(time.Millisecond)) {
		t.Errorf("a read after close ends with %v", err)
	}
}

// All heads, bodies and responses that are in memory at once stay within what the program and its connections leave, even on the
// smallest nodes. With more memory, the limits of each body and response are the highest.
func TestVariableMemory(t *testing.T) {
	for _, c := range []struct{ memoryMB, sockets, wantBody, wantResponse int }{
		{32, 1024, minBuffered, minBuffered}, {32, 256, 25834, 43056}, {64, 1024, 17672, 29453}, {64, 256, maxBuffered, maxBuffered},
		{192, 256, maxBuffered, maxBuffered}, {192, 1024, maxBuffered, maxBuffered},
	} {
		cfg := testConfig(t, "pushed")
		cfg.MemoryMB, cfg.Sockets = c.memoryMB, c.sockets
		n, err := New(cfg, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		clients := c.sockets / clientsWithRequests
		body, response := bufferLimit(n.memory, requestBodyMemoryDivisor, n.maxClientConns), n.pool.bufferLimit
		if body != c.wantBody || response != c.wantResponse {
			t.Errorf("%d MB, %d descriptors: limits of %d and %d, want %d and %d", c.memoryMB, c.sockets, body, response, c.wantBody, c.wantResponse)
		}
		sum := n.memory/headMemoryDivisor + clients*(body+response)
		if sum > n.memory+clients*2*minBuffered {
			t.Errorf("%d MB, %d descriptors: %d bytes at once, of %d", c.memoryMB, c.sockets, sum, n.memory)
		}
		if n.maxClientConns < clients {
			t.Errorf("%d MB, %d descriptors: %d connections for %d clients", c.memoryMB, c.sockets, n.maxClientConns, clients)
		}
	}
}
