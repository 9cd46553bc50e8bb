package configversion

import (
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// LastKnownGood is what a node stores about configuration versions for its next start: the last version that it
// applied, and what it knows about clusters and controllers.
type LastKnownGood struct {
	Cluster configapi.Cluster        `json:"cluster"`
	Version configapi.Version        `json:"version"`          // the version in force
	Config  *configapi.ServiceConfig `json:"config,omitempty"` // of Version; nil: the node's configuration file is in force
	// FormerClusters maps each cluster that the node has left to the newest version that the node knew of it.
	FormerClusters map[configapi.Cluster]configapi.Version `json:"former,omitempty"`
	// Controllers lists the controllers of the cluster with their locations.
	Controllers []configapi.ControllerAddress `json:"controllers,omitempty"`
}

// Supersedes reports whether k is newer than other: a later version of the same cluster, or a version of a cluster that
// has replaced other's cluster. While a node restarts, this keeps the old process from overwriting what its successor
// has already stored.
func (k LastKnownGood) Supersedes(other LastKnownGood) bool {
	if k.Cluster == other.Cluster {
		return k.Version > other.Version
	}
	lastKnown, hasLeftOther := k.FormerClusters[other.Cluster]
	otherLastKnown, otherHasLeft := other.FormerClusters[k.Cluster]
	return hasLeftOther && lastKnown >= other.Version && !(otherHasLeft && otherLastKnown >= k.Version)
}

// lastKnownGood returns the state with which the node would start if its process ended now.
func (s *Session) lastKnownGood() LastKnownGood {
	v := &s.versions
	return LastKnownGood{
		Cluster:        v.cluster,
		Version:        v.applied,
		Config:         v.appliedConfig,
		FormerClusters: maps.Clone(v.formerClusters),
		Controllers:    slices.Clone(s.watches.clusterControllers),
	}
}
