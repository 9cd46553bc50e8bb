package engine

import "time"

// Clock is a monotonic clock that reads as Unix time at its start, so that the start time of a server, which discovery
// gives as Unix time, can be compared with it. Steps of the wall clock after the start do not move it.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since 1970 by this clock.
func (c Clock) Now() time.Duration { return c.epoch() + time.Since(c.start) }

// ToTime turns a time of this clock into a time.Time, for the deadlines of sockets and contexts.
func (c Clock) ToTime(t time.Duration) time.Time { return c.start.Add(t - c.epoch()) }

// FromTime turns a time.Time into a time of this clock. It must have a reading of the monotonic clock, as time.Now gives it in
// this process: without one, steps of the wall clock would show.
func (c Clock) FromTime(t time.Time) time.Duration { return c.epoch() + t.Sub(c.start) }

// epoch is the time since 1970 at the clock's start.
func (c Clock) epoch() time.Duration { return time.Duration(c.start.UnixNano()) }
