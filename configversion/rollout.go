package configversion

import (
	"cmp"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// RolloutState says where a node stands with respect to the newest version.
type RolloutState string

// Node states.
const (
	RolloutCurrent      RolloutState = "current"  // connected, and the newest version is in force
	RolloutLagging      RolloutState = "lagging"  // connected, and has not answered for the newest version yet
	RolloutRejected     RolloutState = "rejected" // connected, and rejected the newest version, or all of another cluster
	RolloutDisconnected RolloutState = "away"     // has no session
)

// NodeRollout is one node in a Rollout.
type NodeRollout struct {
	configapi.NodeStatus
	State      RolloutState `json:"state"`
	Controller string       `json:"controller"` // the one that heard the node last
}

// Rollout is where the newest version is in force.
type Rollout struct {
	Cluster      configapi.Cluster `json:"cluster"`
	Version      configapi.Version `json:"version"` // the newest that any controller has
	Nodes        []NodeRollout     `json:"nodes"`   // by name
	Current      int               `json:"current"`
	Lagging      int               `json:"lagging"`
	Rejected     int               `json:"rejected"`
	Disconnected int               `json:"away"`
	// BehindControllers are the controllers that have an older version, or are not in touch with the leader.
	BehindControllers []string `json:"behind,omitempty"`
	// ForeignControllers are the controllers that are of another cluster than the rest.
	ForeignControllers []string `json:"foreign,omitempty"`
}

// Complete says whether the newest version is in force at all connected nodes, and all controllers have it.
func (r Rollout) Complete() bool {
	return r.Lagging == 0 && r.Rejected == 0 && len(r.BehindControllers) == 0 && len(r.ForeignControllers) == 0
}

// MergeStatuses joins what several controllers know. Of a node that more than one of them knows, the newest session counts.
func MergeStatuses(statuses []configapi.ControllerStatus) Rollout {
	var r Rollout
	r.Cluster, r.Version = newestVersion(statuses)
	nodes := map[string]NodeRollout{}
	for _, status := range statuses {
		switch {
		case status.Cluster != r.Cluster:
			r.ForeignControllers = append(r.ForeignControllers, status.Name)
		case status.Version < r.Version || !status.Current:
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

// newestVersion finds the cluster that most controllers are of, and its newest version.
func newestVersion(statuses []configapi.ControllerStatus) (configapi.Cluster, configapi.Version) {
	members := map[configapi.Cluster]int{}
	versions := map[configapi.Cluster]configapi.Version{}
	for _, status := range statuses {
		if status.Cluster != "" {
			members[status.Cluster]++
			versions[status.Cluster] = max(versions[status.Cluster], status.Version)
		}
	}
	var best configapi.Cluster
	for cluster := range members {
		if order := cmp.Or(cmp.Compare(members[cluster], members[best]), cmp.Compare(best, cluster)); order > 0 {
			best = cluster
		}
	}
	return best, versions[best]
}

// supersedes says whether one report about a node goes before another one. The report about its newer process does. Of
// one process, the version held of one cluster never falls, so the greater one is the later, whatever session it came by:
// a node may open a second watch and close it, because the first one speaks again. Then that of a controller which has a
// session with the node: one that was stalled may read the request of a watch that was given up long before. Then that of
// the newer session, and the later one.
func (r *Rollout) supersedes(x, y configapi.NodeStatus) bool {
	return cmp.Or(
		cmp.Compare(x.StartedMS, y.StartedMS),
		cmp.Compare(r.decidedVersion(x), r.decidedVersion(y)),
		compareBool(x.Connected, y.Connected),
		cmp.Compare(x.Session, y.Session),
		cmp.Compare(x.LastSeenMS, y.LastSeenMS)) > 0
}

// decidedVersion is the version that a node holds of the rollout's cluster.
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

// stateOf judges a node by what it last said.
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
