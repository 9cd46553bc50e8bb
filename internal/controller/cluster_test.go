package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configclient"
)

// The leader shuts down. The others elect a new one and go on publishing; the old leader returns and catches up.
func TestClusterPublishesAfterLeaderShutdown(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	if version := tc.publish("dry"); version != 1 {
		t.Errorf("the first version is %d", version)
	}
	tc.waitForVersion(1)
	leader := tc.leader()
	tc.stop(leader)
	if version := tc.publish("press"); version != 2 {
		t.Errorf("the second version is %d", version)
	}
	tc.start(leader)
	tc.waitForVersion(2)
	if services := tc.running[leader].views.load().state.Services; len(services) != 2 {
		t.Errorf("the controller that returned has %d services", len(services))
	}
}

// An operator repeats a publish request after the leader that took it has gone. The new leader replies as the old one
// did, and adds no version.
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
		t.Errorf("answered %+v and %+v, %v", first, repeated, err)
	}
}

// A partition cuts the leader off. It keeps serving its state, reports that it is not current, and rejects publish
// requests. The majority elects another leader; when the partition ends, the old one catches up.
func TestClusterPublishesWhileLeaderIsPartitioned(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	leader := tc.leader()
	tc.disableRaft(leader)
	tc.waitFor("the leader that is cut off says so", func() bool { return !tc.running[leader].views.load().hasLeaderContact })
	isolatedClient := configclient.New([]string{tc.configOf(leader).Self.Listen})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := isolatedClient.Publish(ctx, publishRequest("press"))
	var apiError *configapi.Error
	if !errors.As(err, &apiError) || apiError.Kind != configapi.ErrorNoQuorum {
		t.Errorf("a publish at a controller without a quorum: %v", err)
	}
	tc.waitFor("another controller leads", func() bool { return tc.leader() != "" && tc.leader() != leader })
	if version := tc.publish("press"); version != 2 {
		t.Errorf("the majority's version is %d", version)
	}
	if got := tc.running[leader].views.load().state.Version; got != 1 {
		t.Errorf("the controller that is cut off has version %d", got)
	}
	tc.enableRaft(leader)
	tc.waitForVersion(2)
}
