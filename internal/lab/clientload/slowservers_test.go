package clientload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// slowResponse is how a server responds slowly.
type slowResponse struct {
	class     string
	after     time.Duration // from the request to the response's first byte
	size      int
	noLength  bool          // the end of the connection ends the response; otherwise it is chunked
	hangAfter int           // so many bytes, the first server hangs; 0: it does not
	budget    time.Duration // of the client
}

// slowServer writes responses at slowRate.
type slowServer struct {
	slowResponse
	mu     sync.Mutex
	served int
	cut    int // responses that the node did not read to their end
}

func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.served++
	hangs := s.hangAfter > 0 && s.served == 1
	s.mu.Unlock()
	time.Sleep(s.after)
	out, flush := io.Writer(w), func() { w.(http.Flusher).Flush() }
	if s.noLength {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		out, flush = buffered, func() { buffered.Flush() }
	}
	piece := bytes.Repeat([]byte("x"), slowPiece/2)
	for began, written := time.Now(), 0; written < s.size; written += len(piece) {
		if hangs && written >= s.hangAfter {
			<-r.Context().Done()
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(written) * time.Second / slowRate)))
		if _, err := out.Write(piece); err != nil || r.Context().Err() != nil && !s.noLength {
			s.mu.Lock()
			s.cut++
			s.mu.Unlock()
			return
		}
		flush()
	}
}

// check sends a request and checks its response. If a server hangs, the request may be rejected, but no part of its response may be
// forwarded.
func (s *slowServer) check(t *testing.T, node *limitedNode, number int) {
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	method, length := "POST", "Content-Length: 0\r\n"
	if s.class == "read" {
		method, length = "GET", ""
	}
	fmt.Fprintf(c, "%s /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: %s\r\nX-Call-Id: slow-%d\r\nX-Budget: %dm\r\n%s\r\n",
		method, s.class, number, s.budget.Milliseconds(), length)
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	status, got, err := readStatus(c)
	if s.hangAfter > 0 && status == http.StatusServiceUnavailable {
		return
	}
	if status != http.StatusOK || err != nil || got < s.size {
		t.Errorf("request %d: status %d, %d of %d bytes, %v", number, status, got, s.size, err)
	}
}

// Guards against cutting off a response that its server still sends. A response of unknown length was held until 64 KiB of it had
// arrived, so one that came slowly and late ran into the deadline, and its client got a 502.
func TestSlowResponsesAreForwarded(t *testing.T) {
	for name, response := range map[string]slowResponse{
		"chunked":                  {class: "write", after: 2300 * time.Millisecond, size: 200e3, budget: 3 * time.Second},
		"ended by the server":      {class: "write", after: 2300 * time.Millisecond, size: 200e3, noLength: true, budget: 3 * time.Second},
		"just before the deadline": {class: "write", after: 2850 * time.Millisecond, size: 100e3, budget: 3 * time.Second},
		"begun early":              {class: "write", after: 10 * time.Millisecond, size: 300e3, budget: 3 * time.Second},
		"small deadline":           {class: "write", after: 400 * time.Millisecond, size: 90e3, budget: 700 * time.Millisecond},
		"may run again":            {class: "read", after: 300 * time.Millisecond, size: 200e3, budget: 3 * time.Second},
		"hangs, may run again":     {class: "read", after: 10 * time.Millisecond, size: 40e3, hangAfter: 9e3, budget: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &slowServer{slowResponse: response}
			node := startLimitedNode(t, 64, 256, server.ServeHTTP)
			var requests sync.WaitGroup
			for i := range 3 {
				requests.Go(func() { server.check(t, node, i) })
			}
			requests.Wait()
		})
	}
}

// Guards against forwarding a response that trickles without end: its client would never get a final answer.
func TestEndlessResponseIsAnsweredInTime(t *testing.T) {
	const budget = 2 * time.Second
	node := startLimitedNode(t, 64, 256, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			io.WriteString(w, "ok ")
			w.(http.Flusher).Flush()
			time.Sleep(slowReadInterval / 5)
		}
	})
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: write\r\nX-Call-Id: endless\r\nX-Budget: %dm\r\nContent-Length: 0\r\n\r\n", budget.Milliseconds())
	c.SetReadDeadline(began.Add(budget + lateAnswerSlack))
	if status, _, err := readStatus(c); err != nil || status != http.StatusBadGateway {
		t.Errorf("status %d, %v, after %v", status, err, time.Since(began))
	}
}
