package configversion

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/configapi"
)

func appliedNode(name string, watchNumber uint64, decided configapi.Version) configapi.NodeStatus {
	return configapi.NodeStatus{Node: name, StartedMS: 1, WatchNumber: watchNumber, Connected: true, Cluster: "c", LastDecided: decided, Applied: decided, Outcome: configapi.Applied}
}

// The rollout state of a node follows from the connection, cluster, version and outcome in its report.
func TestRolloutStates(t *testing.T) {
	rejected := appliedNode("n", 1, 7)
	rejected.Outcome, rejected.Applied = configapi.Rejected, 6
	rejectedBefore := rejected
	rejectedBefore.LastDecided = 6
	foreign := appliedNode("n", 1, 9)
	foreign.Cluster, foreign.Outcome = "other", configapi.Rejected
	otherCluster := appliedNode("n", 1, 9)
	otherCluster.Cluster = "other"
	disconnected := appliedNode("n", 1, 7)
	disconnected.Connected = false
	for name, c := range map[string]struct {
		node configapi.NodeStatus
		want RolloutState
	}{
		"newest version in force":                    {appliedNode("n", 1, 7), RolloutCurrent},
		"one version older":                          {appliedNode("n", 1, 6), RolloutLagging},
		"no decision yet":                            {configapi.NodeStatus{Node: "n", Connected: true}, RolloutLagging},
		"rejected the newest version":                {rejected, RolloutRejected},
		"rejected an older version, lags now":        {rejectedBefore, RolloutLagging},
		"rejects another cluster":                    {foreign, RolloutRejected},
		"follows another cluster, rejects nothing":   {otherCluster, RolloutLagging},
		"without a session, newest version in force": {disconnected, RolloutDisconnected},
	} {
		t.Run(name, func(t *testing.T) {
			r := MergeStatuses([]configapi.ControllerStatus{{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{c.node}}})
			if got := r.Nodes[0].State; got != c.want {
				t.Errorf("state %s, want %s", got, c.want)
			}
			if want := c.want == RolloutCurrent || c.want == RolloutDisconnected; r.Complete() != want {
				t.Errorf("complete %v, want %v", r.Complete(), want)
			}
		})
	}
}

// A node has moved from one controller to another, and the first controller noticed the end of the old session late.
// The report about the newer session is used.
func TestRolloutPrefersNewestSession(t *testing.T) {
	atFirst, atSecond := appliedNode("n", 3, 5), appliedNode("n", 4, 7)
	atFirst.LastSeenMS, atFirst.Connected = 9000, false // the end of the older session was noticed later
	atSecond.LastSeenMS = 8000
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{atFirst}},
		{Name: "c2", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{atSecond}}})
	if len(r.Nodes) != 1 || r.Nodes[0].Controller != "c2" || r.Nodes[0].State != RolloutCurrent {
		t.Errorf("the merged report is %+v", r.Nodes)
	}
}

// A controller that was stalled reads the request of a watch that its node has already closed. Its report has a higher
// watch number, but the node has no session there.
func TestRolloutPrefersOpenSession(t *testing.T) {
	open, givenUp, olderProcess := appliedNode("n", 3, 7), appliedNode("n", 4, 6), appliedNode("n", 9, 6)
	givenUp.Connected, givenUp.LastSeenMS = false, 9000
	olderProcess.StartedMS = 0
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{givenUp}},
		{Name: "c2", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{open}},
		{Name: "c3", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{olderProcess}}})
	if len(r.Nodes) != 1 || r.Nodes[0].Controller != "c2" || r.Nodes[0].State != RolloutCurrent {
		t.Errorf("the merged report is %+v", r.Nodes)
	}
}

// A node that has opened and closed a second watch acknowledges to the controller of the first one. The controller of
// the second watch may not know yet that it was closed.
func TestRolloutPrefersGreaterVersionOfSameProcess(t *testing.T) {
	first, second := appliedNode("n", 3, 7), appliedNode("n", 4, 6)
	second.LastSeenMS = 9000
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{first}},
		{Name: "c2", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{second}}})
	if r.Nodes[0].Controller != "c1" || r.Nodes[0].State != RolloutCurrent {
		t.Errorf("the merged report is %+v", r.Nodes)
	}
}

