package clientload

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	evictionTime     = 5 * time.Second
	idleClients      = 150 // more than the node has slots for with 256 descriptors
	restingClients   = 40
	heldUpFor        = 150 * time.Millisecond // how long the process is stopped at a time
	heldUpEvery      = 400 * time.Millisecond
	clientRestPeriod = 60 * time.Millisecond // a little more than the time after which a connection may be evicted
)

// arrivals records the requests that servers got, by ID.
type arrivals struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *arrivals) answer(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.ids[r.Header.Get("X-Call-Id")] = true
	a.mu.Unlock()
	io.WriteString(w, r.Header.Get("X-Call-Id"))
}

func (a *arrivals) got(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// keepConnecting fills the node's slots: it opens a connection, sends nothing, and opens another when the node closes it.
func keepConnecting(addr string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		closed := make(chan struct{})
		go func() {
			io.Copy(io.Discard, c)
			close(closed)
		}()
		select {
		case <-closed:
		case <-stop:
		}
		c.Close()
	}
}

// sendOnResting sends requests on a kept connection with a pause between them, and returns the IDs of those whose connection ended
// without an answer.
func sendOnResting(addr string, number int, stop <-chan struct{}) (sent int, unanswered []string) {
	var c net.Conn
	var in *bufio.Reader
	for ; ; sent++ {
		select {
		case <-stop:
			return sent, unanswered
		case <-time.After(clientRestPeriod + time.Duration(sent%8)*time.Millisecond):
		}
		if c == nil {
			dialed, err := net.Dial("tcp", addr)
			if err != nil {
				continue
			}
			c, in = dialed, bufio.NewReader(dialed)
		}
		id := fmt.Sprintf("resting-%d-%d", number, sent)
		io.WriteString(c, requestHead("GET", "read", id)+"\r\n")
		response, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			unanswered = append(unanswered, id)
		}
		if err != nil || response.Close {
			c.Close()
			c = nil
		}
	}
}

// Guards against serving a request on a connection that the node is closing to free its slot. The connection's reader had the bytes
// of the request, but was held up, so the connection counted as idle for long enough; its client got no answer.
func TestRequestOnEvictedConnectionIsNotServed(t *testing.T) {
	a := &arrivals{ids: map[string]bool{}}
	node := startLimitedNode(t, 64, 256, a.answer)
	var clients sync.WaitGroup
	for range idleClients {
		clients.Go(func() { keepConnecting(node.addr, node.stop) })
	}
	var mu sync.Mutex
	sent, lost, unread := 0, []string(nil), 0
	for i := range restingClients {
		clients.Go(func() {
			n, unanswered := sendOnResting(node.addr, i, node.stop)
			mu.Lock()
			defer mu.Unlock()
			sent += n
			for _, id := range unanswered {
				if a.got(id) {
					lost = append(lost, id)
				} else {
					unread++
				}
			}
		})
	}
	for end := time.Now().Add(evictionTime); time.Now().Before(end); time.Sleep(heldUpEvery - heldUpFor) {
		node.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(heldUpFor)
		node.process.Process.Signal(syscall.SIGCONT)
	}
	close(node.stop)
	clients.Wait()
	t.Logf("%d requests, %d not read by the node, %d lost", sent, unread, len(lost))
	if len(lost) > 0 {
		t.Errorf("%d requests were sent to a server, but their connections ended without an answer, first: %s", len(lost), lost[0])
	}
}
