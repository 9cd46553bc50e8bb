package configversion

import (
	"cmp"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// RolloutState is the state of a node with respect to the newest version. MergeStatuses derives it from reports;
// nothing else changes it.
type RolloutState string

// Rollout states.
const (
	RolloutCurrent      RolloutState = "current"  // connected, and the newest version is applied
	RolloutLagging      RolloutState = "lagging"  // connected, and has not decided on the newest version yet
	RolloutRejected     RolloutState = "rejected" // connected, and rejected the newest version, or all of another cluster
	RolloutDisconnected RolloutState = "away"     // has no session
)

// NodeRollout is the state of one node in a Rollout.
type NodeRollout struct {
	configapi.NodeStatus
	State      RolloutState `json:"state"`
	Controller string       `json:"controller"` // name of the one whose report counts
}

// Rollout says where the newest version is in force.
type Rollout struct {
	Cluster      configapi.Cluster `json:"cluster"`
	Version      configapi.Version `json:"version"` // the newest of any controller of the cluster
	Nodes        []NodeRollout     `json:"nodes"`   // by name
	Current      int               `json:"current"`
	Lagging      int               `json:"lagging"`
	Rejected     int               `json:"rejected"`
	Disconnected int               `json:"away"`
	// BehindControllers are the names of controllers that have an older version, or no contact with the leader.
	BehindControllers []string `json:"behind,omitempty"`
	// ForeignControllers are the names of controllers of another cluster than most.
	ForeignControllers []string `json:"foreign,omitempty"`
}

// Complete reports whether the newest version is in force at all connected nodes, and all controllers have it.
// Disconnected nodes do not count: nobody knows whether they still exist.
func (r Rollout) Complete() bool {
	return r.Lagging == 0 && r.Rejected == 0 && len(r.BehindControllers) == 0 && len(r.ForeignControllers) == 0
}

// MergeStatuses merges the reports of several controllers. Of a node that more than one of them reports, the report
// that supersedes the others counts. The result does not depend on the order of the reports.
func MergeStatuses(statuses []configapi.ControllerStatus) Rollout {
	var r Rollout
	r.Cluster, r.Version = newestVersion(statuses)
	nodes := map[string]NodeRollout{}
	for _, status := range statuses {
		switch {
		case status.Cluster != r.Cluster:
			r.ForeignControllers = append(r.ForeignControllers, status.Name)
		case status.Version < r.Version || !status.HasLeaderContact:
			r.BehindControllers = append(r.BehindControllers, status.Name)
		}
		for _, node := range status.Nodes {
			known, ok := nodes[node.Node]
			if !ok || r.supersedes(node, known.NodeStatus) {
				nodes[node.Node] = NodeRollout{NodeStatus: node, Controller: status.Name}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		node.State = r.stateOf(node.NodeStatus)
		r.countState(node.State)
		r.Nodes = append(r.Nodes, node)
	}
	return r
}

// newestVersion finds the cluster of most controllers (of equals, the first by name) and its newest version.
func newestVersion(statuses []configapi.ControllerStatus) (configapi.Cluster, configapi.Version) {
	controllerCounts := map[configapi.Cluster]int{}
	versions := map[configapi.Cluster]configapi.Version{}
	for _, status := range statuses {
		if status.Cluster != "" {
			controllerCounts[status.Cluster]++
			versions[status.Cluster] = max(versions[status.Cluster], status.Version)
		}
	}
	var best configapi.Cluster
	for cluster := range controllerCounts {
		if order := cmp.Or(cmp.Compare(controllerCounts[cluster], controllerCounts[best]), cmp.Compare(best, cluster)); order > 0 {
			best = cluster
		}
	}
	return best, versions[best]
}

// supersedes reports whether report x counts before report y of the same node. In this order:
//   - the report about the node's newer process;
//   - of one process, the greater version decided, whatever its session: the version of one cluster never falls, and a
//     node may open a second watch and close it again because the first one came back to life;
//   - that of a controller which has a session with the node: a controller that was stalled may read the request of a
//     watch that was given up long before;
//   - that of the newer session, and the later one.
func (r *Rollout) supersedes(x, y configapi.NodeStatus) bool {
	return cmp.Or(
		cmp.Compare(x.StartedMS, y.StartedMS),
		cmp.Compare(r.decidedVersion(x), r.decidedVersion(y)),
		compareBool(x.Connected, y.Connected),
		cmp.Compare(x.WatchNumber, y.WatchNumber),
		cmp.Compare(x.LastSeenMS, y.LastSeenMS)) > 0
}

// decidedVersion is the newest version of the rollout's cluster that a node has decided on.
func (r *Rollout) decidedVersion(node configapi.NodeStatus) configapi.Version {
	if node.Cluster != r.Cluster {
		return 0
	}
	return node.LastDecided
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// stateOf is the state of a node by the report that counts.
func (r *Rollout) stateOf(node configapi.NodeStatus) RolloutState {
	switch {
	case !node.Connected:
		return RolloutDisconnected
	case node.Outcome == configapi.Rejected && (node.Cluster != r.Cluster || node.LastDecided >= r.Version):
		return RolloutRejected
	case r.Version == 0, node.Cluster == r.Cluster && node.LastDecided >= r.Version:
		return RolloutCurrent
	}
	return RolloutLagging
}

func (r *Rollout) countState(state RolloutState) {
	switch state {
	case RolloutCurrent:
		r.Current++
	case RolloutLagging:
		r.Lagging++
	case RolloutRejected:
		r.Rejected++
	case RolloutDisconnected:
		r.Disconnected++
	}
}
