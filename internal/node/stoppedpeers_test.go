package node

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// peerCloseTimeout is the time within which a peer that stops in the middle of a request must be disconnected.
const peerCloseTimeout = 3 * time.Second

// requestHeads returns the beginnings of requests that are answered in different ways, by a name of the way.
func requestHeads() map[string]string {
	const common = " HTTP/1.1\r\nHost: h\r\n"
	const fields = "X-Call-Class: unsafe\r\nX-Budget: 1000m\r\n"
	return map[string]string{
		"served":                "POST /api" + common + "X-Call-Id: @\r\n" + fields,
		"readiness check":       "GET /ready" + common,
		"general options":       "OPTIONS *" + common,
		"no ID":                 "POST /api" + common + fields,
		"wrong method":          "PUT /api" + common + "X-Call-Id: @\r\n" + fields,
		"unknown class":         "POST /api" + common + "X-Call-Id: @\r\nX-Call-Class: none\r\nX-Budget: 1000m\r\n",
		"no budget":             "POST /api" + common + "X-Call-Id: @\r\nX-Call-Class: unsafe\r\n",
		"fault injection":       "POST /api" + common + "X-Drill-Key: none\r\n",
		"old version":           "GET /ready HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n",
		"connection is to stay": "GET /ready" + common + "Connection: keep-alive\r\n",
	}
}

// requestRests returns the rests of requests, each with what a peer sends behind it before it stops, by name.
func requestRests() map[string]string {
	rests := map[string]string{
		"in a short body":             "Content-Length: 5\r\n\r\nab",
		"in a long body":              "Content-Length: 300000\r\n\r\n" + pattern(10_000),
		"in a body beyond the buffer": "Content-Length: 3000000\r\n\r\n" + pattern(10),
		"before a body":               "Content-Length: 5\r\n\r\n",
		"before an announced body":    "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n",
		"before announced chunks":     "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n",
		"before the chunks":           "Transfer-Encoding: chunked\r\n\r\n",
		"in the size of a chunk":      "Transfer-Encoding: chunked\r\n\r\n5",
		"in a chunk":                  "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"in the trailers":             "Transfer-Encoding: chunked\r\n\r\n0\r\nT: x",
	}
	complete := map[string]string{
		"no body":          "\r\n",
		"empty body":       "Content-Length: 0\r\n\r\n",
		"body":             "Content-Length: 5\r\n\r\nabcde",
		"empty chunks":     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks":           "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		"two lengths":      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"lines without CR": "X-Line: x\n\r\n",
	}
	for framing, rest := range complete {
		rests["one byte after "+framing] = rest + "G"
		rests["in a head after "+framing] = rest + "GET /ready HTTP/1.1\r\nHos"
	}
	return rests
}

// A peer may stop in the middle of a request and stay, after any kind of request. Its connection must end, because otherwise
// it holds its slot, and when such peers hold all slots, the node accepts no client any more. After a chunked GET /ready, the
// head of the next request was taken for net/http's background read, which has no deadline.
func TestStoppedPeersAreDisconnected(t *testing.T) {
	n := startWithBackends(t, newBackend(t, respondOK))
	address := strings.TrimPrefix(n.url, "http://")
	var peers sync.WaitGroup
	for kind, head := range requestHeads() {
		for where, rest := range requestRests() {
			name := kind + ", stopped " + where
			text := strings.Replace(head, "@", strings.ReplaceAll(name, " ", "-"), 1) + rest
			peers.Go(func() {
				if err := sendAndAwaitClose(address, text); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
	}
	peers.Wait()
}

// sendAndAwaitClose connects, sends a text and returns an error unless the connection ends in time.
func sendAndAwaitClose(address, text string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(peerCloseTimeout))
	io.WriteString(conn, text) // fails if the node has closed the connection
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.New("still connected after 3 s")
	}
	return nil
}

// A peer sends requests and reads no answer. A write to it must end also where net/http sets no deadline, as for the answer
// to a readiness check or the rejection of a malformed head: the connection would otherwise keep its slot indefinitely.
func TestWriteToPeerThatDoesNotReadEnds(t *testing.T) {
	for name, setDeadline := range map[string]func(*clientConn){
		"no deadline set":  func(*clientConn) {},
		"deadline removed": func(c *clientConn) { c.SetWriteDeadline(time.Now()); c.SetWriteDeadline(time.Time{}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodeSide, peerSide := net.Pipe()
				defer peerSide.Close()
				conn := newClientConn(nodeSide, newClientListener(nil, 1, nil))
				defer conn.Close()
				setDeadline(conn)
				begun := time.Now()
				_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
				if took := time.Since(begun); !errors.Is(err, os.ErrDeadlineExceeded) || took > responseWriteTimeout {
					t.Errorf("the write ended after %v with %v", took, err)
				}
			})
		})
	}
}
