package configversion

import (
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A node restarts with a stored version. Its first request contains that version, and the node ignores older versions
// and other clusters.
func TestStartFromLastKnownGood(t *testing.T) {
	d := newDriver(t, SessionOptions{Controllers: []string{"a:1"}, LastKnownGood: LastKnownGood{Cluster: "x", Version: 8, Config: config(8)}})
	w := d.nextWatch(InitialConnectJitter)
	if r := w.Request; r.Cluster != "x" || r.LastDecided != 8 || r.Applied != 8 || r.LastRejected {
		t.Errorf("the request is %+v", r)
	}
	d.deliverUpdate(w.Watch, versionUpdate("x", 7))
	d.deliverUpdate(w.Watch, versionUpdate("y", 9))
	if d.applying != nil {
		t.Errorf("the session applies %+v", d.applying)
	}
}

// Two processes of a node store their versions in the same file. Only a newer version replaces the stored one, even if
// the node has switched to another cluster.
func TestLastKnownGoodSupersedes(t *testing.T) {
	former := func(c configapi.Cluster, v configapi.Version) map[configapi.Cluster]configapi.Version {
		return map[configapi.Cluster]configapi.Version{c: v}
	}
	for name, c := range map[string]struct {
		candidate, other LastKnownGood
		want             bool
	}{
		"newer":                               {LastKnownGood{Cluster: "x", Version: 2}, LastKnownGood{Cluster: "x", Version: 1}, true},
		"same":                                {LastKnownGood{Cluster: "x", Version: 2}, LastKnownGood{Cluster: "x", Version: 2}, false},
		"older":                               {LastKnownGood{Cluster: "x", Version: 1}, LastKnownGood{Cluster: "x", Version: 2}, false},
		"an unrelated cluster":                {LastKnownGood{Cluster: "y", Version: 9}, LastKnownGood{Cluster: "x", Version: 2}, false},
		"the cluster that replaced the other": {LastKnownGood{Cluster: "y", Version: 1, FormerClusters: former("x", 2)}, LastKnownGood{Cluster: "x", Version: 2}, true},
		"the cluster that was replaced":       {LastKnownGood{Cluster: "x", Version: 2}, LastKnownGood{Cluster: "y", Version: 1, FormerClusters: former("x", 2)}, false},
		"after returning to the first cluster": {LastKnownGood{Cluster: "x", Version: 3, FormerClusters: former("y", 1)},
			LastKnownGood{Cluster: "y", Version: 1, FormerClusters: former("x", 2)}, true},
		"before returning to the first cluster": {LastKnownGood{Cluster: "y", Version: 1, FormerClusters: former("x", 2)},
			LastKnownGood{Cluster: "x", Version: 3, FormerClusters: former("y", 1)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.candidate.Supersedes(c.other); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
