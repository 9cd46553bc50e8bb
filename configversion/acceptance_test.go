package configversion

import (
	"slices"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Versions are applied one at a time, the newest pending one next, and acknowledged; older and known ones are ignored.
func TestNewestPendingVersionIsAppliedNext(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.update(w.Watch, versionUpdate("x", 3))
	for _, n := range []int{4, 6, 5, 3, 1, 6} {
		d.update(w.Watch, versionUpdate("x", n))
	}
	d.finishApply(nil)
	if d.applying == nil || d.applying.Version != 6 || string(d.applying.Config.Settings) != "6" {
		t.Fatalf("next it applies %+v", d.applying)
	}
	d.finishApply(invalidRejection)
	for _, n := range []int{3, 5, 6} {
		d.update(w.Watch, versionUpdate("x", n))
	}
	if d.applying != nil {
		t.Errorf("it applies %+v", d.applying)
	}
	d.finishAck(true)
	d.finishAck(true)
	want := []configapi.Acknowledgement{
		{Node: "n", StartedMS: 1, WatchNumber: w.Watch, Cluster: "x", Version: 3, Outcome: configapi.Applied, Applied: 3},
		{Node: "n", StartedMS: 1, WatchNumber: w.Watch, Cluster: "x", Version: 6, Outcome: configapi.Rejected, Rejection: invalidRejection, Applied: 3},
	}
	if !slices.Equal(d.acks, want) {
		t.Errorf("it acknowledged %+v", d.acks)
	}
	if d.persisted == nil || d.persisted.Version != 3 || string(d.persisted.Config.Settings) != "3" {
		t.Errorf("it persists %+v", d.persisted)
	}
	d.step(WatchEnded{w.Watch})
	next := d.nextWatch(reconnectJitter).Request
	if next.LastDecided != 6 || next.Applied != 3 || !next.LastRejected || next.RejectionReason != invalidRejection.Error() || next.Cluster != "x" || next.WatchNumber <= w.Watch {
		t.Errorf("its request is %+v", next)
	}
}

// A version that names other services only is applied at once. After a rejection, a version that leaves the rejected
// configuration in place is applied with it again, also when the configuration came before.
func TestVersionsThatSetOnlyOtherServices(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.update(w.Watch, configapi.Update{Cluster: "x", Version: 1, HasLeaderContact: true})
	if d.applying != nil || d.session.Applied() != 1 {
		t.Errorf("%d is in force", d.session.Applied())
	}
	d.update(w.Watch, versionUpdate("x", 2))
	d.finishApply(nil)
	d.update(w.Watch, configapi.Update{Cluster: "x", Version: 3, ConfigVersion: 2, HasLeaderContact: true})
	if d.applying != nil || d.session.Applied() != 3 || string(d.persisted.Config.Settings) != "2" || d.persisted.Version != 3 {
		t.Errorf("%d is in force, persisted %+v", d.session.Applied(), d.persisted)
	}
	d.update(w.Watch, versionUpdate("x", 4))
	d.finishApply(invalidRejection)
	d.update(w.Watch, configapi.Update{Cluster: "x", Version: 5, ConfigVersion: 4, HasLeaderContact: true})
	if d.applying == nil || d.applying.Version != 5 || string(d.applying.Config.Settings) != "4" {
		t.Errorf("it applies %+v", d.applying)
	}
	d.finishApply(invalidRejection)
	if d.session.LastDecided() != 5 || d.session.Applied() != 3 {
		t.Errorf("decided %d, in force %d", d.session.LastDecided(), d.session.Applied())
	}
}

// An apply is interrupted, because the node ends. The version is neither applied nor rejected, and is applied if it comes
// again.
func TestInterruptedApplyIsNotDecided(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.update(w.Watch, versionUpdate("x", 1))
	d.applying = nil
	d.step(ApplyFinished{Interrupted: true})
	if len(d.decisions) != 0 || d.session.LastDecided() != 0 {
		t.Errorf("it decided %+v", d.decisions)
	}
	d.update(w.Watch, versionUpdate("x", 1))
	d.finishApply(nil)
	if d.session.Applied() != 1 {
		t.Errorf("%d is in force", d.session.Applied())
	}
}

// A second cluster serves the same addresses, because one was rebuilt from nothing. Its versions are rejected, each
// once, until an operator confirms that it replaces the first; then they are applied, and those of the first are
// rejected.
func TestForeignClusterNeedsConfirmation(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.update(w.Watch, versionUpdate("x", 5))
	d.finishApply(nil)
	d.finishAck(true)
	for range 3 {
		d.update(w.Watch, versionUpdate("y", 9))
	}
	if d.applying != nil || d.session.Applied() != 5 || d.session.Cluster() != "x" {
		t.Errorf("it applies %+v, %d of %s is in force", d.applying, d.session.Applied(), d.session.Cluster())
	}
	if len(d.acks) != 2 || d.ack.Ack.Cluster != "y" || d.ack.Ack.Rejection.Kind != configapi.RejectForeign || d.ack.Ack.Applied != 0 {
		t.Errorf("it acknowledged %+v", d.acks)
	}
	d.finishAck(true)
	replacement := versionUpdate("y", 10)
	replacement.Replaces = []configapi.Cluster{"x"}
	d.update(w.Watch, replacement)
	d.finishApply(nil)
	if d.session.Applied() != 10 || d.session.Cluster() != "y" || d.persisted.FormerClusters["x"] != 5 {
		t.Errorf("%d of %s is in force, persisted %+v", d.session.Applied(), d.session.Cluster(), d.persisted)
	}
	d.finishAck(true)
	replacedBack := versionUpdate("x", 5)
	replacedBack.Replaces = []configapi.Cluster{"y"}
	d.update(w.Watch, replacedBack)
	if d.applying != nil || d.session.Cluster() != "y" {
		t.Error("a version of the cluster that it has left brings it back")
	}
	replacedBack = versionUpdate("x", 6)
	replacedBack.Replaces = []configapi.Cluster{"y"}
	d.update(w.Watch, replacedBack)
	d.finishApply(nil)
	if d.session.Cluster() != "x" || d.session.Applied() != 6 {
		t.Errorf("a new version there that an operator confirms: %d of %s", d.session.Applied(), d.session.Cluster())
	}
}
