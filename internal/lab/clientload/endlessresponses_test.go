package clientload

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// responsePart is a part of a response: pieces of some bytes, each followed by a pause.
type responsePart struct {
	pieces, bytes int
	pause         time.Duration
}

// soundPart returns a part of a response that comes at slowRate for a time.
func soundPart(duration time.Duration) responsePart {
	const pause = slowPiece * time.Second / slowRate
	return responsePart{pieces: int(duration / pause), bytes: slowPiece, pause: pause}
}

// endlessResponse is a response that does not end, for a request with budget endlessBudget.
type endlessResponse struct {
	memoryMB int
	length   int           // of the announced body; 0: chunked
	after    time.Duration // from the request to the response's first byte
	parts    []responsePart
	end      time.Duration // by when the end is due; 0: lateAnswerSlack after the deadline

	// pieceWritten, if not nil, has when the server had written the first part: the end is due stoppedPeerTime after it.
	pieceWritten *atomic.Pointer[time.Time]
}

const (
	endlessBudget = 2 * time.Second
	endless       = 1 << 20 // pieces
	socketSlack   = 50 * time.Millisecond

	// stoppedPeerTime is the time within which a peer that has stopped is disconnected. It holds for the servers of responses over
	// 64 KiB, of which only the first bytes are due at the deadline.
	stoppedPeerTime = 3 * time.Second

	// undecidedTime is how long after its time a response may end of which it can't be known whether it is longer than 64 KiB, as it
	// has no length and came fast enough until then.
	undecidedTime = 1250 * time.Millisecond
)

// ServeHTTP responds, and then waits until the node closes the connection.
func (e endlessResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if e.length > 0 {
		w.Header().Set("Content-Length", fmt.Sprint(e.length))
	}
	time.Sleep(e.after)
	for _, part := range e.parts {
		for range part.pieces {
			if _, err := io.WriteString(w, strings.Repeat("x", part.bytes)); err != nil || r.Context().Err() != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(part.pause)
		}
		if written := time.Now(); e.pieceWritten != nil {
			e.pieceWritten.CompareAndSwap(nil, &written)
		}
	}
	<-r.Context().Done()
}

// Guards against a response that a server begins soundly and never ends. Once the node had begun to forward it, each read had a
// timeout of its own and nothing ended the whole, so that the client got neither the response nor its end.
func TestForwardedResponseHasAnEnd(t *testing.T) {
	drip := responsePart{pieces: endless, bytes: 1, pause: 300 * time.Millisecond}
	for name, response := range map[string]endlessResponse{
		"hangs":                {parts: []responsePart{soundPart(900 * time.Millisecond)}},
		"hangs at its time":    {parts: []responsePart{soundPart(200 * time.Millisecond)}, after: 1800 * time.Millisecond},
		"hangs after a piece":  {parts: []responsePart{{1, 60e3, 0}}, after: 1900 * time.Millisecond, end: endlessBudget + undecidedTime},
		"drips":                {parts: []responsePart{soundPart(900 * time.Millisecond), drip}},
		"drips after a piece":  {parts: []responsePart{{1, 40e3, 0}, drip}, after: 1900 * time.Millisecond, end: endlessBudget + undecidedTime},
		"drips often":          {parts: []responsePart{soundPart(900 * time.Millisecond), {endless, 1, 10 * time.Millisecond}}},
		"short, 32 MB":         {parts: []responsePart{soundPart(600 * time.Millisecond), drip}, length: 60e3, memoryMB: 32},
		"chunked, 32 MB":       {parts: []responsePart{soundPart(600 * time.Millisecond), drip}, memoryMB: 32},
		"over 64 KiB, hangs":   {parts: []responsePart{soundPart(1700 * time.Millisecond)}, end: 1700*time.Millisecond + stoppedPeerTime},
		"over 64 KiB, drips":   {parts: []responsePart{soundPart(1700 * time.Millisecond), drip}, end: 1700*time.Millisecond + stoppedPeerTime},
		"1 MB at once, hangs":  {parts: []responsePart{{32, 32 << 10, 0}}, pieceWritten: new(atomic.Pointer[time.Time])},
		"1 MB at once, drips":  {parts: []responsePart{{32, 32 << 10, 0}, drip}, pieceWritten: new(atomic.Pointer[time.Time])},
		"10 MB at once, drips": {parts: []responsePart{{320, 32 << 10, 0}, drip}, length: 20e6, pieceWritten: new(atomic.Pointer[time.Time])},
		"after its time":       {parts: []responsePart{soundPart(2500 * time.Millisecond), drip}, end: 2500*time.Millisecond + stoppedPeerTime},
		"with a length":        {parts: []responsePart{soundPart(1200 * time.Millisecond), drip}, length: 1e6, end: 1200*time.Millisecond + stoppedPeerTime},
		"one byte of 1 MB":     {parts: []responsePart{drip}, length: 1e6, end: stoppedPeerTime},
		// 24 kB/s are 73% of the minimum rate, so the time of a pause lasts almost four times as long, from 64 KiB on.
		"below the rate": {parts: []responsePart{soundPart(900 * time.Millisecond), {endless, 1200, 50 * time.Millisecond}}, end: 1250*time.Millisecond + 4*stoppedPeerTime},
		"below the rate, with a length": {parts: []responsePart{soundPart(900 * time.Millisecond), {endless, 600, 50 * time.Millisecond}}, length: 1e6,
			end: 900*time.Millisecond + 2*stoppedPeerTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response.check(t)
		})
	}
}

