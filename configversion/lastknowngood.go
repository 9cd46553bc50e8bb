package configversion

import (
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// LastKnownGood is what a node stores of configuration versions for its next start: the last version that it applied.
type LastKnownGood struct {
	Cluster configapi.Cluster        `json:"cluster"`
	Version configapi.Version        `json:"version"`          // in force
	Config  *configapi.ServiceConfig `json:"config,omitempty"` // of Version; nil: the node's own file is in force
	// FormerClusters are the clusters that the node has left, each with the newest version that the node knew of it.
	FormerClusters map[configapi.Cluster]configapi.Version `json:"former,omitempty"`
	// Controllers are the controllers of the cluster, with their locations.
	Controllers []configapi.ControllerAddress `json:"controllers,omitempty"`
}

// Supersedes reports whether k is newer than other: a later version of the same cluster, or a version of a cluster that
// has replaced other's. It guards against the outgoing process of a node that restarts: it must not overwrite what its
// successor has stored already.
func (k LastKnownGood) Supersedes(other LastKnownGood) bool {
	if k.Cluster == other.Cluster {
		return k.Version > other.Version
	}
	lastKnown, hasLeftOther := k.FormerClusters[other.Cluster]
	otherLastKnown, otherHasLeft := other.FormerClusters[k.Cluster]
	return hasLeftOther && lastKnown >= other.Version && !(otherHasLeft && otherLastKnown >= k.Version)
}

// lastKnownGood is what the node would start with if its process ended now.
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
