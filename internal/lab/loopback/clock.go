package loopback

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the time since the start of the scenario.
func (w *World) now() time.Duration { return Monotonic() - time.Duration(w.startTick.Load()) }

// Monotonic returns the time of the system's monotonic clock, which all processes share.
func Monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // Linux always supports this clock
	}
	return time.Duration(t.Nano())
}

// incarnationStart returns the start time to record for an incarnation that starts now. An incarnation that starts
// before the run is recorded as of time 0 at the latest, because the clock restarts when the run begins: a start
// recorded as a few milliseconds of the old clock would seem to come after the first requests, as if the node had
// restarted and lost them. A worker's clock is not restarted in this way, see unsetStartTick.
func (w *World) incarnationStart() time.Duration {
	if w.worker == nil && !w.runStarted.Load() {
		return min(w.now(), 0)
	}
	return w.now()
}

// restartClock sets the scenario's time to 0. When Run calls it, servers have not served requests and discovery has no
// start times, so no stored time becomes invalid. Endpoints of which nodes were notified before count as known from the
// start.
func (w *World) restartClock() { w.setClock(Monotonic(), time.Now()) }

// setClock sets the start of the scenario, given as the same moment on the monotonic clock and on the wall clock.
func (w *World) setClock(startTick time.Duration, wall time.Time) {
	w.startWall.Store(wall.UnixNano())
	w.startTick.Store(int64(startTick))
}

// sleep waits for d. It returns false if the world has been shut down.
func (w *World) sleep(d time.Duration) bool {
	if d <= 0 {
		return w.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// Detection of late timers in a process of a rig.
const (
	latenessCheckInterval = 10 * time.Millisecond // time between two checks
	minLateness           = 20 * time.Millisecond // less is normal on a busy machine
)

// WatchLateness reports how late the timers of this process fire, until stop is closed. It reports each new maximum, so
// that other delays at that time can be attributed to the busy machine.
func WatchLateness(stop <-chan struct{}, report func(late time.Duration)) {
	tick := time.NewTimer(latenessCheckInterval)
	defer tick.Stop()
	for worst := minLateness; ; tick.Reset(latenessCheckInterval) {
		before := Monotonic()
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if late := Monotonic() - before - latenessCheckInterval; late > worst {
			worst = late
			report(late)
		}
	}
}
