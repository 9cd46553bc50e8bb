package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Memory that is reserved for a head and not returned would in the end have every larger head rejected. It must be returned
// however the head ends: answered, rejected for lack of memory, or never finished.
func TestHeadMemoryIsReturned(t *testing.T) {
	cfg := configWithBackends(t, newBackend(t, respondOK))
	cfg.MemoryMB = 32
	n := startNode(t, cfg)
	pool := n.clientListener.headMemory
	available := func() int {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.bytes
	}
	all := available()
	for _, head := range []struct {
		id         string
		fields     int
		wantStatus int // 0: the head is not finished
	}{
		{"small", 10, http.StatusOK}, {"large", 500, http.StatusOK}, {"unfinished", 500, 0}, {"too-large", 3000, http.StatusServiceUnavailable},
	} {
		elsewhere := memoryReservation{pool: pool}
		if head.wantStatus == http.StatusServiceUnavailable && !elsewhere.raiseTo(all/2) {
			t.Fatal("half of the memory is not available")
		}
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, strings.TrimSuffix(rawRequest("unsafe", head.id), "\r\n\r\nx")+"\r\n"+strings.Repeat("a:b\r\n", head.fields))
		if head.wantStatus == 0 {
			eventually(t, "the head has been read", func() bool { return available() < all })
		} else if got := finishHead(t, c); got != head.wantStatus {
			t.Errorf("%s: status %d, want %d", head.id, got, head.wantStatus)
		}
		c.Close()
		elsewhere.release(true)
		eventually(t, "the memory is returned", func() bool { return available() == all })
	}
}

// finishHead sends the end of a head and a body of one byte, and returns the status of the response.
func finishHead(t *testing.T, c net.Conn) int {
	t.Helper()
	fmt.Fprint(c, "\r\nx") // fails if the node has rejected the head
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
