package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func newTestTable(maxSessions int) *nodeTable {
	return newNodeTable(configversion.NewPlacement(configapi.ControllerAddress{Address: "a:1"}, maxSessions, 10))
}

func mustOpen(t *testing.T, table *nodeTable, r configapi.WatchRequest) *session {
	t.Helper()
	s, err := table.openSession(r, noon)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A controller is at its session limit. It rejects new nodes and names alternatives, but a node with a session may
// replace it.
func TestSessionsAreBounded(t *testing.T) {
	table := newTestTable(2)
	table.setOtherControllers([]configversion.ControllerLoad{{Controller: configapi.ControllerAddress{Address: "b:1"}, Sessions: 1, Available: true}}, noon)
	first := mustOpen(t, table, configapi.WatchRequest{Node: "n1", Service: "dry"})
	mustOpen(t, table, configapi.WatchRequest{Node: "n2", Service: "dry"})
	_, err := table.openSession(configapi.WatchRequest{Node: "n3", Service: "dry"}, noon)
	if err == nil || err.Kind != configapi.ErrorNoCapacity || len(err.Alternatives) != 1 || err.Alternatives[0].Address != "b:1" {
		t.Errorf("opening a third session with a limit of two: error %+v", err)
	}
	mustOpen(t, table, configapi.WatchRequest{Node: "n1", Service: "dry", WatchNumber: 2}) // replaces the older session of n1
	select {
	case <-first.done:
	default:
		t.Error("the older session of n1 is still open")
	}
	table.closeSession(first, noon)
	if n := table.sessionCount(); n != 2 {
		t.Errorf("%d sessions are open, want 2", n)
	}
}

// Two processes use the same node name. The older process must not replace the session of the newer one.
func TestOlderProcessOfANodeIsRejected(t *testing.T) {
	table := newTestTable(5)
	mustOpen(t, table, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 2, WatchNumber: 1})
	_, err := table.openSession(configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, WatchNumber: 9}, noon)
	if err == nil || err.Kind != configapi.ErrorInvalid {
		t.Errorf("opening a session for an older process: error %+v", err)
	}
}

// Acknowledgements of an older session or an older version arrive late. They are ignored.
func TestLateAcknowledgementsAreIgnored(t *testing.T) {
	table := newTestTable(5)
	s := mustOpen(t, table, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 5, WatchNumber: 2, Cluster: "c", LastDecided: 3, Applied: 3})
	ack := configapi.Acknowledgement{Node: "n1", StartedMS: 5, WatchNumber: 2, Cluster: "c", Outcome: configapi.Applied}
	for _, modify := range []func(*configapi.Acknowledgement){
		func(a *configapi.Acknowledgement) { a.Version, a.Applied = 7, 7 },
		func(a *configapi.Acknowledgement) { a.Version, a.Applied = 6, 6 },
		func(a *configapi.Acknowledgement) { a.Version, a.Applied, a.WatchNumber = 9, 9, 1 },
		func(a *configapi.Acknowledgement) { a.Version, a.Applied, a.StartedMS = 9, 9, 4 },
	} {
		a := ack
		modify(&a)
		if err := table.acknowledge(a, noon); err != nil {
			t.Error(err)
		}
	}
	if got := table.listStatuses(noon)[0]; got.LastDecided != 7 || got.Applied != 7 || got.Outcome != configapi.Applied {
		t.Errorf("the status of the node is %+v", got)
	}
	if s.needsConfig("c", 7) || !s.needsConfig("c", 8) || !s.needsConfig("d", 1) {
		t.Error("the session has the wrong applied version")
	}
	ack.Node = "n9"
	if err := table.acknowledge(ack, noon); err == nil || err.Kind != configapi.ErrorInvalid {
		t.Errorf("acknowledgement of a node without a session: error %+v", err)
	}
}

