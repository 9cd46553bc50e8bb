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

const testTimeout = 10 * time.Second // an upper bound that only a broken link meets

// opened is a link to a listener whose connections come out of a channel.
func openTestLink(t *testing.T) (l *Link, far <-chan net.Conn) {
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

func nextConnection(t *testing.T, far <-chan net.Conn) net.Conn {
	t.Helper()
	select {
	case c := <-far:
		c.SetDeadline(time.Now().Add(testTimeout))
		t.Cleanup(func() { c.Close() })
		return c
	case <-time.After(testTimeout):
		t.Fatal("nothing came up at the far side")
		return nil
	}
}

func expectLine(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || got != want+"\n" {
		t.Fatalf("read %q, %v", got, err)
	}
}

func TestForwardsBothDirectionsAndHalfClose(t *testing.T) {
	l, far := openTestLink(t)
	near := dial(t, l)
	f := nextConnection(t, far)
	io.WriteString(near, "there\n")
	expectLine(t, f, "there")
	big := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		f.Write(big)
		f.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(near)
	if err != nil || !bytes.Equal(got, big) {
		t.Fatalf("%d bytes came back of %d, %v", len(got), len(big), err)
	}
	io.WriteString(near, "still\n") // only the far side's sending has ended
	expectLine(t, f, "still")
	if l.SessionsOpened() != 1 {
		t.Errorf("%d opened", l.SessionsOpened())
	}
}

// What is sent into silence arrives after it, the other direction goes on, and nothing new comes up.
func TestStallInOneDirection(t *testing.T) {
	for way, name := range []string{"out", "back"} {
		t.Run(name, func(t *testing.T) {
			l, far := openTestLink(t)
			near := dial(t, l)
			f := nextConnection(t, far)
			var fault Fault
			fault.Stall[way] = true
			if err := l.Set(fault); err != nil {
				t.Fatal(err)
			}
			ends := [2]net.Conn{near, f} // the writers, by way
			io.WriteString(ends[way], "held\n")
			io.WriteString(ends[1-way], "passes\n")
			expectLine(t, ends[way], "passes")
			reader := ends[1-way]
			reader.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, err := reader.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("read %d in silence, %v", n, err)
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
			for { // connections that the queue held come first, and say nothing
				c := nextConnection(t, far)
				if got, err := bufio.NewReader(c).ReadString('\n'); err == nil && got == "anew\n" {
					break
				}
			}
		})
	}
}

func TestRefusedConnectionsRecover(t *testing.T) {
	l, far := openTestLink(t)
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
		nextConnection(t, far)
	}
}

func TestResetReachesBothSides(t *testing.T) {
	l, far := openTestLink(t)
	near := dial(t, l)
	f := nextConnection(t, far)
	io.WriteString(near, "up\n")
	expectLine(t, f, "up")
	l.Reset()
	for _, c := range []net.Conn{near, f} {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read: %v", err)
		}
	}
}

func TestResetInTheMiddleOfAnAnswer(t *testing.T) {
	l, far := openTestLink(t)
	near := dial(t, l)
	f := nextConnection(t, far)
	if err := l.Set(Fault{ResetAfter: 7}); err != nil {
		t.Fatal(err)
	}
	io.WriteString(near, "a question that is longer\n")
	expectLine(t, f, "a question that is longer")
	io.WriteString(f, "an answer")
	got, err := io.ReadAll(near)
	if string(got) != "an answ"[:len(got)] || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, %v", got, err)
	}
}

// A far side that ends is not noticed while its end does not arrive.
func TestHeldFIN(t *testing.T) {
	l, far := openTestLink(t)
	near := dial(t, l)
	f := nextConnection(t, far)
	fault := Fault{}
	fault.HoldFIN[Downstream] = true
	if err := l.Set(fault); err != nil {
		t.Fatal(err)
	}
	f.(*net.TCPConn).CloseWrite()
	near.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the end arrived: %v", err)
	}
	if err := l.Set(Fault{}); err != nil {
		t.Fatal(err)
	}
	near.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after it: %v", err)
	}
}

