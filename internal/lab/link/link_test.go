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

// testTimeout is an upper bound that only a broken link reaches.
const testTimeout = 10 * time.Second

// openTestLink opens a link to a listener whose connections come out of a channel.
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

// expectLine reads one line and wants it to be as given.
func expectLine(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || got != want+"\n" {
		t.Fatalf("read %q, %v", got, err)
	}
}

func TestForwardsBothDirectionsAndHalfClose(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	io.WriteString(client, "there\n")
	expectLine(t, server, "there")
	big := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		server.Write(big)
		server.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(client)
	if err != nil || !bytes.Equal(got, big) {
		t.Fatalf("%d bytes came back of %d, %v", len(got), len(big), err)
	}
	io.WriteString(client, "still\n") // only the far side's sending has ended
	expectLine(t, server, "still")
	if l.SessionsOpened() != 1 {
		t.Errorf("%d opened", l.SessionsOpened())
	}
}

// A path that loses everything in one direction, as after a broken route: what is sent meanwhile arrives once the stall is
// over, the other direction goes on, and no new connection comes up.
func TestStallInOneDirection(t *testing.T) {
	for direction, name := range []string{"upstream", "downstream"} {
		t.Run(name, func(t *testing.T) {
			l, accepted := openTestLink(t)
			client := dial(t, l)
			server := nextConnection(t, accepted)
			var fault Fault
			fault.Stall[direction] = true
			if err := l.Set(fault); err != nil {
				t.Fatal(err)
			}
			ends := [2]net.Conn{client, server} // the writers, by direction
			io.WriteString(ends[direction], "held\n")
			io.WriteString(ends[1-direction], "passes\n")
			expectLine(t, ends[direction], "passes")
			reader := ends[1-direction]
			reader.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, err := reader.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("read %d during the stall, %v", n, err)
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), 100*time.Millisecond); err == nil {
				c.Close()
				t.Error("a new connection came up")
			}
			if err := l.Set(Fault{}); err != nil {
				t.Fatal(err)
			}
			reader.SetReadDeadline(time.Now().Add(testTimeout))
			expectLine(t, reader, "held")
			io.WriteString(dial(t, l), "anew\n")
			for { // connections that the queue held come first, and send nothing
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
		if err := l.Set(Fault{Refuse: true}); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dialed while refused: %v", err)
		}
		if err := l.Set(Fault{}); err != nil {
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
			t.Errorf("read: %v", err)
		}
	}
}

func TestResetInTheMiddleOfAnAnswer(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	if err := l.Set(Fault{ResetAfter: 7}); err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "a question that is longer\n")
	expectLine(t, server, "a question that is longer")
	io.WriteString(server, "an answer")
	got, err := io.ReadAll(client)
	if string(got) != "an answ"[:len(got)] || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, %v", got, err)
	}
}

// A half-open connection: the server has ended it, but its FIN does not arrive, so the client does not notice until the
// fault is over.
func TestHeldFIN(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	fault := Fault{}
	fault.HoldFIN[Downstream] = true
	if err := l.Set(fault); err != nil {
		t.Fatal(err)
	}
	server.(*net.TCPConn).CloseWrite()
	client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the FIN arrived: %v", err)
	}
	if err := l.Set(Fault{}); err != nil {
		t.Fatal(err)
	}
	client.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the fault: %v", err)
	}
}

func TestDelayAndRate(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	server := nextConnection(t, accepted)
	const delay = 60 * time.Millisecond
	if err := l.Set(Fault{Delay: delay}); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for range 5 { // chunks under way at once are delayed together
		io.WriteString(client, "x")
	}
	io.WriteString(client, "\n")
	expectLine(t, server, "xxxxx")
	if took := time.Since(began); took < delay {
		t.Errorf("it took %v", took)
	}
	if err := l.Set(Fault{BytesPerSecond: 100e3}); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	go server.Write(make([]byte, 20e3))
	if _, err := io.ReadFull(client, make([]byte, 20e3)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("20 kB at 100 kB a second took %v", took)
	}
}

