package controller

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A controller loses its disk. It joins as a new raft server, because its old votes are lost. It copies the log, and
// can vote again.
func TestClusterMemberWithAnEmptiedDiskRejoins(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	cluster := tc.cluster("c2")
	tc.stop("c2")
	if err := os.RemoveAll(tc.configOf("c2").Folder); err != nil {
		t.Fatal(err)
	}
	tc.start("c2")
	tc.waitForReplacement("c2")
	tc.publish("press")
	tc.waitForVersion(2)
	if tc.cluster("c2") != cluster {
		t.Errorf("c2 belongs to cluster %s, want %s", tc.cluster("c2"), cluster)
	}
	tc.stop("c1")
	if version := tc.publish("mill"); version != 3 { // a quorum needs the vote and the disk of c2
		t.Errorf("version %d with c2 and c3, want 3", version)
	}
	tc.waitForVersion(3)
}

// A controller is started on a copy of another controller's disk. It must not start, because two servers with the same
// ID could vote twice.
func TestControllerRejectsDiskOfAnotherController(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	tc.stop("c1")
	tc.stop("c2")
	replaceFolder(t, tc.configOf("c2").Folder, tc.configOf("c1").Folder)
	_, err := New(tc.configOf("c2"), slog.New(slog.DiscardHandler))
	var folderError *FolderError
	if !errors.As(err, &folderError) || !strings.Contains(err.Error(), "copy of the disk of controller c1") {
		t.Errorf("starting on a copy of another disk: error %v", err)
	}
}

// A controller is started on an old copy of its own disk, for example from a backup. It must not vote with this disk:
// it empties the folder, and joins as a new raft server.
func TestClusterMemberWithAStaleDiskRejoins(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	tc.stop("c2")
	backup := filepath.Join(t.TempDir(), "old")
	replaceFolder(t, backup, tc.configOf("c2").Folder)
	tc.start("c2")
	tc.publish("press")
	tc.waitForVersion(2)
	tc.waitFor("the second start of c2 is recorded", func() bool {
		return tc.running["c1"].views.load().state.Starts["c2"].Start == 2 && tc.running["c3"].views.load().state.Starts["c2"].Start == 2
	})
	tc.stop("c2")
	replaceFolder(t, tc.configOf("c2").Folder, backup)
	tc.start("c2")
	tc.waitForReplacement("c2")
	tc.publish("mill")
	tc.waitForVersion(3)
}

// All controllers stop and start again. No version is lost, and the next publish request gets the next version.
func TestClusterSurvivesFullRestart(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.publish("press")
	tc.waitForVersion(2)
	cluster := tc.cluster("c1")
	for _, name := range []string{"c1", "c2", "c3"} {
		tc.stop(name)
	}
	tc.start("c1", "c2", "c3")
	tc.waitForVersion(2)
	if version := tc.publish("mill"); version != 3 || tc.cluster("c1") != cluster {
		t.Errorf("version %d of cluster %s, want version 3 of cluster %s", version, tc.cluster("c1"), cluster)
	}
}

// A controller starts while all others are down. It serves its nodes the state from its snapshot, and reports that it
// is not in contact with a leader.
func TestClusterMemberWithoutAQuorumServesItsSnapshot(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	tc.waitFor("c1 has a snapshot with version 1", func() bool {
		snapshots, err := tc.running["c1"].disk.snapshots.List()
		return err == nil && len(snapshots) > 0 && snapshots[0].Index >= tc.running["c1"].consensus.Load().raft.AppliedIndex()
	})
	for _, name := range []string{"c1", "c2", "c3"} {
		tc.stop(name)
	}
	tc.start("c1")
	watch := openWatch(t, tc.configOf("c1").Self.Listen, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, WatchNumber: 1})
	if u := watch.update(t); u.Version != 1 || u.Config == nil || u.HasLeaderContact {
		t.Errorf("a controller without a quorum sends %+v", u)
	}
}

// waitForReplacement waits until a controller is a member again under a new server ID.
func (tc *testCluster) waitForReplacement(name string) {
	tc.t.Helper()
	tc.waitFor(name+" is a member with a new server ID", func() bool {
		current := tc.running[name].participation.Load()
		return current.phase == phaseMember && strings.HasPrefix(current.serverID, name+serverIDSeparator)
	})
}

func replaceFolder(t *testing.T, folder, source string) {
	t.Helper()
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(folder, os.DirFS(source)); err != nil {
		t.Fatal(err)
	}
}
