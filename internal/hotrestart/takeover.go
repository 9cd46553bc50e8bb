package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ErrNoListener says that a process sent no listening socket: it is none of this program, or ended as it handed over.
var ErrNoListener = errors.New("no listening socket was handed over")

// MismatchError says that the process at a socket hands over what this one can't use: it is of another version of the
// protocol, or of another node whose name and address have the same hash.
type MismatchError struct {
	Version      int
	Node, Listen string
}

func (e *MismatchError) Error() string {
	advice := "another node has the same socket: give one of the two another $TMPDIR"
	if e.Version != Version {
		advice = "start a build of the same protocol version, or stop the old process first"
	}
	return fmt.Sprintf("handover state of version %d, node %q at %q: %s", e.Version, e.Node, e.Listen, advice)
}

// TakeOver asks the process that listens at a path for its state and its listening socket. The caller closes the listener,
// and runs and closes the connection. The error wraps fs.ErrNotExist where there is no other process, and is ErrNoListener,
// a *MismatchError, or that of the connection else. It returns within a few handoverTimeouts, whatever is at the path.
func TakeOver(path, node, listen string) (HandoverState, net.Listener, *Conn, error) {
	dialed, err := net.DialTimeout("unix", path, handoverTimeout)
	if err != nil {
		return HandoverState{}, nil, nil, err
	}
	socket := dialed.(*net.UnixConn)
	socket.SetDeadline(time.Now().Add(handoverTimeout)) // a process that hangs accepts connections and sends nothing
	ln, err := receiveListener(socket)
	if err != nil {
		socket.Close()
		return HandoverState{}, nil, nil, err
	}
	conn := newConn(socket)
	state, err := conn.receiveState(node, listen)
	if err != nil {
		ln.Close()
		conn.Close()
		return HandoverState{}, nil, nil, err
	}
	socket.SetDeadline(time.Time{})
	return state, ln, conn, nil
}

// receiveState reads the state of this node.
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

// noListenerError is ErrNoListener with what is wrong, if that is known.
func noListenerError(err error) error {
	if err == nil {
		return ErrNoListener
	}
	return fmt.Errorf("%w: %w", ErrNoListener, err)
}

// descriptorSize is the size of a descriptor in a control message.
const descriptorSize = 4

// receiveListener reads the one byte that carries the listening socket. It is the very socket of the old process, so that
// connections that wait in its queue are not lost.
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
	defer f.Close() // net.FileListener has a copy
	return net.FileListener(f)
}
