package controller

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpUserTimeoutMS is how long sent data may stay unacknowledged before TCP closes the connection, in milliseconds. A
// machine that loses power does not close its connections, and the sessions of its nodes count as open until this
// timeout.
const tcpUserTimeoutMS = 3000

// setSocketOptions sets a listener's options, which the connections that it accepts inherit.
func setSocketOptions(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMS)
	})
	if err != nil {
		return err
	}
	return optionErr
}
