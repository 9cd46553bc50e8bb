package configversion

import (
	"cmp"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// RolloutState is the state of a node with respect to the newest version. Only MergeStatuses sets it, from the reports
// of controllers.
type RolloutState string

// Rollout states.
const (
	RolloutCurrent      RolloutState = "current"  // connected, and has applied the newest version
	RolloutLagging      RolloutState = "lagging"  // connected, and has not decided on the newest version yet
	RolloutRejected     RolloutState = "rejected" // connected, and has rejected the newest version or a foreign cluster
	RolloutDisconnected RolloutState = "away"     // has no session
)

// NodeRollout is the state of one node in a Rollout.
type NodeRollout struct {
	configapi.NodeStatus
	State      RolloutState `json:"state"`
	Controller string       `json:"controller"` // name of the controller whose report was used
}

// Rollout describes how far the newest version has been rolled out.
type Rollout struct {
	Cluster      configapi.Cluster `json:"cluster"`
	Version      configapi.Version `json:"version"` // the newest version that any controller of the cluster has
	Nodes        []NodeRollout     `json:"nodes"`   // by name
	Current      int               `json:"current"`
	Lagging      int               `json:"lagging"`
	Rejected     int               `json:"rejected"`
	Disconnected int               `json:"away"`
	// BehindControllers are the names of controllers that have an older version or no contact with the leader.
	BehindControllers []string `json:"behind,omitempty"`
	// ForeignControllers are the names of controllers that do not belong to Cluster.
	ForeignControllers []string `json:"foreign,omitempty"`
}

// Complete reports whether the newest version is in force at all connected nodes and known to all controllers.
// Disconnected nodes are ignored, because they may no longer exist.
func (r Rollout) Complete() bool {
	return r.Lagging == 0 && r.Rejected == 0 && len(r.BehindControllers) == 0 && len(r.ForeignControllers) == 0
}

// MergeStatuses merges the reports of several controllers. If several controllers report the same node, it uses the
// report that supersedes the others. The result does not depend on the order of the reports.
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

// newestVersion returns the cluster to which most controllers belong, and its newest version. Among clusters with
// equally many controllers, it chooses the first by name.
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

// supersedes reports whether report x is preferred to report y about the same node. These criteria apply in order:
//   - The report about the newer process of the node is preferred.
//   - The report with the greater decided version is preferred, regardless of the session. The decided version of a
//     process never decreases within a cluster, whereas the newer session may be a second watch that the node has
//     closed again because the first one recovered.
//   - The report of a controller that has a session with the node is preferred: a controller that was stalled may read
//     the request of a watch that the node closed long ago.
//   - The report about the newer session is preferred, then the later report.
func (r *Rollout) supersedes(x, y configapi.NodeStatus) bool {
	return cmp.Or(
		cmp.Compare(x.StartedMS, y.StartedMS),
		cmp.Compare(r.decidedVersion(x), r.decidedVersion(y)),
		compareBool(x.Connected, y.Connected),
		cmp.Compare(x.WatchNumber, y.WatchNumber),
		cmp.Compare(x.LastSeenMS, y.LastSeenMS)) > 0
}

// decidedVersion returns the newest version of the rollout's cluster on which a node has decided.
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

// stateOf returns the state of a node according to its merged report.
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
