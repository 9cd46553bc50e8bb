package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testKillDelay is the time from SIGTERM until a process may be killed.
const testKillDelay = 3700 * time.Millisecond

// machineAfter returns the Machine of a node after events at time 0.
func machineAfter(events ...Event) Machine {
	var m Machine
	for _, event := range events {
		m = m.Step(0, event, testKillDelay, false)
	}
	return m
}

// Some time after a sequence of events: whether the node takes new clients, whether responses close their connections,
// and whether idle connections are closed.
func TestConnectionsCloseByState(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                              string
		machine                           Machine
		at                                time.Duration
		ready, responsesClose, closesIdle bool
	}{
		{"starting", machineAfter(), 0, false, false, false},
		{"serving", machineAfter(Started), time.Hour, true, false, false},
		{"just out of service", machineAfter(Started, OutOfService), 0, false, false, false},
		{"the load balancer has noticed", machineAfter(Started, OutOfService), 400 * ms, false, true, false},
		{"idle connections are closed", machineAfter(Started, OutOfService), 1300 * ms, false, true, true},
		{"out of service twice", machineAfter(Started, OutOfService).Step(time.Second, OutOfService, 0, false), 1300 * ms, false, true, true},
		{"in service again", machineAfter(Started, OutOfService, InService), 1300 * ms, true, false, false},
		{"in service again, twice", machineAfter(Started, OutOfService, InService, InService), 1300 * ms, true, false, false},
		{"out of service again", machineAfter(Started, OutOfService, InService).Step(time.Second, OutOfService, 0, false), 1300 * ms, false, false, false},
		{"out of service while starting", machineAfter(OutOfService, Started), 0, false, false, false},
		{"terminated", machineAfter(Started, Terminate), 0, false, false, false},
		{"in service again while shutting down", machineAfter(Started, Terminate, InService), 0, false, false, false},
		{"900 ms before the process may be killed", machineAfter(Started, Terminate), 2900 * ms, false, true, false},
		{"750 ms before the process may be killed", machineAfter(Started, Terminate), 3000 * ms, false, true, true},
		{"terminated while out of service", machineAfter(Started, OutOfService, Terminate), 1300 * ms, false, true, true},
		{"terminated with a successor", machineAfter(Started).Step(0, Terminate, testKillDelay, true), 0, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready, responsesClose := c.machine.TakesNewClients(), c.machine.ResponsesCloseConnections(c.at)
			_, closesIdle := c.machine.ClosesIdleConnections(c.at)
			if ready != c.ready || responsesClose != c.responsesClose || closesIdle != c.closesIdle {
				t.Errorf("ready %v, responses close connections %v, idle connections are closed %v", ready, responsesClose, closesIdle)
			}
		})
	}
}

// Operators may make their calls in any order and in any state. The last OutOfService or InService before the shutdown is
// effective. A shutdown is final.
func TestEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		started, out, terminated := false, false, false
		for now := range time.Duration(30) {
			event := Event(rapid.IntRange(0, 3).Draw(t, "event"))
			m = m.Step(now*time.Second/4, event, testKillDelay, false)
			switch event {
			case Started:
				started = true
			case Terminate:
				terminated = true
			default:
				out = event == OutOfService
			}
			if m.TakesNewClients() != (started && !out && !terminated) || m.ShuttingDown() != terminated {
				t.Fatalf("started %v, out of service %v, terminated %v: %+v", started, out, terminated, m)
			}
			if deadline := m.HardDeadline(); terminated != (deadline > 0) {
				t.Fatalf("hard deadline %v", deadline)
			}
		}
	})
}
