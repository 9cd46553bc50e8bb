package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// testTimeout is an upper bound that is reached only if the link is broken.
const testTimeout = 10 * time.Second

// openTestLink opens a link to a listener and returns a channel of the connections that the listener accepts.
func openTestLink(t *testing.T) (l *Link, accepted <-chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			got <- c
		}
	}()
	if l, err = Open(0, func() string { return ln.Addr().String() }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ln.Close()
		l.Close()
	})
	return l, got
}

// dial connects to a link; the connection is closed at the end of the test.
func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Addr(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { c.Close() })
	return c
}

// nextConnection waits for a connection to reach the target.
func nextConnection(t *testing.T, accepted <-chan net.Conn) net.Conn {
	t.Helper()
	select {
	case c := <-accepted:
		c.SetDeadline(time.Now().Add(testTimeout))
		t.Cleanup(func() { c.Close() })
		return c
	case <-time.After(testTimeout):
		t.Fatal("no connection reached the target")
		return nil
	}
}

// expectLine reads one line and compares it with want.
func expectLine(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || got != want+"\n" {
		t.Fatalf("read %q, %v, want the line %q", got, err, want)
	}
}

func TestForwardsBothDirectionsAfterHalfClose(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	io.WriteString(client, "there\n")
	expectLine(t, server, "there")
	payload := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		server.Write(payload)
		server.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(client)
	if err != nil || !bytes.Equal(got, payload) {
		t.Fatalf("received %d of %d bytes, %v", len(got), len(payload), err)
	}
	io.WriteString(client, "still\n") // only the downstream direction has ended
	expectLine(t, server, "still")
	if l.SessionsOpened() != 1 {
		t.Errorf("%d sessions opened, want 1", l.SessionsOpened())
	}
}

// A stall simulates a route that is broken in one direction. Bytes sent in that direction are delivered after the
// stall, the other direction is not affected, and no new connection is established.
func TestStallInOneDirection(t *testing.T) {
	for direction, name := range []string{"upstream", "downstream"} {
		t.Run(name, func(t *testing.T) {
			l, accepted := openTestLink(t)
			client := dial(t, l)
			server := nextConnection(t, accepted)
			var fault Fault
			fault.Stall[direction] = true
			if err := l.SetFault(fault); err != nil {
				t.Fatal(err)
			}
			ends := [2]net.Conn{client, server} // the writers, by direction
			io.WriteString(ends[direction], "held\n")
			io.WriteString(ends[1-direction], "passes\n")
			expectLine(t, ends[direction], "passes")
			reader := ends[1-direction]
			reader.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, err := reader.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("read %d bytes during the stall, %v, want a timeout", n, err)
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), 100*time.Millisecond); err == nil {
				c.Close()
				t.Error("a new connection was established during the stall")
			}
			if err := l.SetFault(Fault{}); err != nil {
				t.Fatal(err)
			}
			reader.SetReadDeadline(time.Now().Add(testTimeout))
			expectLine(t, reader, "held")
			io.WriteString(dial(t, l), "anew\n")
			for { // connections from the listener's queue are accepted first and send nothing
				c := nextConnection(t, accepted)
				if got, err := bufio.NewReader(c).ReadString('\n'); err == nil && got == "anew\n" {
					break
				}
			}
		})
	}
}

func TestRefusedConnectionsRecover(t *testing.T) {
	l, accepted := openTestLink(t)
	for range 2 {
		if err := l.SetFault(Fault{Refuse: true}); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial while connections are refused: %v, want ECONNREFUSED", err)
		}
		if err := l.SetFault(Fault{}); err != nil {
			t.Fatal(err)
		}
		dial(t, l)
		nextConnection(t, accepted)
	}
}

func TestResetReachesBothSides(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	io.WriteString(client, "up\n")
	expectLine(t, server, "up")
	l.Reset()
	for _, c := range []net.Conn{client, server} {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read after the reset: %v, want ECONNRESET", err)
		}
	}
}

func TestResetAfterPartialResponse(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	if err := l.SetFault(Fault{ResetAfter: 7}); err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "a question that is longer\n")
	expectLine(t, server, "a question that is longer")
	io.WriteString(server, "an answer")
	got, err := io.ReadAll(client)
	if string(got) != "an answ"[:len(got)] || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v, want at most 7 bytes and ECONNRESET", got, err)
	}
}

// A held FIN simulates a half-open connection: the server has closed it, but the client does not notice until the fault
// ends.
func TestHeldFIN(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	fault := Fault{}
	fault.HoldFIN[Downstream] = true
	if err := l.SetFault(fault); err != nil {
		t.Fatal(err)
	}
	server.(*net.TCPConn).CloseWrite()
	client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read while the FIN is held: %v, want a timeout", err)
	}
	if err := l.SetFault(Fault{}); err != nil {
		t.Fatal(err)
	}
	client.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the fault: %v, want EOF", err)
	}
}

