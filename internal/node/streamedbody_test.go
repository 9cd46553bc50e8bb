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
)

// pattern is a text whose every part differs, so that lost or swapped bytes show.
func pattern(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%08x", i*2654435761)
	}
	return b.String()[:n]
}

func hash(s string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(s))) }

// Bodies of any size and framing reach a server unchanged, once, whether they are buffered or streamed.
func TestBodiesOfAnySize(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWith(t, b)
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
			if last := b.body[len(b.body)-1]; hash(last) != hash(want) {
				t.Errorf("%d bytes, chunked %v: the server got %d others", size, chunked, len(last))
			}
			b.mu.Unlock()
		}
	}
	if got := b.requests(); got != 10 {
		t.Errorf("the server got %d requests", got)
	}
}

// The end of a chunked body is not known to the head reader. Its connection ends with the response, and what follows the
// body is never read: it could be a smuggled request.
func TestNothingFollowsAChunkedBody(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWith(t, b)
	request := func(id, framing string) string {
		return "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: " + id + "\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\n" +
			framing + "\r\n\r\n"
	}
	got := exchange(t, n, request("1", "Transfer-Encoding: chunked")+"2;x=y\r\nhi\r\n0\r\nTrailer: t\r\n\r\n"+request("2", "Content-Length: 0"))
	if strings.Count(got, "HTTP/1.1 200") != 1 || b.requests() != 1 {
		t.Errorf("answered %q, %d requests ran", got, b.requests())
	}
}

// largeResponse responds with a text, framed one way or another; the second half waits for hold.
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

// Responses of any size and framing reach the client unchanged, and the first bytes of a large one before the server has
// sent the last.
func TestResponsesOfAnySize(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "end"} {
		for _, size := range []int{2, maxBuffered, maxBuffered + 1, 4 << 20} {
			t.Run(fmt.Sprint(framing, size), func(t *testing.T) {
				want := pattern(size)
				var hold chan struct{}
				if size > 4*maxBuffered {
					hold = make(chan struct{})
				}
				n := startWith(t, newBackend(t, largeResponse(framing, want, hold)))
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

// A server truncates a large response. The client must be able to tell: its connection ends before the message does. The
// request is not retried, and the connection not used again.
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
			n := startWith(t, b)
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Error("the client can't tell")
			}
			resp.Body.Close()
			if got, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "2", "x")); got != http.StatusOK || b.requests() != 2 {
				t.Errorf("the next is answered %d, %d requests ran", got, b.requests())
			}
		})
	}
}

// A streamed body is not kept, so it can't be sent again once a part was read from the client. Before that the request can
// be retried; after it the client is rejected, for nothing ran, and gets a Retry-After.
func TestLargeBodiesAreSentOnce(t *testing.T) {
	var tries atomic.Int64
	early, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	go func() {
		for {
			c, err := early.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				io.CopyN(io.Discard, br, 200_000) // into the rest
				tries.Add(1)
				respond(c, "503 Service Unavailable", "", "X-Rejected: 1", "Connection: close")
			}()
		}
	}()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	startKnowing := func(hosts ...discoveryapi.Endpoint) *testNode {
		cfg := testConfig(t, "pushed", hosts...)
		cfg.Discovery = silentDiscovery(t)
		return start(t, cfg)
	}
	n := startKnowing(inService("s-0", early.Addr().String()), inService("s-1", early.Addr().String()))
	status, header, _ := sendRequest(t, newRequest(t, n.url, "unsafe", "1", pattern(8<<20)))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || tries.Load() != 1 {
		t.Errorf("answered %d, %v; %d servers were asked", status, header, tries.Load())
	}
	b := newBackend(t, respondOK)
	n = startKnowing(inService("s-0", gone.Addr().String()), inService("s-1", b.addr()))
	for i := range 4 {
		if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), pattern(1<<20))); status != http.StatusOK {
			t.Errorf("with a server gone it is answered %d", status)
		}
	}
}

// A client holds back the rest of its body. It gets an error and a close, and no server gets its request complete: one that
// got the announced length would run a part of it.
func TestStalledBody(t *testing.T) {
	b := newBackend(t, respondOK)
	n := startWith(t, b)
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
		t.Errorf("%d requests reached the server whole", got)
	}
}

// A body that comes too slowly is given up, but only the time spent waiting for the client counts: a slow server must not
// make a client's body late.
func TestBodyRate(t *testing.T) {
	var deadline time.Time
	p := &bodyReader{body: strings.NewReader(pattern(10 * streamChunk)), timeLeft: bodyTimeAllowance,
		setReadDeadline: func(at time.Time) error { deadline = at; return nil }}
	for range 10 {
		if n, err := p.Read(make([]byte, streamChunk)); n != streamChunk || err != nil {
			t.Fatal(n, err)
		}
	}
	if p.timeLeft < stallTimeout-time.Second || p.timeLeft > stallTimeout {
		t.Errorf("after ten pieces at once there are %v left", p.timeLeft)
	}
	begin := time.Now()
	p.timeLeft = time.Second
	p.body = io.MultiReader(strings.NewReader("x"), strings.NewReader("yz"))
	if p.Read(make([]byte, 9)); deadline.Sub(begin) < time.Second || deadline.Sub(begin) > 2*time.Second {
		t.Errorf("a read with 1 s left ends %v on", deadline.Sub(begin))
	}
	p.bytesRead = maxStreamedBody
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, errRequestBody) || !p.unsendable() {
		t.Errorf("beyond the bound it ends with %v", err)
	}
	p.err = nil
	p.close()
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, errRequestBody) || !deadline.Before(time.Now().Add(time.Millisecond)) {
		t.Errorf("closed, a read ends with %v", err)
	}
}

// All that is buffered at once stays within its share of the memory, also on the smallest nodes.
func TestBufferLimit(t *testing.T) {
	for _, c := range []struct{ memory, places, part, want int }{
		{0, 1000, 4, maxBuffered}, {64, 209, requestBodyMemoryDivisor, maxBuffered}, {32, 129, requestBodyMemoryDivisor, 65027}, {32, 609, requestBodyMemoryDivisor, 13774},
		{192, 365, responseMemoryDivisor, maxBuffered}, {32, 365, responseMemoryDivisor, 15321}, {32, 1 << 20, 4, minBuffered},
	} {
		got := bufferLimit(c.memory, c.part, c.places)
		if got != c.want || c.memory > 0 && got > minBuffered && got*c.places > c.memory<<20/c.part {
			t.Errorf("%d MB, %d places: %d, want %d", c.memory, c.places, got, c.want)
		}
	}
}
