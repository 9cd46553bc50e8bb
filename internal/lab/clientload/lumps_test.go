package clientload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// lumpyResponse is a sound response that comes in pieces with long pauses.
type lumpyResponse struct {
	size     int
	after    time.Duration // from the request to the head and the first bytes
	first    int           // bytes that come with the head; 0: as many as are due by then
	fromHead bool          // the mean rate counts from the head, not from the request
	pauses   []time.Duration
	framing  string // "length", "chunked" or "end" (of the connection)
}

const (
	lumpyRate   = 64e3 // bytes per second on average
	lumpyBudget = 2500 * time.Millisecond
)

// ServeHTTP writes the response.
func (l lumpyResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	began := time.Now()
	time.Sleep(l.after)
	if l.fromHead {
		began = time.Now()
	}
	out, flush := io.Writer(w), func() { w.(http.Flusher).Flush() }
	switch l.framing {
	case "length":
		w.Header().Set("Content-Length", fmt.Sprint(l.size))
	case "end":
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		out, flush = buffered, func() { buffered.Flush() }
	}
	for written, turn := 0, 0; written < l.size; turn++ {
		due := int(time.Since(began) * lumpyRate / time.Second)
		if l.fromHead { // each piece is sent ahead of its pause
			due += int(l.pauses[turn%len(l.pauses)] * lumpyRate / time.Second)
		}
		if turn == 0 && l.first > 0 {
			due = l.first
		}
		n := max(min(due, l.size)-written, 0)
		if _, err := out.Write(bytes.Repeat([]byte("x"), n)); err != nil {
			return
		}
		flush()
		if written += n; written < l.size {
			time.Sleep(l.pauses[turn%len(l.pauses)])
		}
	}
}

// lumpyResponses returns the cases of TestSoundResponsesInLumpsAreNotCutOff, by the ID of their request.
func lumpyResponses() map[string]lumpyResponse {
	const ms = time.Millisecond
	uneven := []time.Duration{500 * ms, 1100 * ms, 800 * ms}
	cases := map[string]lumpyResponse{
		"pauses-of-2.4-s":          {size: 400e3, after: 300 * ms, pauses: []time.Duration{2400 * ms}, framing: "length"},
		"few-bytes-with-the-head":  {size: 190e3, after: 1000 * ms, first: 100, pauses: []time.Duration{1900 * ms, 900 * ms}, framing: "length"},
		"few-bytes-with-late-head": {size: 300e3, after: 2400 * ms, first: 10, pauses: []time.Duration{1900 * ms, 1200 * ms}, framing: "length"},
	}
	for _, framing := range []string{"length", "chunked", "end"} {
		for name, response := range map[string]lumpyResponse{
			"190-kB":                        {size: 190e3, after: 500 * ms, pauses: uneven},
			"190-kB-pauses-of-0.86-s":       {size: 185784, after: 489 * ms, pauses: []time.Duration{860 * ms}},
			"300-kB-pauses-of-1.9-s":        {size: 300e3, after: 500 * ms, pauses: []time.Duration{1900 * ms}},
			"900-kB-pauses-of-0.7-to-1.9-s": {size: 900e3, after: 500 * ms, pauses: []time.Duration{700 * ms, 1900 * ms, 1300 * ms}},
			"head-after-2-s":                {size: 190e3, after: 2000 * ms, pauses: uneven},
			"rate-counts-from-a-late-head":  {size: 190e3, after: 2000 * ms, pauses: []time.Duration{800 * ms, 500 * ms, 900 * ms}, fromHead: true},
			"a-small-piece-with-late-head":  {size: 190e3, after: 2000 * ms, first: 26e3, pauses: []time.Duration{1000 * ms, 700 * ms}, fromHead: true},
			"rate-counts-from-a-later-head": {size: 300e3, after: 2300 * ms, pauses: []time.Duration{950 * ms, 700 * ms}, fromHead: true},
		} {
			response.framing = framing
			cases[name+"-"+framing] = response
		}
	}
	return cases
}

// Guards against cutting off a response that its server still sends. What had arrived ahead of a pause was forgotten, so that a pause of
// 0.45 s after the client's deadline ended a response of over 64 KiB, at whatever rate it came.
func TestSoundResponsesInLumpsAreNotCutOff(t *testing.T) {
	cases := lumpyResponses()
	var checks sync.WaitGroup
	for _, memoryMB := range []int{192, 32} {
		node := startLimitedNode(t, memoryMB, 256, func(w http.ResponseWriter, r *http.Request) {
			cases[r.Header.Get("X-Call-Id")].ServeHTTP(w, r)
		})
		for id, response := range cases { // one subtest each would leave too few at once
			name := fmt.Sprintf("%s, %d MB", id, memoryMB)
			checks.Go(func() {
				if failure := response.check(node, id); failure != "" {
					t.Errorf("%s: %s", name, failure)
				}
			})
		}
	}
	checks.Wait()
}

// check sends a request, and returns what is wrong with its response, or "" if it arrives whole.
func (l lumpyResponse) check(node *limitedNode, id string) (failure string) {
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: read\r\nX-Call-Id: %s\r\nX-Budget: %dm\r\n\r\n", id, lumpyBudget.Milliseconds())
	c.SetReadDeadline(began.Add(time.Minute))
	if status, got, err := readStatus(c); status != http.StatusOK || err != nil || got != l.size {
		return fmt.Sprintf("status %d, %d of %d bytes, %v, after %v\n%s", status, got, l.size, err, time.Since(began), lastLines(node.logText()))
	}
	return ""
}

// lastLines returns the end of a node's log.
func lastLines(text string) string {
	const count = 5
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(len(lines)-count, 0):], "\n")
}
