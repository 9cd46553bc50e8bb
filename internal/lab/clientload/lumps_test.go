package clientload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	memoryMB int
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

// Guards against cutting off a response that its server still sends. What had arrived ahead of a pause was forgotten, so that a pause of
// 0.45 s after the client's deadline ended a response of over 64 KiB, at whatever rate it came.
func TestSoundResponsesInLumpsAreNotCutOff(t *testing.T) {
	const ms = time.Millisecond
	uneven := []time.Duration{500 * ms, 1100 * ms, 800 * ms}
	for name, response := range map[string]lumpyResponse{
		"190 kB":                        {size: 190e3, after: 500 * ms, pauses: uneven},
		"190 kB, pauses of 0.86 s":      {size: 185784, after: 489 * ms, pauses: []time.Duration{860 * ms}},
		"300 kB, pauses of 1.9 s":       {size: 300e3, after: 500 * ms, pauses: []time.Duration{1900 * ms}},
		"900 kB, pauses of 0.7 to 1.9":  {size: 900e3, after: 500 * ms, pauses: []time.Duration{700 * ms, 1900 * ms, 1300 * ms}},
		"head after 2 s":                {size: 190e3, after: 2000 * ms, pauses: uneven},
		"rate counts from a late head":  {size: 190e3, after: 2000 * ms, pauses: []time.Duration{800 * ms, 500 * ms, 900 * ms}, fromHead: true},
		"rate counts from a later head": {size: 300e3, after: 2300 * ms, pauses: []time.Duration{950 * ms, 700 * ms}, fromHead: true},
	} {
		for _, framing := range []string{"length", "chunked", "end"} {
			for _, memoryMB := range []int{192, 32} {
				response := response
				response.framing, response.memoryMB = framing, memoryMB
				t.Run(fmt.Sprintf("%s, %s, %d MB", name, framing, memoryMB), func(t *testing.T) {
					t.Parallel()
					response.check(t)
				})
			}
		}
	}
	for name, response := range map[string]lumpyResponse{
		"pauses of 2.4 s":          {size: 400e3, after: 300 * ms, pauses: []time.Duration{2400 * ms}, framing: "length", memoryMB: 64},
		"few bytes with the head":  {size: 190e3, after: 1000 * ms, first: 100, pauses: []time.Duration{1900 * ms, 900 * ms}, framing: "length", memoryMB: 64},
		"few bytes with late head": {size: 300e3, after: 2400 * ms, first: 10, pauses: []time.Duration{1900 * ms, 1200 * ms}, framing: "length", memoryMB: 64},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response.check(t)
		})
	}
}

// check sends a request and checks that its response arrives whole.
func (l lumpyResponse) check(t *testing.T) {
	node := startLimitedNode(t, l.memoryMB, 256, l.ServeHTTP)
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: read\r\nX-Call-Id: lumps\r\nX-Budget: %dm\r\n\r\n", lumpyBudget.Milliseconds())
	c.SetReadDeadline(began.Add(time.Minute))
	if status, got, err := readStatus(c); status != http.StatusOK || err != nil || got != l.size {
		t.Errorf("status %d, %d of %d bytes, %v, after %v\n%s", status, got, l.size, err, time.Since(began), lastLines(node.logText()))
	}
}

// lastLines returns the end of a node's log.
func lastLines(text string) string {
	const count = 5
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(len(lines)-count, 0):], "\n")
}
