package controller

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpUserTimeoutMS is how long data may stay without the other machine's acknowledgement before a connection is given up, in
// milliseconds: a machine that is gone does not close its connections.
const tcpUserTimeoutMS = 3000

// setSocketOptions sets a listener's options, which the connections that it accepts inherit.
func setSocketOptions(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMS)
	})
	if err != nil {
		return err
	}
	return failed
}
