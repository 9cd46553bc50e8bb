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
	largeHead := func(id string, fields int) string {
		return strings.TrimSuffix(rawRequest("unsafe", id), "\r\n\r\nx") + "\r\n" + strings.Repeat("a:b\r\n", fields)
	}
	statuses := map[int]int{}
	for i, head := range []string{
		largeHead("small", 10) + "\r\nx",
		largeHead("large", 500) + "\r\nx",
		largeHead("unfinished", 500),
		largeHead("too-large", 3000) + "\r\nx",
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		pool.mu.Lock()
		if i == 3 {
			pool.bytes -= all / 2 // as if other connections held it
		}
		pool.mu.Unlock()
		fmt.Fprint(c, head)
		if strings.HasSuffix(head, "x") {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("head %d: %v", i, err)
			}
			io.Copy(io.Discard, response.Body)
			statuses[response.StatusCode]++
		} else {
			eventually(t, "the head has been read", func() bool { return available() < all })
		}
		c.Close()
		pool.mu.Lock()
		if i == 3 {
			pool.bytes += all / 2
		}
		pool.mu.Unlock()
		eventually(t, "the memory is returned", func() bool { return available() == all })
	}
	if statuses[http.StatusOK] != 2 || statuses[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses %v, want two 200 and one 503", statuses)
	}
}
