package node

import (
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// inputWatchInterval is how often the watched connections are checked.
	inputWatchInterval = 20 * time.Millisecond

	// unreadInputShare is the part of the kernel's receive buffer that may stay unread, as a divisor. With more, the kernel may
	// tell the client to wait, and then the end of the connection can't arrive.
	unreadInputShare = 2
)

// inputWatcher checks the connections whose clients have sent more than the open request. It needs one goroutine for all of
// them, and no memory for their input, which stays in the kernel.
type inputWatcher struct {
	mu      sync.Mutex
	watched map[*readAheadBuffer]bool
	running bool // the goroutine runs; it ends when nothing is left to watch
}

func newInputWatcher() *inputWatcher { return &inputWatcher{watched: map[*readAheadBuffer]bool{}} }

// add begins to watch a connection.
func (w *inputWatcher) add(a *readAheadBuffer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[a] = true
	if !w.running {
		w.running = true
		go w.run()
	}
}

// remove ends watching a connection. A check of it may still be in progress.
func (w *inputWatcher) remove(a *readAheadBuffer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watched, a)
}

// run checks all watched connections every inputWatchInterval until there are none.
func (w *inputWatcher) run() {
	tick := time.NewTicker(inputWatchInterval)
	defer tick.Stop()
	for range tick.C {
		connections := w.snapshot()
		if len(connections) == 0 {
			return
		}
		for _, a := range connections {
			a.checkInput()
		}
	}
}

// snapshot returns the watched connections. If there are none, the goroutine counts as ended.
func (w *inputWatcher) snapshot() (connections []*readAheadBuffer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = len(w.watched) > 0
	for a := range w.watched {
		connections = append(connections, a)
	}
	return connections
}

// receiveBufferFull reports whether unread input fills the kernel's buffer so far that the end of the connection may not reach
// it. It returns true if the state is unknown.
func (a *readAheadBuffer) receiveBufferFull() (full bool) {
	full = true
	if a.raw == nil {
		return full
	}
	a.raw.Control(func(fd uintptr) {
		memory, err := socketMemory(fd)
		full = err != nil || memory.used >= memory.size/unreadInputShare
	})
	return full
}

// receiveMemory is the memory of a socket's receive buffer, in bytes.
type receiveMemory struct{ used, size uint32 }

// socketMemory returns the memory of a socket's receive buffer (SO_MEMINFO).
func socketMemory(fd uintptr) (receiveMemory, error) {
	const usedIndex, sizeIndex, values = 0, 1, 9 // SK_MEMINFO_RMEM_ALLOC, SK_MEMINFO_RCVBUF, SK_MEMINFO_VARS
	var info [values]uint32
	length := uint32(unsafe.Sizeof(info))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&length)), 0)
	if errno != 0 {
		return receiveMemory{}, errno
	}
	return receiveMemory{used: info[usedIndex], size: info[sizeIndex]}, nil
}

// unreadBytes returns how many bytes have arrived on a client's connection and were not read. It is 0 if that is unknown.
func unreadBytes(c *clientConn) int64 {
	if c == nil {
		return 0
	}
	return c.readAhead.kernelUnread()
}
