package hotrestart

import (
	"encoding/json"
	"net"
	"syscall"
	"time"
)

// descriptorByte is the byte that is sent together with the descriptor of the listening socket: a descriptor can't be sent
// without data.
const descriptorByte = 'h'

// HandOver sends the listening socket and the state to the process that has connected. Send must not be called before
// HandOver has returned, because messages must follow the state. After an error, the caller must close the connection.
func (c *Conn) HandOver(state HandoverState, ln *net.TCPListener) error {
	c.socket.SetDeadline(time.Now().Add(handoverTimeout))
	if err := c.sendListener(ln); err != nil {
		return err
	}
	state.Version = Version
	if err := json.NewEncoder(c.socket).Encode(state); err != nil {
		return err
	}
	return c.socket.SetDeadline(time.Time{})
}

// sendListener sends the descriptor of the listening socket.
func (c *Conn) sendListener(ln *net.TCPListener) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	err = raw.Control(func(descriptor uintptr) {
		_, _, sent = c.socket.WriteMsgUnix([]byte{descriptorByte}, syscall.UnixRights(int(descriptor)), nil)
	})
	if err != nil {
		return err
	}
	return sent
}
