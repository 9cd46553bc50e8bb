package hotrestart

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// descriptorByte is the byte with which the listening socket goes: a descriptor can't be sent without one.
const descriptorByte = 'h'

// Listener accepts processes that want to take over.
type Listener struct{ ln *net.UnixListener }

// Listen opens the socket at a path, in place of whoever listened there before. It is made under another name and renamed:
// a process that connects in between finds the old socket or the new one, never none.
func Listen(path string) (*Listener, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh) // of a killed process with the same ID
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then another process may listen at the path
	if err := os.Rename(fresh, path); err != nil {
		ln.Close()
		os.Remove(fresh)
		return nil, err
	}
	return &Listener{ln}, nil
}

// Accept waits for a process that wants to take over, until Close.
func (l *Listener) Accept() (*Conn, error) {
	socket, err := l.ln.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newConn(socket), nil
}

// Close ends Accept. The path stays, and connections to it are refused.
func (l *Listener) Close() error { return l.ln.Close() }

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
