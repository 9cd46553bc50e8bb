package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// A known fault: slots are not shared fairly among clients. One client that sends its request heads slowly can hold all
// slots, and other clients wait until the first of its connections is closed, 2.7 s later. Each connection is closed in
// time. The test fails if this gets worse, and also if the fault is fixed, so that the test is then rewritten.
func TestOneClientHoldsAllSlots(t *testing.T) {
	cfg := configWithBackends(t, newBackend(t, respondOK))
	cfg.Sockets = 4 * reservedDescriptors
	n := startNode(t, cfg)
	http.DefaultClient.CloseIdleConnections()
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // a recently used connection may not be idle yet
	addr := strings.TrimPrefix(n.url, "http://")
	for range n.maxClientConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "G")
	}
	begin := time.Now()
	response, err := fresh.Do(newRequest(t, n.url, "unsafe", "1", "x"))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("answered %d", response.StatusCode)
	}
	if took := time.Since(begin); took < requestHeadTimeout/3 {
		t.Errorf("served after %v: the fault is fixed, so this test must be rewritten", took)
	} else if took > 2*requestHeadTimeout+time.Second {
		t.Errorf("served after %v: the slots are not released", took)
	}
}

const (
	slowConnections    = 60                    // concurrent connections of the slow client
	slowClientInterval = 20 * time.Millisecond // between two bytes sent or read by a slow client
	otherRequests      = 2000                  // sent meanwhile by another client, one after another
)

// slowClient implements the behavior of one connection of a slow client. It returns after stop is closed, or earlier.
type slowClient func(i int, c net.Conn, stop <-chan struct{})

const slowClientHead = "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: unsafe\r\nX-Budget: 3000m\r\n"

// repeatSlowly calls step every slowClientInterval until it fails or stop is closed.
func repeatSlowly(stop <-chan struct{}, step func() error) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(slowClientInterval):
			if err := step(); err != nil {
				return
			}
		}
	}
}

// sendBodySlowly sends a request whose body arrives one byte at a time.
func sendBodySlowly(i int, c net.Conn, stop <-chan struct{}) {
	fmt.Fprintf(c, "%sX-Call-Id: t%d\r\nContent-Length: 60000\r\n\r\n", slowClientHead, i)
	repeatSlowly(stop, func() error {
		_, err := c.Write([]byte("x"))
		return err
	})
}

// readResponseSlowly sends a request and reads the response one byte at a time.
func readResponseSlowly(i int, c net.Conn, stop <-chan struct{}) {
	c.(*net.TCPConn).SetReadBuffer(2048)
	fmt.Fprintf(c, "%sX-Call-Id: slow%d\r\nContent-Length: 0\r\n\r\n", slowClientHead, i)
	repeatSlowly(stop, func() error {
		_, err := c.Read(make([]byte, 1))
		return err
	})
}

// reconnectWithNewIDs sends each request on a new connection with a new request ID.
func reconnectWithNewIDs(i int, c net.Conn, stop <-chan struct{}) {
	for k := range 20 {
		fresh, err := net.Dial("tcp", c.RemoteAddr().String())
		if err != nil {
			return
		}
		fmt.Fprintf(fresh, "%sX-Call-Id: n%d.%d\r\nContent-Length: 0\r\n\r\n", slowClientHead, i, k)
		http.ReadResponse(bufio.NewReader(fresh), nil)
		fresh.Close()
	}
	<-stop
}

// startSlowClients opens the connections of a slow client. The returned function waits until they have ended, which they do
// after stop is closed.
func startSlowClients(t *testing.T, n *testNode, act slowClient, stop <-chan struct{}) (wait func()) {
	t.Helper()
	var running sync.WaitGroup
	for i := range slowConnections {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		running.Go(func() { act(i, c, stop) })
	}
	return running.Wait
}

// One client sends its bodies slowly, reads its responses byte by byte, or opens a new connection with a new request ID each
// time. All requests of other clients are served, as they are without that client.
func TestSlowClientsDoNotDelayOthers(t *testing.T) {
	large := strings.Repeat("x", 200_000) // more than the kernel buffers of a response that nobody reads
	serve := func(_ int, c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get("X-Call-Id"), "slow") {
			return respond(c, "200 OK", large)
		}
		return respond(c, "200 OK", "done")
	}
	for _, tc := range []struct {
		name string
		act  slowClient
	}{
		{"no slow client", nil},
		{"slow bodies", sendBodySlowly},
		{"slow reads", readResponseSlowly},
		{"new connections and ids", reconnectWithNewIDs},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBackend(t, serve)
			n := startWithBackends(t, b)
			stop, wait := make(chan struct{}), func() {}
			if tc.act != nil {
				wait = startSlowClients(t, n, tc.act, stop)
			}
			if tc.name == "slow reads" {
				eventually(t, "all slow clients have a response to read", func() bool { return b.requests() == slowConnections })
			}
			var latencies []time.Duration
			for i := range otherRequests {
				begin := time.Now()
				if status, _, body := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x")); status != 200 || body != "done" {
					t.Fatalf("request %d: answered %d", i, status)
				}
				latencies = append(latencies, time.Since(begin))
			}
			close(stop)
			wait()
			slices.Sort(latencies)
			t.Logf("median %v, 99th percentile %v", latencies[len(latencies)/2], latencies[len(latencies)*99/100])
		})
	}
}