// A target where nobody listens resets the client, and Close ends whatever runs, also during a stall.
func TestUnreachableTargetAndClose(t *testing.T) {
	l, err := Open(0, func() string { return "127.0.0.1:1" })
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.DialTimeout("tcp", l.Addr(), testTimeout)
	if err == nil { // the reset may be there already
		client.SetDeadline(time.Now().Add(testTimeout))
		_, err = client.Read(make([]byte, 1))
		client.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) && err != io.EOF {
		t.Errorf("no listener: %v", err)
	}
	l.Close()
	stalled, accepted := openTestLink(t)
	client = dial(t, stalled)
	nextConnection(t, accepted)
	if err := stalled.Set(Fault{Stall: [2]bool{true, true}}); err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "x")
	stalled.Close()
	if err := stalled.Set(Fault{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("set after close: %v", err)
	}
}

// Each rig has a block of its own; one that finds all of them taken waits until one is free or its context ends. Rigs that
// shared a block would take addresses which another one has closed for a while to play an outage.
func TestClaimPortsWaitsForABlock(t *testing.T) {
	var firsts []int
	for range 2 { // of this test alone: rigs may run at the same time
		ln, err := Listen(0, ForNode)
		if err != nil {
			t.Fatal(err)
		}
		firsts = append(firsts, ln.Addr().(*net.TCPAddr).Port)
		ln.Close()
	}
	one, release, err := claimPorts(t.Context(), sharedHost, firsts)
	two, keep, err2 := claimPorts(t.Context(), sharedHost, firsts)
	if err != nil || err2 != nil || one == two {
		t.Fatalf("two rigs have blocks %d and %d, %v, %v", one, two, err, err2)
	}
	defer keep()
	over, end := context.WithCancel(t.Context())
	end()
	if _, _, err := claimPorts(over, sharedHost, firsts); err == nil {
		t.Error("a block that is taken was claimed again")
	}
	release()
	if again, free, err := claimPorts(t.Context(), sharedHost, firsts); err != nil || again != one {
		t.Errorf("%d, %v, want %d, which has come free", again, err, one)
	} else {
		free()
	}
}

// A listener without a block takes no address of one: the rig of the block may have closed the address for a fault.
func TestListenWithoutABlock(t *testing.T) {
	ln, err := Listen(0, ForServer)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if host := ln.Addr().(*net.TCPAddr).IP.String(); host == blockHost {
		t.Errorf("%v may be in a block", ln.Addr())
	}
}

// The queue counts as full when the kernel says so, not when a connection takes long to come up: on a busy machine a slow
// connect would otherwise pass for a full queue.
func TestQueueFullAsTheKernelReports(t *testing.T) {
	l, err := Listen(0, ForNode)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := SetBacklog(l, 2); err != nil {
		t.Fatal(err)
	}
	for n := range 3 { // the kernel takes one more than the backlog
		if queueFull(l) {
			t.Errorf("full with %d", n)
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

// Whether the client still has its connection is known during a stall too: the rig asks after an outage whether a node kept
// its old connection or opened a new one.
func TestLiveClientDuringAStall(t *testing.T) {
	l, accepted := openTestLink(t)
	client := dial(t, l)
	other := nextConnection(t, accepted)
	if _, err := other.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); err != nil || !l.HasLiveClient() {
		t.Fatalf("%v, live client %v", err, l.HasLiveClient())
	}
	if err := l.Set(Fault{Stall: [2]bool{Downstream: true}}); err != nil {
		t.Fatal(err)
	}
	if !l.HasLiveClient() {
		t.Error("no live client though nobody has ended the connection")
	}
	client.Close()
	for end := time.Now().Add(5 * time.Second); l.HasLiveClient(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("a live client though it has ended the connection")
		}
	}
}
