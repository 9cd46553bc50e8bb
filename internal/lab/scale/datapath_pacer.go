package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// pacer waits until given times of the monotonic clock, to within some microseconds. A timer of the Go runtime may be a
// millisecond late in an otherwise idle process, which is more than the latencies that are measured. Only the goroutine
// that created a pacer may use it; that goroutine is locked to its thread until Close.
type pacer struct{ timer int }

// newPacer returns a pacer and locks the calling goroutine to its thread until Close.
func newPacer() (*pacer, error) {
	timer, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("scale: timer: %w", err)
	}
	runtime.LockOSThread()
	return &pacer{timer}, nil
}

// Wait returns when loopback.Monotonic reaches until, or immediately if that time has passed.
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

// Close closes the timer and unlocks the goroutine from its thread.
func (p *pacer) Close() error {
	runtime.UnlockOSThread()
	return unix.Close(p.timer)
}
