// Listeners whose queue of connections is full, or short.

package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// defaultBacklog is how many connections wait at a listener that works.
const defaultBacklog = 1024

// Filling of a listener's queue: one connection would do, but on a busy machine the kernel's count lags behind.
const (
	queueFillAttempts = 16                    // connections that are tried at most
	queueFillTimeout  = 50 * time.Millisecond // for each of them
)

// resetAll resets connections and returns nil, the empty list.
func resetAll(conns []net.Conn) []net.Conn {
	for _, conn := range conns {
		reset(conn)
	}
	return nil
}

// StopConnects has no new connection come up at a listener, as if its machine were off the network: its queue is made
// short and kept full by the connections returned. Accept ends with os.ErrDeadlineExceeded; whoever accepts must wait.
// To undo it, reset the connections, and set backlog and deadline anew.
func StopConnects(listener *net.TCPListener) (fillers []net.Conn, err error) {
	listener.SetDeadline(time.Now())
	if err := SetBacklog(listener, 0); err != nil {
		return nil, err
	}
	for range queueFillAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), queueFillTimeout)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
		cancel()
		switch {
		case err == nil:
			fillers = append(fillers, conn)
		case queueFull(listener): // otherwise the machine was slow: try again
			return fillers, nil
		}
	}
	return fillers, nil
}

// queueFull reports whether a listener's queue takes no more connections. For a listening socket the kernel's TCP_INFO
// has the queue's length in Unacked and its limit in Sacked.
func queueFull(listener *net.TCPListener) (full bool) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err != nil || info.Unacked > info.Sacked
	})
	return full
}

// SetBacklog sets how many connections wait at a listener to be accepted. The error is the system's.
func SetBacklog(listener *net.TCPListener, length int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}
