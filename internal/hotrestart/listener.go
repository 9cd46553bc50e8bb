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
