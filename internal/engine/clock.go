package engine

import "time"

// Clock is monotonic and reads as Unix time at the start, so a server's boot time is a clock time.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since 1970 by this clock.
func (c Clock) Now() time.Duration { return time.Duration(c.start.UnixNano()) + time.Since(c.start) }

// At turns a clock time into one that deadlines of sockets understand.
func (c Clock) At(t time.Duration) time.Time {
	return c.start.Add(t - time.Duration(c.start.UnixNano()))
}

// Of is the clock time of a moment that was read on this machine while the process ran.
func (c Clock) Of(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
