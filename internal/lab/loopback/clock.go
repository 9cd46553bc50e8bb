package loopback

import (
	"time"

	"golang.org/x/sys/unix"
)

// now is the scenario's time.
func (w *World) now() time.Duration { return Monotonic() - time.Duration(w.startTick.Load()) }

// Monotonic is the system's monotonic clock, which is one for all its processes.
func Monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// incarnationStart is the present time, for an incarnation that begins. One that begins before the play, while the world
// comes up, counts from the play's start: the clock is restarted then, and a start recorded some milliseconds into the
// earlier count would stand behind the first requests, as if the node had forgotten them. A worker's clock has its start
// from the first, see beforeStart.
func (w *World) incarnationStart() time.Duration {
	if w.worker == nil && !w.playing.Load() {
		return min(w.now(), 0)
	}
	return w.now()
}

// restartClock begins the scenario's time now that all nodes are ready. Servers have done nothing yet and discovery knows
// no start times, so nothing holds an earlier time; what nodes were notified of so far counts as of the start.
func (w *World) restartClock() { w.setClock(Monotonic(), time.Now()) }

// setClock begins the scenario's time at a moment of the monotonic clock, which is one of the wall clock.
func (w *World) setClock(startTick time.Duration, wall time.Time) {
	w.startWall.Store(wall.UnixNano())
	w.startTick.Store(int64(startTick))
}

// sleep waits. It returns false if the world has ended in the meantime.
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

// How late a process of a rig may be before that is worth a report.
const (
	latenessInterval = 10 * time.Millisecond // between two looks
	minLateness      = 20 * time.Millisecond // below it every busy machine is
)

// WatchLateness reports, until stop, by how much a process of the rig is late, each time that it is worse than before: what
// else is late then may be the machine's doing.
func WatchLateness(stop <-chan struct{}, report func(late time.Duration)) {
	tick := time.NewTimer(latenessInterval)
	defer tick.Stop()
	for worst := minLateness; ; tick.Reset(latenessInterval) {
		before := Monotonic()
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if late := Monotonic() - before - latenessInterval; late > worst {
			worst = late
			report(late)
		}
	}
}