// A node that reconnects states why it rejected its last version. The reason is part of its status, truncated.
func TestRejectionIsRecorded(t *testing.T) {
	table := newTestTable(5)
	rejection := &configapi.Rejection{Kind: configapi.RejectInvalid, Message: "no such class"}
	mustOpen(t, table, configapi.WatchRequest{Node: "n1", Service: "dry", Cluster: "c", LastDecided: 4, Applied: 3, LastRejected: true, RejectionReason: rejection.Error()})
	got := table.listStatuses(noon)[0]
	if got.Outcome != configapi.Rejected || got.Rejection == nil || *got.Rejection != *rejection {
		t.Errorf("the status of the node is %+v", got)
	}
	long := configapi.WatchRequest{Node: "n2", Service: "dry", LastDecided: 4, LastRejected: true, RejectionReason: strings.Repeat("x", 2*configapi.MaxReasonBytes)}
	mustOpen(t, table, long)
	if got := table.listStatuses(noon)[1].Rejection.Message; len(got) != configapi.MaxReasonBytes {
		t.Errorf("the recorded reason has %d bytes, want configapi.MaxReasonBytes", len(got))
	}
}

// A node that was shut down is listed as disconnected for disconnectedNodeRetention, and is then removed.
func TestDisconnectedNodesAreForgotten(t *testing.T) {
	table := newTestTable(5)
	s := mustOpen(t, table, configapi.WatchRequest{Node: "n1", Service: "dry"})
	mustOpen(t, table, configapi.WatchRequest{Node: "n2", Service: "dry"})
	table.closeSession(s, noon)
	if list := table.listStatuses(noon.Add(disconnectedNodeRetention)); len(list) != 2 || list[0].Connected || !list[1].Connected {
		t.Errorf("after %v: %+v", disconnectedNodeRetention, list)
	}
	if list := table.listStatuses(noon.Add(disconnectedNodeRetention + time.Millisecond)); len(list) != 1 || list[0].Node != "n2" {
		t.Errorf("after the retention time: %+v", list)
	}
}

// Nodes have a new name at each start. The table removes those that have been disconnected for the longest time, so
// that it does not grow.
func TestNodeTableIsBounded(t *testing.T) {
	table := newTestTable(5)
	table.maxEntries = 3
	for i := range 5 {
		s := mustOpen(t, table, configapi.WatchRequest{Node: fmt.Sprint("n", i), Service: "dry"})
		table.closeSession(s, noon.Add(time.Duration(i)*time.Second))
	}
	list := table.listStatuses(noon)
	if len(list) != 3 || list[0].Node != "n2" {
		t.Errorf("nodes in the table: %+v", list)
	}
}

// A controller shuts down. Its nodes are distributed over the other controllers, and new nodes are rejected.
func TestDrainAsksAllNodesToMigrate(t *testing.T) {
	table := newTestTable(5)
	table.setOtherControllers([]configversion.ControllerLoad{{Controller: configapi.ControllerAddress{Address: "b:1"}, Available: true}, {Controller: configapi.ControllerAddress{Address: "c:1"}, Available: true}}, noon)
	var sessions []*session
	for i := range 4 {
		sessions = append(sessions, mustOpen(t, table, configapi.WatchRequest{Node: fmt.Sprint("n", i), Service: "dry"}))
	}
	table.drain(noon)
	targets := map[string]int{}
	for _, s := range sessions {
		select {
		case target := <-s.migrationTarget:
			targets[target.Address]++
		default:
			t.Error("a session was not asked to migrate")
		}
	}
	if targets["b:1"] != 2 || targets["c:1"] != 2 {
		t.Errorf("targets of the four sessions: %v, want two each", targets)
	}
	if _, err := table.openSession(configapi.WatchRequest{Node: "n9", Service: "dry"}, noon); err == nil || err.Kind != configapi.ErrorNoCapacity {
		t.Errorf("opening a session during shutdown: error %+v", err)
	}
}
