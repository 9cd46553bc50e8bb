// Control of a listener's queue of pending connections.

package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// defaultBacklog is the queue length of a listener without a fault.
const defaultBacklog = 1024

// Limits on filling a listener's queue. One connection would be enough, but on a busy machine the kernel's count of
// queued connections lags behind.
const (
	queueFillAttempts = 16                    // maximum number of connections
	queueFillTimeout  = 50 * time.Millisecond // timeout of each connection
)

// resetAll resets connections and returns nil, so that a caller can clear its list in the same statement.
func resetAll(conns []net.Conn) []net.Conn {
	for _, conn := range conns {
		reset(conn)
	}
	return nil
}

// BlockConnects prevents new connections to a listener, as if its machine were off the network. It shortens the
// listener's queue and keeps it full with the connections that it returns. Accept then fails with
// os.ErrDeadlineExceeded, and its caller must wait until the block is lifted. To lift the block, reset the returned
// connections, then restore the backlog and clear the deadline.
func BlockConnects(listener *net.TCPListener) (fillers []net.Conn, err error) {
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
		case queueFull(listener): // otherwise the dial timed out because the machine is slow: try again
			return fillers, nil
		}
	}
	return fillers, nil
}

// queueFull reports whether a listener's queue is full. For a listening socket, the kernel's TCP_INFO holds the queue's
// length in Unacked and its limit in Sacked.
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

// SetBacklog sets how many connections can wait in a listener's queue. It returns the error of the system call.
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
