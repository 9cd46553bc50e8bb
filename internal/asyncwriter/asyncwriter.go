// Package asyncwriter writes lines to standard error without waiting for whoever reads it. What a pipe takes at once is
// written at once, so that a program that is killed has written all it had to say. What the pipe does not take is queued, up
// to a bound, and written by a goroutine that runs while the queue is not empty. A line that finds the queue full is
// dropped whole, and its writer gets ErrFull.
//
// It guards against a node that stops serving because its log is not read: a write to a full pipe blocks for ever.
package asyncwriter

import (
	"errors"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxQueuedBytes bounds the queue. What a capture holds in memory, written out at once, fits in.
	maxQueuedBytes = 1536 << 10
	// atomicWriteBytes is what a pipe that is ready for any byte takes without blocking: PIPE_BUF on Linux.
	atomicWriteBytes = 4 << 10
)

// ErrFull says that a line was dropped: nobody reads what was written before it. An operator has to see to whatever reads
// the node's standard error.
var ErrFull = errors.New("standard error takes nothing more; a line is dropped")

// Writer is an io.Writer that does not block. Each Write is one line or several whole ones. Its methods may be called from
// any goroutine.
type Writer struct {
	out *os.File
	fd  int32

	mu          sync.Mutex // of these; held in writes that don't block, never in one that may
	queue       [][]byte
	queuedBytes int
	drained     chan struct{} // closed when the queue is empty; nil: it is
}

// Stderr writes to standard error.
var Stderr = New(os.Stderr)

// New makes a Writer for a file, which it does not close.
func New(f *os.File) *Writer { return &Writer{out: f, fd: int32(f.Fd())} }

// Write writes a line, or queues it if it can't be written at once or others are queued. The error is ErrFull or that of
// the file; a queued line whose write fails is lost without one.
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

// ready says that a write of atomicWriteBytes would not block.
func (w *Writer) ready() bool {
	poll := []unix.PollFd{{Fd: w.fd, Events: unix.POLLOUT}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n == 1 && poll[0].Revents&unix.POLLOUT != 0
}

// drain writes what is queued, and returns when nothing is. A line counts as queued until it has been written.
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
		w.out.Write(line) // if it fails there is nowhere to report it
		w.mu.Lock()
		w.queue = w.queue[1:]
		w.queuedBytes -= len(line)
		w.mu.Unlock()
	}
}

// Flush waits until the queue is empty, but for timeout at most.
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
