package clientload

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// sendGrace is how long after a client has left an attempt for it may begin: 0.1 s, and 50 ms that all limits have more on
	// real connections.
	sendGrace = 150 * time.Millisecond

	rejectionDelay = 500 * time.Millisecond // after which servers turn a request away
	leavingClients = 20                     // at once
)

// leavingClient sends a request and further bytes, and then leaves.
type leavingClient struct {
	trailingBytes int // of further requests
	leaveAfter    time.Duration
	reset         bool // leaves with a reset
}

// departures records when clients have left and when servers got their requests, by ID.
type departures struct {
	mu   sync.Mutex
	left map[string]time.Time
	late []string // attempts that began too late
}

// reject turns a request away after rejectionDelay, and records it if its client had already left.
func (d *departures) reject(w http.ResponseWriter, r *http.Request) {
	arrived, id := time.Now(), r.Header.Get("X-Call-Id")
	d.mu.Lock()
	if left, gone := d.left[id]; gone && arrived.Sub(left) > sendGrace {
		d.late = append(d.late, fmt.Sprintf("%s: %v", id, arrived.Sub(left).Round(time.Millisecond)))
	}
	d.mu.Unlock()
	time.Sleep(rejectionDelay)
	w.Header().Set("X-Rejected", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// play sends a client's bytes and leaves.
func (d *departures) play(t *testing.T, node *limitedNode, client leavingClient, id string) {
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Error(err)
		return
	}
	request := func(id string) string { return requestHead("GET", "read", id) + "\r\n" }
	trailing := strings.Repeat(request("trailing-"+id), client.trailingBytes/len(request("trailing-"+id))+1)
	began := time.Now()
	c.SetWriteDeadline(began.Add(client.leaveAfter))
	io.WriteString(c, request(id)+trailing[:min(client.trailingBytes, len(trailing))])
	time.Sleep(time.Until(began.Add(client.leaveAfter)))
	if client.reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left[id] = time.Now()
}

// Guards against sending on requests of clients that have left behind many unread bytes: the node stopped reading after 1 MiB, and
// then the end of the connection could not reach it, so it tried one server after another.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	for name, client := range map[string]leavingClient{
		"nothing behind":       {leaveAfter: 100 * time.Millisecond},
		"200 kB, closed":       {trailingBytes: 200e3, leaveAfter: 100 * time.Millisecond},
		"1.3 MB, closed":       {trailingBytes: 1.3e6, leaveAfter: 30 * time.Millisecond},
		"3 MB, closed":         {trailingBytes: 3e6, leaveAfter: 100 * time.Millisecond},
		"3 MB, reset":          {trailingBytes: 3e6, leaveAfter: 100 * time.Millisecond, reset: true},
		"24 MB, closed later":  {trailingBytes: 24e6, leaveAfter: 300 * time.Millisecond},
		"200 MB, closed later": {trailingBytes: 200e6, leaveAfter: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d := &departures{left: map[string]time.Time{}}
			node := startLimitedNode(t, 64, 256, d.reject)
			var playing sync.WaitGroup
			for i := range leavingClients {
				playing.Go(func() { d.play(t, node, client, fmt.Sprintf("leaving-%d", i)) })
			}
			playing.Wait()
			time.Sleep(4 * rejectionDelay) // three attempts take less
			d.mu.Lock()
			defer d.mu.Unlock()
			if len(d.late) > 0 {
				t.Errorf("%d attempts began after %d clients had left, first: %s", len(d.late), leavingClients, d.late[0])
			}
		})
	}
}

// answerAtOnce answers a request with its ID.
func answerAtOnce(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Header.Get("X-Call-Id")) }

// Guards against losing pipelined requests: more than 16 KiB of them behind the open request were read and discarded.
func TestManyPipelinedRequestsAreAnswered(t *testing.T) {
	const requests = 300 // of some 130 bytes
	node := startLimitedNode(t, 64, 1024, answerAtOnce)
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var all strings.Builder
	for i := range requests {
		all.WriteString(requestHead("GET", "read", fmt.Sprintf("pipelined-%030d", i)) + "\r\n")
	}
	io.WriteString(c, all.String())
	var answered atomic.Int64
	c.SetReadDeadline(time.Now().Add(time.Minute))
	readResponses(c, requests, &answered)
	if answered.Load() != requests {
		t.Errorf("%d of %d requests were answered", answered.Load(), requests)
	}
}
