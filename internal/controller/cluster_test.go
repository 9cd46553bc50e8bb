package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configclient"
)

// The leader shuts down. The other controllers elect a new leader and continue to publish. The old leader restarts and
// catches up.
func TestClusterPublishesAfterLeaderShutdown(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	if version := tc.publish("dry"); version != 1 {
		t.Errorf("the first version is %d, want 1", version)
	}
	tc.waitForVersion(1)
	leader := tc.leader()
	tc.stop(leader)
	if version := tc.publish("press"); version != 2 {
		t.Errorf("the second version is %d, want 2", version)
	}
	tc.start(leader)
	tc.waitForVersion(2)
	if services := tc.running[leader].views.load().state.Services; len(services) != 2 {
		t.Errorf("the restarted controller has %d services, want 2", len(services))
	}
}

// An operator repeats a publish request after the leader that handled it has shut down. The new leader sends the same
// reply, and adds no version.
func TestClusterPublishIsIdempotent(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	ctx, cancel := context.WithTimeout(t.Context(), clusterTimeout)
	defer cancel()
	request := publishRequest("dry")
	first, err := tc.client().Publish(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	leader := tc.leader()
	tc.stop(leader)
	repeated, err := tc.client().Publish(ctx, request)
	if err != nil || repeated != first {
		t.Errorf("replies %+v and %+v, error %v", first, repeated, err)
	}
}

// A partition isolates the leader. It continues to serve its state, reports that it has no leader contact, and rejects
// publish requests. The majority elects another leader. When the partition ends, the old leader catches up.
func TestClusterPublishesWhileLeaderIsPartitioned(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	leader := tc.leader()
	tc.disableRaft(leader)
	tc.waitFor("the isolated leader reports that it has no leader contact", func() bool { return !tc.running[leader].views.load().hasLeaderContact })
	isolatedClient := configclient.New([]string{tc.configOf(leader).Self.Listen})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := isolatedClient.Publish(ctx, publishRequest("press"))
	var apiError *configapi.Error
	if !errors.As(err, &apiError) || apiError.Kind != configapi.ErrorNoQuorum {
		t.Errorf("publishing at a controller without a quorum: error %v, want kind no_quorum", err)
	}
	tc.waitFor("another controller is the leader", func() bool { return tc.leader() != "" && tc.leader() != leader })
	if version := tc.publish("press"); version != 2 {
		t.Errorf("the version of the majority is %d, want 2", version)
	}
	if got := tc.running[leader].views.load().state.Version; got != 1 {
		t.Errorf("the isolated controller has version %d, want 1", got)
	}
	tc.enableRaft(leader)
	tc.waitForVersion(2)
}
