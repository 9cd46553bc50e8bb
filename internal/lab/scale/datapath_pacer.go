package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// pacer waits for moments of the monotonic clock to within some microseconds. A timer of the runtime may be a
// millisecond late in a process that has nothing else to do, which is more than what is to be measured. Its methods
// are one goroutine's, which keeps its thread meanwhile.
type pacer struct{ timer int }

// newPacer takes the goroutine's thread until Close.
func newPacer() (*pacer, error) {
	timer, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("scale: timer: %w", err)
	}
	runtime.LockOSThread()
	return &pacer{timer}, nil
}

// Wait returns at a moment of loopback.Monotonic, or at once if that has passed.
func (p *pacer) Wait(until time.Duration) error {
	if loopback.Monotonic() >= until {
		return nil
	}
	expiry := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(until))}
	if err := unix.TimerfdSettime(p.timer, unix.TFD_TIMER_ABSTIME, &expiry, nil); err != nil {
		return fmt.Errorf("scale: timer: %w", err)
	}
	var expirations [8]byte
	for {
		_, err := unix.Read(p.timer, expirations[:])
		if err != unix.EINTR {
			return err
		}
	}
}

// Close releases the thread.
func (p *pacer) Close() error {
	runtime.UnlockOSThread()
	return unix.Close(p.timer)
}
