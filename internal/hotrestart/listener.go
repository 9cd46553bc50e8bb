package hotrestart

import (
	"fmt"
	"net"
	"os"
)

// Listener accepts processes that want to take over.
type Listener struct{ ln *net.UnixListener }

// Listen opens the socket at a path, in place of whoever listened there before. It is made under another name and renamed:
// a process that connects in between finds the old socket or the new one, never none.
func Listen(path string) (*Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary) // of a killed process with the same ID
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then another process may listen at the path
	if err := os.Rename(temporary, path); err != nil {
		ln.Close()
		os.Remove(temporary)
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
