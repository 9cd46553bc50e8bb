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

// The state of a node follows from its report, in all combinations of cluster, version and outcome.
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
		"the newest version in force":         {appliedNode("n", 1, 7), RolloutCurrent},
		"one version behind":                  {appliedNode("n", 1, 6), RolloutLagging},
		"nothing said yet":                    {configapi.NodeStatus{Node: "n", Connected: true}, RolloutLagging},
		"rejected the newest":                 {rejected, RolloutRejected},
		"rejected an older one, lags now":     {rejectedBefore, RolloutLagging},
		"rejects another cluster":             {foreign, RolloutRejected},
		"has another cluster, says nothing":   {otherCluster, RolloutLagging},
		"without a session, whatever it held": {disconnected, RolloutDisconnected},
	} {
		t.Run(name, func(t *testing.T) {
			r := MergeStatuses([]configapi.ControllerStatus{{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{c.node}}})
			if got := r.Nodes[0].State; got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if want := c.want == RolloutCurrent || c.want == RolloutDisconnected; r.Complete() != want {
				t.Errorf("complete %v, want %v", r.Complete(), want)
			}
		})
	}
}

// A node has moved from one controller to another, and the first one saw the end of its session last. The newer session
// counts.
func TestRolloutPrefersNewestSession(t *testing.T) {
	atFirst, atSecond := appliedNode("n", 3, 5), appliedNode("n", 4, 7)
	atFirst.LastSeenMS, atFirst.Connected = 9000, false // the older session's end was seen later
	atSecond.LastSeenMS = 8000
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{atFirst}},
		{Name: "c2", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{atSecond}}})
	if len(r.Nodes) != 1 || r.Nodes[0].Controller != "c2" || r.Nodes[0].State != RolloutCurrent {
		t.Errorf("merged into %+v", r.Nodes)
	}
}

// A controller that was stalled reads, late, the request of a watch that its node has given up: the node has a higher
// watch number there, and no session.
func TestRolloutPrefersOpenSession(t *testing.T) {
	open, givenUp, olderProcess := appliedNode("n", 3, 7), appliedNode("n", 4, 6), appliedNode("n", 9, 6)
	givenUp.Connected, givenUp.LastSeenMS = false, 9000
	olderProcess.StartedMS = 0
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{givenUp}},
		{Name: "c2", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{open}},
		{Name: "c3", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{olderProcess}}})
	if len(r.Nodes) != 1 || r.Nodes[0].Controller != "c2" || r.Nodes[0].State != RolloutCurrent {
		t.Errorf("merged into %+v", r.Nodes)
	}
}

// A node that has opened a second watch and closed it acknowledges by the first one; the controller of the second one
// may not know yet that it was closed.
func TestRolloutPrefersGreaterVersionOfSameProcess(t *testing.T) {
	first, second := appliedNode("n", 3, 7), appliedNode("n", 4, 6)
	second.LastSeenMS = 9000
	r := MergeStatuses([]configapi.ControllerStatus{
		{Name: "c1", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{first}},
		{Name: "c2", Cluster: "c", Version: 7, HasLeaderContact: true, Nodes: []configapi.NodeStatus{second}}})
	if r.Nodes[0].Controller != "c1" || r.Nodes[0].State != RolloutCurrent {
		t.Errorf("merged into %+v", r.Nodes)
	}
}

// A controller lags or has lost its leader, and another one belongs to a second cluster: operators must see which.
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
		t.Error("complete though controllers are behind")
	}
}

// The order in which controllers answer changes nothing, and each node is counted once.
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
				node.LastSeenMS = int64(len(statuses)*10 + len(status.Nodes)) // no two the same
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
			t.Fatalf("the order matters: %+v and %+v", r.Nodes, reordered.Nodes)
		}
	})
}

// A node opens a second watch while its first one is silent, and closes it when the first one sends heartbeats again.
func TestMergeStatusesAfterSecondWatchWasClosed(t *testing.T) {
	first := configapi.NodeStatus{Node: "a", StartedMS: 1, WatchNumber: 1, Connected: true, LastSeenMS: 30, Cluster: "c", LastDecided: 9, Applied: 9, Outcome: configapi.Applied}
	second := configapi.NodeStatus{Node: "a", StartedMS: 1, WatchNumber: 2, LastSeenMS: 20, Cluster: "c", LastDecided: 1, Applied: 1, Outcome: configapi.Applied}
	for name, tc := range map[string]struct {
		first, second configapi.NodeStatus
		want          string
	}{
		"a version was acknowledged by the first one": {first, second, "one"},
		"no version has come since": {first, func() configapi.NodeStatus {
			sameVersion := second
			sameVersion.LastDecided, sameVersion.Applied = 9, 9
			return sameVersion
		}(), "one"},
		"the node has moved to the second one": {func() configapi.NodeStatus {
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
				t.Errorf("merged into %+v", merged)
			}
		})
	}
}
