// Package asyncwriter hands lines to standard error without waiting for whoever reads it. What a pipe takes at once is
// written at once, so that a program that is killed has said all; what it does not take waits in a bounded queue that a
// goroutine of its own works off while there is anything in it; what finds the queue full is dropped whole and told.
package asyncwriter

import (
	"errors"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	most   = 1536 << 10 // bytes that wait: what a capture holds, written out at once, has room
	atOnce = 4 << 10    // what a pipe that has room for anything takes whole
)

// ErrFull says that a line was dropped: nobody reads what was written before it.
var ErrFull = errors.New("standard error takes nothing more; a line is dropped")

// Writer is a writer that does not wait. Each Write is a line, or several whole ones.
type Writer struct {
	out *os.File
	fd  int32

	mu      sync.Mutex
	waiting [][]byte
	size    int
	idle    chan struct{} // closed when nothing waits any more; nil: nothing does
}

// Stderr is standard error.
var Stderr = New(os.Stderr)

// New makes a Spool for a file.
func New(f *os.File) *Writer { return &Writer{out: f, fd: int32(f.Fd())} }

// Write writes what can be written at once, and lets the rest wait.
func (s *Writer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil && len(line) <= atOnce && s.room() {
		return s.out.Write(line)
	}
	if s.size+len(line) > most {
		return 0, ErrFull
	}
	s.waiting = append(s.waiting, append([]byte(nil), line...))
	s.size += len(line)
	if s.idle == nil {
		s.idle = make(chan struct{})
		go s.work(s.idle)
	}
	return len(line), nil
}

// room says that a write of atOnce bytes would not wait.
func (s *Writer) room() bool {
	poll := []unix.PollFd{{Fd: s.fd, Events: unix.POLLOUT}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n == 1 && poll[0].Revents&unix.POLLOUT != 0
}

// work writes what waits, and ends when nothing does.
func (s *Writer) work(idle chan struct{}) {
	defer close(idle)
	for {
		s.mu.Lock()
		if len(s.waiting) == 0 {
			s.waiting, s.idle = nil, nil
			s.mu.Unlock()
			return
		}
		line := s.waiting[0]
		s.mu.Unlock()
		s.out.Write(line) // where it fails there is nobody left to tell
		s.mu.Lock()
		s.waiting = s.waiting[1:]
		s.size -= len(line)
		s.mu.Unlock()
	}
}

// Flush waits until nothing waits any more, though not for long.
func (s *Writer) Flush(patience time.Duration) {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()
	if idle == nil {
		return
	}
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case <-idle:
	case <-late.C:
	}
}