// One controller lags, another has lost contact with the leader, and a third belongs to another cluster. Operators must
// see which controllers these are.
func TestRolloutListsBehindAndForeignControllers(t *testing.T) {
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true},
		{Name: "c2", Cluster: "c", Version: 6, HasLeaderContact: true},
		{Name: "c3", Cluster: "c", Version: 7, HasLeaderContact: false},
		{Name: "c4", Cluster: "d", Version: 9, HasLeaderContact: true},
		{Name: "c5"}})
	if r.Cluster != "c" || r.Version != 7 {
		t.Errorf("cluster %s, version %d", r.Cluster, r.Version)
	}
	if want := []string{"c2", "c3"}; !reflect.DeepEqual(r.BehindControllers, want) {
		t.Errorf("behind: %v, want %v", r.BehindControllers, want)
	}
	if want := []string{"c4", "c5"}; !reflect.DeepEqual(r.ForeignControllers, want) {
		t.Errorf("foreign: %v, want %v", r.ForeignControllers, want)
	}
	if r.Complete() {
		t.Error("the rollout is complete although controllers are behind")
	}
}

// The result does not depend on the order of the reports, and each node is counted once.
func TestRolloutDoesNotDependOnReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var statuses []configapi.ControllerStatus
		names := map[string]bool{}
		for _, controller := range []string{"c1", "c2", "c3"} {
			status := configapi.ControllerStatus{Name: controller, Cluster: "c", Version: configapi.Version(rapid.IntRange(0, 3).Draw(t, "version")), HasLeaderContact: true}
			for _, name := range []string{"n1", "n2", "n3"} {
				if !rapid.Bool().Draw(t, "known") {
					continue
				}
				names[name] = true
				node := appliedNode(name, uint64(rapid.IntRange(1, 4).Draw(t, "session")), configapi.Version(rapid.IntRange(0, 3).Draw(t, "held")))
				node.StartedMS = int64(rapid.IntRange(1, 2).Draw(t, "started"))
				node.LastSeenMS = int64(len(statuses)*10 + len(status.Nodes)) // no two are equal
				node.Connected = rapid.Bool().Draw(t, "connected")
				status.Nodes = append(status.Nodes, node)
			}
			statuses = append(statuses, status)
		}
		r := MergeStatuses(statuses)
		if got := r.Current + r.Lagging + r.Rejected + r.Disconnected; got != len(names) || len(r.Nodes) != len(names) {
			t.Fatalf("%d nodes counted, %d listed, %d known", got, len(r.Nodes), len(names))
		}
		reordered := MergeStatuses([]configapi.ControllerStatus{statuses[2], statuses[0], statuses[1]})
		if !reflect.DeepEqual(r.Nodes, reordered.Nodes) {
			t.Fatalf("the result depends on the order: %+v and %+v", r.Nodes, reordered.Nodes)
		}
	})
}

// A node opens a second watch while its first one is silent, and closes the second when the first one receives
// heartbeats again.
func TestMergeStatusesAfterSecondWatchWasClosed(t *testing.T) {
	first := configapi.NodeStatus{Node: "a", StartedMS: 1, WatchNumber: 1, Connected: true, LastSeenMS: 30, Cluster: "c", LastDecided: 9, Applied: 9, Outcome: configapi.Applied}
	second := configapi.NodeStatus{Node: "a", StartedMS: 1, WatchNumber: 2, LastSeenMS: 20, Cluster: "c", LastDecided: 1, Applied: 1, Outcome: configapi.Applied}
	for name, tc := range map[string]struct {
		first, second configapi.NodeStatus
		want          string
	}{
		"a version was acknowledged on the first watch": {first, second, "one"},
		"no version was published since": {first, func() configapi.NodeStatus {
			sameVersion := second
			sameVersion.LastDecided, sameVersion.Applied = 9, 9
			return sameVersion
		}(), "one"},
		"the node has moved to the second watch": {func() configapi.NodeStatus {
			closed := first
			closed.Connected = false
			return closed
		}(), func() configapi.NodeStatus {
			connected := second
			connected.Connected, connected.LastDecided, connected.Applied = true, 9, 9
			return connected
		}(), "two"},
	} {
		t.Run(name, func(t *testing.T) {
			merged := MergeStatuses([]configapi.ControllerStatus{
				{Name: "one", Cluster: "c", Version: 9, HasLeaderContact: true, Nodes: []configapi.NodeStatus{tc.first}},
				{Name: "two", Cluster: "c", Version: 9, HasLeaderContact: true, Nodes: []configapi.NodeStatus{tc.second}},
			})
			if merged.Current != 1 || len(merged.Nodes) != 1 || merged.Nodes[0].Controller != tc.want {
				t.Errorf("the merged report is %+v", merged)
			}
		})
	}
}
