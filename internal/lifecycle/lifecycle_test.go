package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const kill = 3700 * time.Millisecond

func after(events ...Event) Machine {
	var m Machine
	for _, e := range events {
		m = m.Step(0, e, kill, false)
	}
	return m
}

func TestWhatANodeOwes(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                string
		m                   Machine
		at                  time.Duration
		ready, ends, sweeps bool
	}{
		{"starting", after(), 0, false, false, false},
		{"serving", after(Started), time.Hour, true, false, false},
		{"just drained", after(Started, OutOfService), 0, false, false, false},
		{"the front has noticed", after(Started, OutOfService), 400 * ms, false, true, false},
		{"well before 2 s", after(Started, OutOfService), 1300 * ms, false, true, true},
		{"drained again later", after(Started, OutOfService).Step(time.Second, OutOfService, 0, false), 1300 * ms, false, true, true},
		{"back", after(Started, OutOfService, InService), 1300 * ms, true, false, false},
		{"back twice", after(Started, OutOfService, InService, InService), 1300 * ms, true, false, false},
		{"drained anew", after(Started, OutOfService, InService).Step(time.Second, OutOfService, 0, false), 1300 * ms, false, false, false},
		{"drained as it starts", after(OutOfService, Started), 0, false, false, false},
		{"told to end", after(Started, Terminate), 0, false, false, false},
		{"in service again as it ends", after(Started, Terminate, InService), 0, false, false, false},
		{"near its end", after(Started, Terminate), 2900 * ms, false, true, false},
		{"at its end", after(Started, Terminate), 3000 * ms, false, true, true},
		{"ends while drained", after(Started, OutOfService, Terminate), 1300 * ms, false, true, true},
		{"has an heir", after(Started).Step(0, Terminate, kill, true), 0, false, true, false},
	} {
		_, sweeps := c.m.ClosesIdleConnections(c.at)
		if c.m.Ready() != c.ready || c.m.EndsConnections(c.at) != c.ends || sweeps != c.sweeps {
			t.Errorf("%s: ready %v, ends connections %v, sweeps %v", c.name, c.m.Ready(), c.m.EndsConnections(c.at), sweeps)
		}
	}
}

// Whatever is called in whatever order: the last of the two calls counts until the end, and there is no way back
// from that.
func TestAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		started, out, ended := false, false, false
		for now := range time.Duration(30) {
			e := Event(rapid.IntRange(0, 3).Draw(t, "event"))
			m = m.Step(now*time.Second/4, e, kill, false)
			switch e {
			case Started:
				started = true
			case Terminate:
				ended = true
			default:
				out = e == OutOfService
			}
			if m.Ready() != (started && !out && !ended) || m.ShuttingDown() != ended {
				t.Fatalf("started %v, out %v, ended %v: %+v", started, out, ended, m)
			}
			if cut := m.HardDeadline(); ended != (cut > 0) {
				t.Fatalf("cutoff %v", cut)
			}
		}
	})
}
