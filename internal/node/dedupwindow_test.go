package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/invariants"
)

const (
	dedupWindow  = 600 * time.Millisecond // servers discard repeats for so long
	failureDelay = 450 * time.Millisecond // inside the window
	repeatDelay  = 400 * time.Millisecond // beyond the end of the window

	// smallSocketBuffer is a size in bytes that holds a part of a large request only.
	smallSocketBuffer = 4 << 10
)

// setSocketBuffers returns a function for net.Dialer.Control and net.ListenConfig.Control. It first waits for delay.
func setSocketBuffers(size int, delay func() time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		time.Sleep(delay())
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
	}
}

// repeatServer fails the request on its first connection after failureDelay, and counts the requests that arrive completely.
type repeatServer struct {
	readDelay   time.Duration // before it reads from further connections
	connections atomic.Int64
	requests    atomic.Int64
}

func (s *repeatServer) serve(c net.Conn) {
	defer c.Close()
	delay := failureDelay
	if s.connections.Add(1) > 1 {
		time.Sleep(s.readDelay)
		delay = 0
	}
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.requests.Add(1)
	time.Sleep(delay)
	respond(c, "500 Internal Server Error", "", "Connection: close")
}

// listenWithSmallBuffers listens until the test ends. The connections have small buffers.
func listenWithSmallBuffers(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: setSocketBuffers(smallSocketBuffer, func() time.Duration { return 0 })}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// listen serves connections with small buffers until the test ends, and returns the address.
func (s *repeatServer) listen(t *testing.T) string {
	t.Helper()
	ln := listenWithSmallBuffers(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return ln.Addr().String()
}

// Servers discard a repeated request with an idempotency key only for a time after the first attempt. The connection for a
// repeat may come up late, or its server may read late. No repeat may be complete after that time, because it would run
// again. The request is answered then, and not as rejected, which would invite its client to repeat it.
func TestRepeatIsNotSentAfterDedupWindow(t *testing.T) {
	for name, late := range map[string]struct{ connect, read time.Duration }{
		"late connection": {connect: repeatDelay},
		"late reading":    {read: repeatDelay},
	} {
		t.Run(name, func(t *testing.T) {
			server := &repeatServer{readDelay: late.read}
			address := server.listen(t)
			cfg := testConfig(t, "pushed", inServiceEndpoint("s-0", address), inServiceEndpoint("s-1", address))
			cfg.Discovery = silentDiscovery(t)
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].DedupScope, cfg.Settings.Classes[i].DedupWindow = balancer.ScopeAll, dedupWindow
			}
			var dials atomic.Int64
			n := startNode(t, cfg, func(n *Node) {
				n.pool.dialer.Control = setSocketBuffers(smallSocketBuffer, func() time.Duration {
					if dials.Add(1) > 1 {
						return late.connect
					}
					return 0
				})
			})
			status, _, _ := sendRequest(t, newRequest(t, n.url, "keyed", "1", strings.Repeat("x", maxBuffered/2)))
			if status != http.StatusBadGateway {
				t.Errorf("answered %d, want 502: the request may have run, and may run again", status)
			}
			stopAndCheckIdle(t, n)
			if requests := server.requests.Load(); requests != 1 || dials.Load() < 2 {
				t.Errorf("%d complete requests on %d connections, want 1 on at least 2", requests, dials.Load())
			}
			if got := n.engine.Violations.Total(); got != 0 {
				t.Errorf("%d violations of %v", got, invariants.Rules)
			}
		})
	}
}