// check sends a request and checks that its client sees the response broken off in time.
func (e endlessResponse) check(t *testing.T) {
	memoryMB, descriptors := 64, 256
	if e.memoryMB > 0 {
		memoryMB, descriptors = e.memoryMB, 1024
	}
	node := startLimitedNode(t, memoryMB, descriptors, e.ServeHTTP)
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: write\r\nX-Call-Id: endless\r\nX-Budget: %dm\r\nContent-Length: 0\r\n\r\n",
		endlessBudget.Milliseconds())
	limit := max(endlessBudget+lateAnswerSlack, e.end) + socketSlack
	c.SetReadDeadline(began.Add(limit + 2*time.Second))
	status, got, err := readStatus(c)
	took := time.Since(began)
	if e.pieceWritten != nil {
		if written := e.pieceWritten.Load(); written != nil {
			limit = written.Sub(began) + stoppedPeerTime + socketSlack
		}
	}
	t.Logf("status %d, %d bytes, %v, after %v\n%s", status, got, err, took, lastLines(node.logText()))
	if took > limit {
		t.Errorf("no end after %v, %v are allowed", took, limit)
	}
	if status == http.StatusOK && err == nil {
		t.Error("the response counts as complete")
	}
}

// Guards against a response without an end where the request has a long body: its time counts from the body's last byte.
func TestResponseToALongBodyHasAnEnd(t *testing.T) {
	const bodySize = 200e3
	node := startLimitedNode(t, 64, 256, endlessResponse{parts: []responsePart{soundPart(900 * time.Millisecond)}}.ServeHTTP)
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: write\r\nX-Call-Id: long\r\nX-Budget: %dm\r\nContent-Length: %d\r\n\r\n",
		endlessBudget.Milliseconds(), int(bodySize))
	c.Write(make([]byte, bodySize))
	lastByte := time.Now()
	c.SetReadDeadline(lastByte.Add(endlessBudget + 3*time.Second))
	status, got, err := readStatus(c)
	if took := time.Since(lastByte); took > endlessBudget+lateAnswerSlack+socketSlack || err == nil && status == http.StatusOK {
		t.Errorf("status %d, %d bytes, %v, %v after the last byte", status, got, err, took)
	}
}
