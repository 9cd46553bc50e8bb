package hotrestart

import (
	"encoding/json"
	"net"
	"syscall"
	"time"
)

// descriptorByte is the byte with which the listening socket goes: a descriptor can't be sent without one.
const descriptorByte = 'h'

// HandOver hands the state and the listening socket to the process that was accepted. Messages that are sent during it must
// follow it: the caller holds Send back until it returns. After an error the caller closes the connection.
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
