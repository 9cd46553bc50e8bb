package clientload

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// floodingClients are kinds of clients that send on one connection as fast as they can, without waiting for answers. request returns
// the bytes of request number i.
var floodingClients = map[string]func(i int) string{
	"sound requests": func(i int) string { return requestHead("GET", "read", fmt.Sprintf("flood-%d", i)) + "\r\n" },
	"one ID":         func(int) string { return requestHead("GET", "read", "flood") + "\r\n" },
	"readiness":      func(int) string { return "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" },
	"wrong method":   func(i int) string { return requestHead("PUT", "read", fmt.Sprintf("flood-%d", i)) + "\r\n" },
	"no request":     func(int) string { return "\x00\x01 no request\r\n\r\n" },
	"empty lines":    func(int) string { return "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n" },
	"new tenants": func(i int) string {
		return requestHead("GET", "read", fmt.Sprintf("flood-%d", i)) + "X-Caller: " + strings.Repeat("t", 3000) + fmt.Sprint(i) + "\r\n\r\n"
	},
	"new classes": func(i int) string {
		return requestHead("GET", strings.Repeat("c", 3000)+fmt.Sprint(i), fmt.Sprintf("flood-%d", i)) + "\r\n"
	},
	"long IDs": func(i int) string { return requestHead("GET", "read", strings.Repeat("i", 240)+fmt.Sprint(i)) + "\r\n" },
}

// flood sends requests on connections, one after another, until stop is closed. Answers are read and discarded.
func flood(addr string, request func(int) string, stop <-chan struct{}) {
	for i := 0; ; {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		go io.Copy(io.Discard, c)
		go func() {
			<-stop
			c.Close()
		}()
		for {
			i++
			if _, err := io.WriteString(c, request(i)); err != nil {
				break
			}
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// Guards against a client that sends at full speed and delays the answers of others, or has the node's memory grow.
func TestOneFloodingClientDelaysNobody(t *testing.T) {
	for name, request := range floodingClients {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := startLimitedNode(t, 32, 256, answerAtOnce)
			var running sync.WaitGroup
			running.Go(func() { flood(node.addr, request, node.stop) })
			time.AfterFunc(loadTime, func() { close(node.stop) })
			sent, failures := node.runOtherClient()
			running.Wait()
			peak := node.peakKB(t)
			t.Logf("peak memory %d KiB; %d of %d requests of others were answered", peak, sent-len(failures), sent)
			if limit := node.memoryMB << 10; peak > limit {
				t.Errorf("peak memory %d KiB, over the limit of %d KiB", peak, limit)
			}
			if len(failures) > 0 {
				t.Errorf("%d of %d requests of others were not answered, first: %s", len(failures), sent, failures[0])
			}
		})
	}
}

// Guards against requests and connections that a node keeps while it can serve none: its servers refuse connections, and clients come
// again at once.
func TestMemoryWhileNothingCanBeServed(t *testing.T) {
	for _, size := range nodeSizes {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", size.memoryMB, size.sockets), func(t *testing.T) {
			node := startNodeWithServers(t, size.memoryMB, size.sockets, []string{"127.0.0.1:1", "127.0.0.1:2"})
			var running sync.WaitGroup
			var answered atomic.Int64
			for i := range size.sockets / 3 {
				running.Go(func() {
					for k := 0; ; k++ {
						select {
						case <-node.stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
						c, err := net.Dial("tcp", node.addr)
						if err != nil {
							continue
						}
						c.SetDeadline(time.Now().Add(otherClientBudget))
						io.WriteString(c, requestHead("GET", "read", fmt.Sprintf("refused-%d-%d", i, k))+"\r\n")
						if status, _, _ := readStatus(c); status != 0 {
							answered.Add(1)
						}
						c.Close()
					}
				})
			}
			time.AfterFunc(loadTime, func() { close(node.stop) })
			running.Wait()
			peak := node.peakKB(t)
			t.Logf("peak memory %d KiB; %d requests were answered", peak, answered.Load())
			if limit := node.memoryMB << 10; peak > limit || answered.Load() == 0 {
				t.Errorf("peak memory %d KiB, limit %d KiB; %d requests were answered", peak, limit, answered.Load())
			}
		})
	}
}
