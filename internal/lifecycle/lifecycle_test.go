package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// untilKilled is how long a process has after SIGTERM.
const untilKilled = 3700 * time.Millisecond

// after is the Machine of a node that has had events at time 0.
func after(events ...Event) Machine {
	var m Machine
	for _, event := range events {
		m = m.Step(0, event, untilKilled, false)
	}
	return m
}

// Each row is a node some time after events: whether it takes new clients, whether responses close their connections, and
// whether idle connections are closed.
func TestConnectionsCloseByState(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                    string
		machine                 Machine
		at                      time.Duration
		ready, ends, closesIdle bool
	}{
		{"starting", after(), 0, false, false, false},
		{"serving", after(Started), time.Hour, true, false, false},
		{"just out of service", after(Started, OutOfService), 0, false, false, false},
		{"the load balancer has noticed", after(Started, OutOfService), 400 * ms, false, true, false},
		{"idle connections are closed", after(Started, OutOfService), 1300 * ms, false, true, true},
		{"out of service twice", after(Started, OutOfService).Step(time.Second, OutOfService, 0, false), 1300 * ms, false, true, true},
		{"back", after(Started, OutOfService, InService), 1300 * ms, true, false, false},
		{"back twice", after(Started, OutOfService, InService, InService), 1300 * ms, true, false, false},
		{"out of service again", after(Started, OutOfService, InService).Step(time.Second, OutOfService, 0, false), 1300 * ms, false, false, false},
		{"out of service as it starts", after(OutOfService, Started), 0, false, false, false},
		{"terminated", after(Started, Terminate), 0, false, false, false},
		{"in service again as it shuts down", after(Started, Terminate, InService), 0, false, false, false},
		{"900 ms before it may be killed", after(Started, Terminate), 2900 * ms, false, true, false},
		{"750 ms before it may be killed", after(Started, Terminate), 3000 * ms, false, true, true},
		{"terminated while out of service", after(Started, OutOfService, Terminate), 1300 * ms, false, true, true},
		{"terminated with a successor", after(Started).Step(0, Terminate, untilKilled, true), 0, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready, ends := c.machine.TakesNewClients(), c.machine.ResponsesCloseConnections(c.at)
			_, closesIdle := c.machine.ClosesIdleConnections(c.at)
			if ready != c.ready || ends != c.ends || closesIdle != c.closesIdle {
				t.Errorf("ready %v, ends connections %v, closes idle ones %v", ready, ends, closesIdle)
			}
		})
	}
}

// Operators call in any order, at any state. Of OutOfService and InService the last one counts, until the shutdown begins;
// from that there is no way back.
func TestAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		started, out, terminated := false, false, false
		for now := range time.Duration(30) {
			event := Event(rapid.IntRange(0, 3).Draw(t, "event"))
			m = m.Step(now*time.Second/4, event, untilKilled, false)
			switch event {
			case Started:
				started = true
			case Terminate:
				terminated = true
			default:
				out = event == OutOfService
			}
			if m.TakesNewClients() != (started && !out && !terminated) || m.ShuttingDown() != terminated {
				t.Fatalf("started %v, out %v, terminated %v: %+v", started, out, terminated, m)
			}
			if deadline := m.HardDeadline(); terminated != (deadline > 0) {
				t.Fatalf("hard deadline %v", deadline)
			}
		}
	})
}
