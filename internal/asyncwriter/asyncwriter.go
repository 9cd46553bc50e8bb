// Package asyncwriter writes lines to standard error without blocking on its reader. A short line that the
// pipe can accept is written immediately, so that it is not lost if the program is killed. Other lines are added to a
// bounded queue, which a goroutine writes; the goroutine runs only while the queue is not empty. If the queue is full, the
// whole line is dropped and Write returns ErrFull.
//
// Without this package a node would stop serving when nothing reads its log, because a write to a full pipe blocks forever.
package asyncwriter

import (
	"errors"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxQueuedBytes limits the size of the queue. A dump of the whole ring buffer of a capture fits.
	maxQueuedBytes = 1536 << 10
	// atomicWriteBytes is the size of a write that does not block if the pipe is writable: PIPE_BUF on Linux.
	atomicWriteBytes = 4 << 10
)

// ErrFull is returned for a line that was dropped because earlier lines are not being read. An operator must check the
// process that reads the node's standard error.
var ErrFull = errors.New("standard error is not being read and its queue is full: line dropped")

// Writer is an io.Writer that does not block. Each Write must consist of one or more whole lines. Its methods may be called
// from any goroutine.
type Writer struct {
	out *os.File
	fd  int32

	mu          sync.Mutex // protects the fields below; held during non-blocking writes, never during a write that may block
	queue       [][]byte
	queuedBytes int
	drained     chan struct{} // closed when the queue is empty; nil: the queue is empty
}

// Stderr is the Writer for standard error.
var Stderr = New(os.Stderr)

// New returns a Writer for a file. The Writer does not close the file.
func New(f *os.File) *Writer { return &Writer{out: f, fd: int32(f.Fd())} }

// Write writes a line, or queues it if other lines are queued or the write could block. The error is ErrFull
// or an error of the file. If the write of a queued line fails, the line is lost and no error is returned.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drained == nil && len(line) <= atomicWriteBytes && w.ready() {
		return w.out.Write(line)
	}
	if w.queuedBytes+len(line) > maxQueuedBytes {
		return 0, ErrFull
	}
	w.queue = append(w.queue, append([]byte(nil), line...))
	w.queuedBytes += len(line)
	if w.drained == nil {
		w.drained = make(chan struct{})
		go w.drain(w.drained)
	}
	return len(line), nil
}

// ready reports whether a write of atomicWriteBytes would not block.
func (w *Writer) ready() bool {
	poll := []unix.PollFd{{Fd: w.fd, Events: unix.POLLOUT}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n == 1 && poll[0].Revents&unix.POLLOUT != 0
}

// drain writes the queued lines and returns when the queue is empty. A line stays in the queue until it is written.
func (w *Writer) drain(drained chan struct{}) {
	defer close(drained)
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.queue, w.drained = nil, nil
			w.mu.Unlock()
			return
		}
		line := w.queue[0]
		w.mu.Unlock()
		w.out.Write(line) // an error can't be reported anywhere
		w.mu.Lock()
		w.queue = w.queue[1:]
		w.queuedBytes -= len(line)
		w.mu.Unlock()
	}
}

// Flush waits until the queue is empty, but not longer than timeout.
func (w *Writer) Flush(timeout time.Duration) {
	w.mu.Lock()
	drained := w.drained
	w.mu.Unlock()
	if drained == nil {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
	}
}
