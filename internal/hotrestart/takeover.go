package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ErrNoListener means that the other process did not send a listening socket: it runs another program, or ended during the
// handover.
var ErrNoListener = errors.New("no listening socket was handed over")

// MismatchError means that this process can't use the handover state of the other process: the other process uses another
// protocol version, or belongs to another node whose name and address have the same hash.
type MismatchError struct {
	Version      int
	Node, Listen string
}

// FailedTakeOverError means that a process listens on the socket but did not hand over: it hangs, or can't be taken over from. It
// goes on running beside this one.
type FailedTakeOverError struct {
	Process Process // the zero value if it can't be identified
	Err     error
}

func (e *FailedTakeOverError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *FailedTakeOverError) Unwrap() error { return e.Err }

func (e *MismatchError) Error() string {
	advice := "another node uses the same socket: set a different $TMPDIR for one of the two nodes"
	if e.Version != Version {
		advice = "start a build with the same protocol version, or stop the old process first"
	}
	return fmt.Sprintf("can't use handover state of protocol version %d from node %q at %q: %s", e.Version, e.Node, e.Listen, advice)
}

// TakeOver gets the state and the listening socket of the process that listens on the Unix socket at path. The caller must
// close the listener, call Conn.Run and close the connection. The error wraps fs.ErrNotExist if nothing exists at path, and is a
// *FailedTakeOverError if a process listens there: that wraps ErrNoListener, a *MismatchError or an error of the connection. TakeOver returns after at most a
// few times handoverTimeout, whatever is at the path.
func TakeOver(path, node, listen string) (HandoverState, net.Listener, *Conn, error) {
	dialed, err := net.DialTimeout("unix", path, handoverTimeout)
	if err != nil {
		return HandoverState{}, nil, nil, err
	}
	socket := dialed.(*net.UnixConn)
	socket.SetDeadline(time.Now().Add(handoverTimeout)) // the system accepts connections even for a process that hangs
	conn := newConn(socket)
	process, _ := conn.PeerProcess() // now, since it may end; an error leaves it unknown
	ln, err := receiveListener(socket)
	if err != nil {
		conn.Close()
		return HandoverState{}, nil, nil, &FailedTakeOverError{process, err}
	}
	state, err := conn.receiveState(node, listen)
	if err != nil {
		ln.Close()
		conn.Close()
		return HandoverState{}, nil, nil, &FailedTakeOverError{process, err}
	}
	socket.SetDeadline(time.Time{})
	return state, ln, conn, nil
}

// receiveState reads the state, and checks that its version and node match.
func (c *Conn) receiveState(node, listen string) (HandoverState, error) {
	var state HandoverState
	if err := c.decoder.Decode(&state); err != nil {
		return HandoverState{}, err
	}
	if state.Version != Version || state.Node != node || state.Listen != listen {
		return HandoverState{}, &MismatchError{state.Version, state.Node, state.Listen}
	}
	return state, nil
}

// noListenerError returns ErrNoListener if err is nil, and otherwise an error that wraps both ErrNoListener and err.
func noListenerError(err error) error {
	if err == nil {
		return ErrNoListener
	}
	return fmt.Errorf("%w: %w", ErrNoListener, err)
}

// descriptorSize is the size in bytes of a descriptor in a control message.
const descriptorSize = 4

// receiveListener receives the listening socket. The descriptor refers to the same socket as that of the old process, so
// connections in the socket's accept queue are not lost.
func receiveListener(socket *net.UnixConn) (net.Listener, error) {
	data, control := make([]byte, 1), make([]byte, syscall.CmsgSpace(descriptorSize))
	_, n, _, _, err := socket.ReadMsgUnix(data, control)
	if err != nil {
		return nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return nil, noListenerError(err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return nil, noListenerError(err)
	}
	syscall.CloseOnExec(descriptors[0])
	f := os.NewFile(uintptr(descriptors[0]), "listener")
	defer f.Close() // net.FileListener duplicates the descriptor
	return net.FileListener(f)
}
