package engine

import "time"

// Clock is a monotonic clock that starts at the current Unix time, so that its readings can be compared with the start
// times of servers, which discovery reports as Unix time. Later steps of the wall clock do not affect it.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the Unix epoch on this clock.
func (c Clock) Now() time.Duration { return c.epoch() + time.Since(c.start) }

// ToTime converts a time of this clock to a time.Time, for the deadlines of sockets and contexts.
func (c Clock) ToTime(t time.Duration) time.Time { return c.start.Add(t - c.epoch()) }

// FromTime converts a time.Time to a time of this clock. t must have a monotonic clock reading, as returned by time.Now in
// this process. Without one, steps of the wall clock would affect the result.
func (c Clock) FromTime(t time.Time) time.Duration { return c.epoch() + t.Sub(c.start) }

// epoch returns the Unix time at which the clock started.
func (c Clock) epoch() time.Duration { return time.Duration(c.start.UnixNano()) }
