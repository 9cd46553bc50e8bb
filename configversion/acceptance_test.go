package configversion

import (
	"slices"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Versions are applied one at a time and acknowledged. After each, the newest pending version is applied; older and
// known versions are ignored.
func TestNewestPendingVersionIsAppliedNext(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.deliverUpdate(w.Watch, versionUpdate("x", 3))
	for _, n := range []int{4, 6, 5, 3, 1, 6} {
		d.deliverUpdate(w.Watch, versionUpdate("x", n))
	}
	d.finishApply(nil)
	if d.applying == nil || d.applying.Version != 6 || string(d.applying.Config.Settings) != "6" {
		t.Fatalf("the session applies %+v next", d.applying)
	}
	d.finishApply(invalidConfigRejection)
	for _, n := range []int{3, 5, 6} {
		d.deliverUpdate(w.Watch, versionUpdate("x", n))
	}
	if d.applying != nil {
		t.Errorf("the session applies %+v", d.applying)
	}
	d.finishAck(true)
	d.finishAck(true)
	want := []configapi.Acknowledgement{
		{Node: "n", StartedMS: 1, WatchNumber: w.Watch, Cluster: "x", Version: 3, Outcome: configapi.Applied, Applied: 3},
		{Node: "n", StartedMS: 1, WatchNumber: w.Watch, Cluster: "x", Version: 6, Outcome: configapi.Rejected, Rejection: invalidConfigRejection, Applied: 3},
	}
	if !slices.Equal(d.acks, want) {
		t.Errorf("the session acknowledged %+v", d.acks)
	}
	if d.persisted == nil || d.persisted.Version != 3 || string(d.persisted.Config.Settings) != "3" {
		t.Errorf("the session persisted %+v", d.persisted)
	}
	d.step(WatchEnded{w.Watch})
	next := d.nextWatch(reconnectJitter).Request
	if next.LastDecided != 6 || next.Applied != 3 || !next.LastRejected || next.RejectionReason != invalidConfigRejection.Error() || next.Cluster != "x" || next.WatchNumber <= w.Watch {
		t.Errorf("the next watch has the request %+v", next)
	}
}

// A version that sets only the configurations of other services is applied immediately. After a rejection, the next
// such version applies the rejected configuration again, even if that arrived with the earlier update.
func TestVersionsThatSetOnlyOtherServices(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.deliverUpdate(w.Watch, configapi.Update{Cluster: "x", Version: 1, HasLeaderContact: true})
	if d.applying != nil || d.session.Applied() != 1 {
		t.Errorf("version %d is in force", d.session.Applied())
	}
	d.deliverUpdate(w.Watch, versionUpdate("x", 2))
	d.finishApply(nil)
	d.deliverUpdate(w.Watch, configapi.Update{Cluster: "x", Version: 3, ConfigVersion: 2, HasLeaderContact: true})
	if d.applying != nil || d.session.Applied() != 3 || string(d.persisted.Config.Settings) != "2" || d.persisted.Version != 3 {
		t.Errorf("version %d is in force, persisted %+v", d.session.Applied(), d.persisted)
	}
	d.deliverUpdate(w.Watch, versionUpdate("x", 4))
	d.finishApply(invalidConfigRejection)
	d.deliverUpdate(w.Watch, configapi.Update{Cluster: "x", Version: 5, ConfigVersion: 4, HasLeaderContact: true})
	if d.applying == nil || d.applying.Version != 5 || string(d.applying.Config.Settings) != "4" {
		t.Errorf("the session applies %+v", d.applying)
	}
	d.finishApply(invalidConfigRejection)
	if d.session.LastDecided() != 5 || d.session.Applied() != 3 {
		t.Errorf("last decided version %d, version %d in force", d.session.LastDecided(), d.session.Applied())
	}
}

// The node shuts down while it applies a version. The version is neither applied nor rejected, and is applied if it
// arrives again.
func TestInterruptedApplyIsNotDecided(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.deliverUpdate(w.Watch, versionUpdate("x", 1))
	d.applying = nil
	d.step(ApplyFinished{Interrupted: true})
	if len(d.decisions) != 0 || d.session.LastDecided() != 0 {
		t.Errorf("the session decided %+v", d.decisions)
	}
	d.deliverUpdate(w.Watch, versionUpdate("x", 1))
	d.finishApply(nil)
	if d.session.Applied() != 1 {
		t.Errorf("version %d is in force", d.session.Applied())
	}
}

// A cluster is rebuilt from nothing, so that a second cluster serves the same addresses. Its versions are rejected,
// each once, until an operator confirms that it replaces the first cluster. Then they are applied, and those of the
// first cluster are rejected until an operator confirms the reverse with a newer version.
func TestForeignClusterNeedsConfirmation(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.deliverUpdate(w.Watch, versionUpdate("x", 5))
	d.finishApply(nil)
	d.finishAck(true)
	for range 3 {
		d.deliverUpdate(w.Watch, versionUpdate("y", 9))
	}
	if d.applying != nil || d.session.Applied() != 5 || d.session.Cluster() != "x" {
		t.Errorf("the session applies %+v; version %d of %s is in force", d.applying, d.session.Applied(), d.session.Cluster())
	}
	if len(d.acks) != 2 || d.ackInFlight.Ack.Cluster != "y" || d.ackInFlight.Ack.Rejection.Kind != configapi.RejectForeign || d.ackInFlight.Ack.Applied != 0 {
		t.Errorf("the session acknowledged %+v", d.acks)
	}
	d.finishAck(true)
	replacement := versionUpdate("y", 10)
	replacement.Replaces = []configapi.Cluster{"x"}
	d.deliverUpdate(w.Watch, replacement)
	d.finishApply(nil)
	if d.session.Applied() != 10 || d.session.Cluster() != "y" || d.persisted.FormerClusters["x"] != 5 {
		t.Errorf("version %d of %s is in force, persisted %+v", d.session.Applied(), d.session.Cluster(), d.persisted)
	}
	d.finishAck(true)
	reverse := versionUpdate("x", 5)
	reverse.Replaces = []configapi.Cluster{"y"}
	d.deliverUpdate(w.Watch, reverse)
	if d.applying != nil || d.session.Cluster() != "y" {
		t.Error("the session returns to the cluster that it has left without a newer version of it")
	}
	reverse = versionUpdate("x", 6)
	reverse.Replaces = []configapi.Cluster{"y"}
	d.deliverUpdate(w.Watch, reverse)
	d.finishApply(nil)
	if d.session.Cluster() != "x" || d.session.Applied() != 6 {
		t.Errorf("after a confirmed newer version of x, version %d of %s is in force", d.session.Applied(), d.session.Cluster())
	}
}
