// Listeners whose queue of connections is full, or short.

package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func resetAll(fill []net.Conn) []net.Conn {
	for _, c := range fill {
		reset(c)
	}
	return nil
}

// Hush has no new connection come up at a listener, as if its machine were off the network: its queue is made short and
// kept full by the connections returned. Accept ends with a deadline; whoever accepts must wait. Reset them, and set
// backlog and deadline anew, to end it.
func StopConnects(ln *net.TCPListener) (fill []net.Conn, err error) {
	ln.SetDeadline(time.Now())
	if err := SetBacklog(ln, 0); err != nil {
		return nil, err
	}
	for range 16 { // one would do, but on a busy machine the queue's count lags behind
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
		cancel()
		switch {
		case err == nil:
			fill = append(fill, c)
		case queueFull(ln): // else it was the machine that was slow
			return fill, nil
		}
	}
	return fill, nil
}

// full says that a listener's queue takes no more: of one that listens the system tells here how many wait, and how many
// may.
func queueFull(ln *net.TCPListener) (yes bool) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = err != nil || info.Unacked > info.Sacked
	})
	return yes
}

// Backlog sets how many connections wait at a listener to be accepted.
func SetBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}
