package hotrestart

import (
	"fmt"
	"net"
	"os"
)

// Listener accepts connections from processes that want to take over.
type Listener struct{ ln *net.UnixListener }

// Listen opens the socket at a path and replaces the socket of an earlier process. It creates the socket under a temporary
// name and renames it, so that a process that connects meanwhile finds either the old or the new socket.
func Listen(path string) (*Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary) // may be left over from a killed process with the same ID
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // when ln is closed, another process may already listen at the path
	if err := os.Rename(temporary, path); err != nil {
		ln.Close()
		os.Remove(temporary)
		return nil, err
	}
	return &Listener{ln}, nil
}

// Accept waits until a process that wants to take over connects. It fails after Close.
func (l *Listener) Accept() (*Conn, error) {
	socket, err := l.ln.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newConn(socket), nil
}

// Close closes the listener and ends Accept. The socket file remains, and connections to it are refused.
func (l *Listener) Close() error { return l.ln.Close() }