// Clients that don't read their large responses, or send large bodies slowly, do not delay other clients, even if there are
// more of them than the admission window admits.
func TestSlowStreamsDoNotDelayOthers(t *testing.T) {
	want := pattern(8 << 20)
	b := newBackend(t, func(i int, c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get("X-Call-Id"), "big") {
			return largeResponse("length", want, nil)(i, c, r)
		}
		return respondOK(i, c, r)
	})
	n := startWithBackends(t, b, b)
	var held []*http.Response
	for i := range 24 {
		resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", fmt.Sprint("big", i), "x"))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		held = append(held, resp)
	}
	for i := range 24 {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: up%d\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\nContent-Length: 2000000\r\n\r\n%s", i, want[:400_000])
	}
	for i := range 20 {
		if got, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint("small", i), "x")); got != http.StatusOK {
			t.Errorf("with slow streams open, another request was answered %d", got)
		}
	}
	for _, resp := range held {
		if got, err := io.Copy(io.Discard, resp.Body); got != int64(len(want)) || err != nil {
			t.Errorf("got %d bytes, %v", got, err)
		}
	}
}

// A client sends the beginning of a head and then nothing. It must get an answer or be disconnected within 3 s, however much
// it has sent. With 4095 bytes, one byte of net/http's buffer of 4096 is left, and a read into it looks like net/http's
// background read, whose deadline is cleared: the connection would stay open and hold its slot.
func TestIncompleteHeadTimesOut(t *testing.T) {
	n := startWithBackends(t, newBackend(t, respondOK))
	for _, size := range []int{4000, 4094, 4095, 4096} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, "GET /"+strings.Repeat("a", size-len("GET /"))); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("neither answered nor closed within 3 s")
			}
		})
	}
}

// silentClientCase describes what a client sends before it becomes silent.
type silentClientCase struct {
	name             string
	precedingRequest string // a complete request that is answered before text is sent; "": none
	text             string
}

// httpBufferSize is the size in bytes of net/http's read buffer for heads and chunk sizes.
const httpBufferSize = 4096

// silentClientCases returns cases for each kind of text: short lengths, lengths that leave one byte of net/http's buffer, and
// random lengths of up to four buffers.
func silentClientCases(rng *rand.Rand) (cases []silentClientCase) {
	completeRequest := "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: %d\r\nX-Call-Class: unsafe\r\nX-Budget: 2000m\r\nContent-Length: 0\r\n\r\n"
	prefixes := map[string]string{
		"request line": "GET /",
		"header":       "GET / HTTP/1.1\r\nHost: h\r\nX-Long: ",
		"chunk": "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Budget: 1000m\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n1;",
	}
	lengths := []int{1, 2, 3, 4, 5}
	for buffers := 1; buffers <= 5; buffers++ {
		lengths = append(lengths, buffers*httpBufferSize-1)
	}
	for range 20 {
		lengths = append(lengths, 1+rng.IntN(4*httpBufferSize))
	}
	for kind, prefix := range prefixes {
		for _, length := range lengths {
			text := (prefix + strings.Repeat("a", max(length-len(prefix), 0)))[:length]
			name := fmt.Sprintf("%s of %d bytes", kind, length)
			cases = append(cases, silentClientCase{name, "", text}, silentClientCase{name + " after a request", fmt.Sprintf(completeRequest, len(cases)), text})
		}
	}
	return cases
}

// A client sends the beginning of a head or a body and then nothing, either as its first bytes or after a request that was
// answered. It must get an answer or be disconnected within 3 s, whatever it has sent. When the state of a request was
// inferred from the size of a read, connections with some lengths held their slots indefinitely, and connections with up to
// three bytes after a request held them for a minute.
func TestSilentClientTimesOut(t *testing.T) {
	n := startWithBackends(t, newBackend(t, respondOK))
	const seed = 7
	var clients sync.WaitGroup
	for _, tc := range silentClientCases(rand.New(rand.NewPCG(seed, seed))) {
		clients.Go(func() {
			if err := tc.run(strings.TrimPrefix(n.url, "http://")); err != nil {
				t.Errorf("%s: %v", tc.name, err)
			}
		})
	}
	clients.Wait()
}

// run connects and sends the bytes of the case. It returns an error unless the client is answered or disconnected in time.
func (tc silentClientCase) run(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	responses := bufio.NewReader(c)
	if tc.precedingRequest != "" {
		io.WriteString(c, tc.precedingRequest)
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			return fmt.Errorf("the preceding request was answered %d: %w", response.StatusCode, err)
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, tc.text); err != nil {
		return err
	}
	if _, err := responses.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.New("neither answered nor closed within 3 s")
	}
	return nil
}