func TestDelayAndBandwidthLimit(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	const delay = 60 * time.Millisecond
	if err := l.SetFault(Fault{Delay: delay}); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for range 5 { // the delays of chunks in transit overlap
		io.WriteString(client, "x")
	}
	io.WriteString(client, "\n")
	expectLine(t, server, "xxxxx")
	if took := time.Since(began); took < delay {
		t.Errorf("delivery took %v, want at least %v", took, delay)
	}
	if err := l.SetFault(Fault{BytesPerSecond: 100e3}); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	go server.Write(make([]byte, 20e3))
	if _, err := io.ReadFull(client, make([]byte, 20e3)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("20 kB at 100 kB/s took %v, want at least 150ms", took)
	}
}

// If no process listens at the target, the link resets the client. Close ends all connections, even during a stall.
func TestUnreachableTargetAndCloseDuringStall(t *testing.T) {
	l, err := Open(0, func() string { return "127.0.0.1:1" })
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.DialTimeout("tcp", l.Addr(), testTimeout)
	if err == nil { // the dial may already have failed with the reset
		client.SetDeadline(time.Now().Add(testTimeout))
		_, err = client.Read(make([]byte, 1))
		client.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) && err != io.EOF {
		t.Errorf("no listener at the target: %v, want a reset", err)
	}
	l.Close()
	stalled, accepted := openTestLink(t)
	client = dial(t, stalled)
	nextConnection(t, accepted)
	if err := stalled.SetFault(Fault{Stall: [2]bool{true, true}}); err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "x")
	stalled.Close()
	if err := stalled.SetFault(Fault{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("SetFault after Close: %v, want net.ErrClosed", err)
	}
}

// Each rig claims a separate block. If all blocks are claimed, a rig waits until one is free or its context ends. Rigs
// in the same block could take addresses that another rig has closed temporarily to simulate an outage.
func TestClaimPortsWaitsForABlock(t *testing.T) {
	var firstPorts []int
	for range 2 { // ports outside the blocks, because rigs may run at the same time
		ln, err := Listen(0, ForNode)
		if err != nil {
			t.Fatal(err)
		}
		firstPorts = append(firstPorts, ln.Addr().(*net.TCPAddr).Port)
		ln.Close()
	}
	first, releaseFirst, err := claimPorts(t.Context(), sharedHost, firstPorts)
	second, releaseSecond, err2 := claimPorts(t.Context(), sharedHost, firstPorts)
	if err != nil || err2 != nil || first == second {
		t.Fatalf("two rigs claimed blocks %d and %d, %v, %v", first, second, err, err2)
	}
	defer releaseSecond()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := claimPorts(canceled, sharedHost, firstPorts); err == nil {
		t.Error("a block was claimed twice")
	}
	releaseFirst()
	if again, releaseAgain, err := claimPorts(t.Context(), sharedHost, firstPorts); err != nil || again != first {
		t.Errorf("claimed block %d, %v, want the released block %d", again, err, first)
	} else {
		releaseAgain()
	}
}

// A listener without a block must not use an address of a block: a rig may have closed that address temporarily for a
// fault.
func TestListenWithoutBlockUsesSharedHost(t *testing.T) {
	ln, err := Listen(0, ForServer)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if host := ln.Addr().(*net.TCPAddr).IP.String(); host == blockHost {
		t.Errorf("%v is on the host of the blocks", ln.Addr())
	}
}

// A queue is full when the kernel's count says so, not when a connect times out: on a busy machine a slow connect would
// be mistaken for a full queue.
func TestQueueFullUsesKernelCount(t *testing.T) {
	l, err := Listen(0, ForNode)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := SetBacklog(l, 2); err != nil {
		t.Fatal(err)
	}
	for n := range 3 { // the kernel accepts one more connection than the backlog
		if queueFull(l) {
			t.Errorf("the queue is full with %d connections", n)
		}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for !queueFull(l) { // the kernel's count lags behind
		runtime.Gosched()
	}
}

// HasLiveClient works during a stall as well: after an outage, the rig uses it to check whether a node has kept its old
// connection or opened a new one.
func TestHasLiveClientDuringStall(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); err != nil || !l.HasLiveClient() {
		t.Fatalf("read: %v; HasLiveClient returned %v, want true", err, l.HasLiveClient())
	}
	if err := l.SetFault(Fault{Stall: [2]bool{Downstream: true}}); err != nil {
		t.Fatal(err)
	}
	if !l.HasLiveClient() {
		t.Error("HasLiveClient returned false while the connection is open")
	}
	client.Close()
	for end := time.Now().Add(5 * time.Second); l.HasLiveClient(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("HasLiveClient still returns true after the client has closed the connection")
		}
	}
}