func TestDelayAndRate(t *testing.T) {
	l, far := openTestLink(t)
	near := dial(t, l)
	f := nextConnection(t, far)
	const delay = 60 * time.Millisecond
	if err := l.Set(Fault{Delay: delay}); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for range 5 { // pieces on their way at once are late together
		io.WriteString(near, "x")
	}
	io.WriteString(near, "\n")
	expectLine(t, f, "xxxxx")
	if took := time.Since(began); took < delay {
		t.Errorf("it took %v", took)
	}
	if err := l.Set(Fault{BytesPerSecond: 100e3}); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	go f.Write(make([]byte, 20e3))
	if _, err := io.ReadFull(near, make([]byte, 20e3)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("20 kB at 100 kB a second took %v", took)
	}
}

// A far side that nobody listens at resets the caller, and Close ends whatever runs, also in silence.
func TestUnreachableTargetAndClose(t *testing.T) {
	l, err := Open(0, func() string { return "127.0.0.1:1" })
	if err != nil {
		t.Fatal(err)
	}
	near, err := net.DialTimeout("tcp", l.Addr(), testTimeout)
	if err == nil { // the reset may be there already
		near.SetDeadline(time.Now().Add(testTimeout))
		_, err = near.Read(make([]byte, 1))
		near.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) && err != io.EOF {
		t.Errorf("nobody there: %v", err)
	}
	l.Close()
	silent, far := openTestLink(t)
	near = dial(t, silent)
	nextConnection(t, far)
	if err := silent.Set(Fault{Stall: [2]bool{true, true}}); err != nil {
		t.Fatal(err)
	}
	io.WriteString(near, "x")
	silent.Close()
	if err := silent.Set(Fault{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("set after close: %v", err)
	}
}

// Each rig has a block of its own; one that finds all of them taken waits until one is free, or its time is over.
func TestClaimPortsWaitsForABlock(t *testing.T) {
	var firsts []int
	for range 2 { // of this test alone: rigs may run meanwhile
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
		t.Fatalf("two rigs have %d and %d, %v, %v", one, two, err, err2)
	}
	defer keep()
	over, end := context.WithCancel(t.Context())
	end()
	if _, _, err := claimPorts(over, sharedHost, firsts); err == nil {
		t.Error("a block that is taken is given away")
	}
	release()
	if again, free, err := claimPorts(t.Context(), sharedHost, firsts); err != nil || again != one {
		t.Errorf("%d, %v, want %d, which has come free", again, err, one)
	} else {
		free()
	}
}

// Who has no block takes no address of one: its rig may have given the address up for a fault.
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

// A queue is full when it takes no more, not when a caller's patience is over.
func TestQueueFullAsTheKernelReports(t *testing.T) {
	l, err := Listen(0, ForNode)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := SetBacklog(l, 2); err != nil {
		t.Fatal(err)
	}
	for n := range 3 { // the system takes one more than it was told
		if queueFull(l) {
			t.Errorf("full with %d", n)
		}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for !queueFull(l) { // its count lags behind
		runtime.Gosched()
	}
}

// Whether the caller still has its connection is seen in silence too.
func TestLiveClientDuringAStall(t *testing.T) {
	l, far := openTestLink(t)
	near := dial(t, l)
	other := nextConnection(t, far)
	if _, err := other.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); err != nil || !l.HasLiveClient() {
		t.Fatalf("%v, held %v", err, l.HasLiveClient())
	}
	if err := l.Set(Fault{Stall: [2]bool{Downstream: true}}); err != nil {
		t.Fatal(err)
	}
	if !l.HasLiveClient() {
		t.Error("not held though nobody has ended it")
	}
	near.Close()
	for end := time.Now().Add(5 * time.Second); l.HasLiveClient(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("held though its caller has ended it")
		}
	}
}
