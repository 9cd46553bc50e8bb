package node

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// discardChunk is the size in bytes of one read that is discarded.
	discardChunk = 32 << 10

	// discardQuota is how much is discarded between two pauses of discardPause. It bounds the processor time for a client that
	// sends without end, and still reaches the end of 10 MB, which the kernels of both sides may hold, within 0.1 s.
	discardQuota = 512 << 10
)

// discardReceiveBuffer is the size in bytes of the kernel's receive buffer while input is discarded. Otherwise it would grow to many
// megabytes for a client that sends without end, and the end of the connection would arrive behind all of them.
const discardReceiveBuffer = 128 << 10

// discardSettleTime is how long no input must have come from a client whose input is discarded before it counts as still there.
const discardSettleTime = 10 * time.Millisecond

// discardPause is the pause after each discardQuota.
const discardPause = 2 * time.Millisecond

// discardBuffers holds unused buffers for input that is discarded.
var discardBuffers = sync.Pool{New: func() any { return new([discardChunk]byte) }}

// readUpTo waits for input and reads up to size bytes of it. It needs no memory while it waits.
func (a *readAheadBuffer) readUpTo(size int) (b []byte, err error) {
	if a.raw == nil {
		b = make([]byte, size)
		n, err := a.conn.Read(b)
		return b[:n], err
	}
	rawErr := a.raw.Read(func(fd uintptr) bool {
		scratch := discardBuffers.Get().(*[discardChunk]byte)
		defer discardBuffers.Put(scratch)
		var n int
		n, err = readSocket(fd, scratch[:size])
		b = append(b, scratch[:n]...)
		return !errors.Is(err, syscall.EAGAIN)
	})
	return b, cmp.Or(rawErr, err)
}

// discardInput reads and discards input until the connection ends or the reader is stopped.
func (a *readAheadBuffer) discardInput(stop <-chan struct{}) {
	if a.raw != nil {
		a.raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, discardReceiveBuffer) })
	}
	for pause := time.Duration(0); ; {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		discarded, err := a.discardOnce()
		if a.storeDiscarded(discarded, err) {
			return
		}
		if pause = 0; discarded >= discardQuota {
			pause = discardPause
		}
	}
}

// discardOnce waits for input, and reads and discards up to discardQuota of what has arrived.
func (a *readAheadBuffer) discardOnce() (discarded int, err error) {
	if a.raw == nil {
		return a.conn.Read(make([]byte, maxReadAhead))
	}
	rawErr := a.raw.Read(func(fd uintptr) bool {
		scratch := discardBuffers.Get().(*[discardChunk]byte)
		defer discardBuffers.Put(scratch)
		var n int
		for err = nil; err == nil && discarded < discardQuota; discarded += n {
			n, err = readSocket(fd, scratch[:])
		}
		if discarded > 0 && errors.Is(err, syscall.EAGAIN) {
			err = nil
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	return discarded, cmp.Or(rawErr, err)
}

// readSocket does one non-blocking read. It returns io.EOF at the end of the connection, syscall.EAGAIN if nothing has arrived, or
// another error of the operating system.
func readSocket(fd uintptr, b []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), b)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// storeDiscarded is storeRead for input that was discarded.
func (a *readAheadBuffer) storeDiscarded(bytes int, err error) (stop bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discardedBytes += bytes
	if bytes > 0 {
		a.lastDiscardAt = time.Now()
	}
	return a.recordEnd(err)
}

// discardUntilEnd reads and discards input until the connection ends, at most for a timeout and up to discardQuota.
func (a *readAheadBuffer) discardUntilEnd(timeout time.Duration) {
	a.conn.SetReadDeadline(time.Now().Add(timeout))
	for discarded := 0; discarded < discardQuota; {
		n, err := a.discardOnce()
		if err != nil {
			return
		}
		discarded += n
	}
}
