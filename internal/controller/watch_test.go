package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// testWatch is a node's watch.
type testWatch struct {
	lines  *bufio.Reader
	cancel context.CancelFunc
}

// openWatch opens a watch, and retries while the controller has no state yet.
func openWatch(t *testing.T, address string, request configapi.WatchRequest) *testWatch {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	t.Cleanup(cancel)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configapi.PathWatch+"?"+request.Query(), nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(r)
		if err == nil && response.StatusCode == http.StatusOK {
			t.Cleanup(func() { _ = response.Body.Close() })
			return &testWatch{bufio.NewReader(response.Body), cancel}
		}
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("the watch was not opened: %v", err)
		}
	}
}

// update reads the next update, and skips heartbeats.
func (w *testWatch) update(t *testing.T) configapi.Update {
	t.Helper()
	for {
		line, err := w.lines.ReadBytes('\n')
		if err != nil {
			t.Fatalf("the watch ended: %v", err)
		}
		if len(line) == 1 {
			continue
		}
		var u configapi.Update
		if err := json.Unmarshal(line, &u); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		return u
	}
}

// heartbeat reads the next line, which must be a heartbeat.
func (w *testWatch) heartbeat(t *testing.T) {
	t.Helper()
	line, err := w.lines.ReadString('\n')
	if err != nil || line != "\n" {
		t.Errorf("read %q, %v, want a heartbeat", line, err)
	}
}

// A node's watch receives an update for each version, with a configuration only if that of its service has changed, and
// heartbeats in between. The node's acknowledgement is part of the status.
func TestWatchSendsVersionsAndHeartbeats(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.waitForVersion(1)
	address := tc.configOf("c1").Self.Listen
	watch := openWatch(t, address, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, WatchNumber: 1})
	first := watch.update(t)
	if first.Version != 1 || first.ConfigVersion != 1 || first.Config == nil || len(first.Controllers) != 1 || !first.HasLeaderContact {
		t.Fatalf("the first update is %+v", first)
	}
	ack(t, address, configapi.Acknowledgement{Node: "n1", StartedMS: 1, WatchNumber: 1, Cluster: first.Cluster, Version: 1, Outcome: configapi.Applied, Applied: 1})
	watch.heartbeat(t)
	tc.publish("press")
	if u := watch.update(t); u.Version != 2 || u.ConfigVersion != 1 || u.Config != nil || u.Controllers != nil {
		t.Errorf("after a version for another service: %+v", u)
	}
	tc.publish("dry")
	if u := watch.update(t); u.Version != 3 || u.ConfigVersion != 3 || u.Config == nil {
		t.Errorf("after a version for its service: %+v", u)
	}
	status := tc.client().Status(t.Context())
	if len(status.Responses) != 1 || len(status.Responses[0].Nodes) != 1 || status.Responses[0].Nodes[0].LastDecided != 1 || !status.Responses[0].Nodes[0].Connected {
		t.Errorf("status %+v", status)
	}
}

// All nodes reconnect after a restart of their controller. A node with a version in force is sent the configuration
// only if it has changed since, or if the version belongs to another cluster.
func TestWatchSendsConfigOnlyIfItChanged(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.publish("press")
	tc.waitForVersion(2)
	cluster := tc.cluster("c1")
	for name, c := range map[string]struct {
		request    configapi.WatchRequest
		wantConfig bool
	}{
		"no version in force":                  {configapi.WatchRequest{}, true},
		"the newest version in force":          {configapi.WatchRequest{Cluster: cluster, LastDecided: 2, Applied: 2}, false},
		"no change since the version in force": {configapi.WatchRequest{Cluster: cluster, LastDecided: 1, Applied: 1}, false},
		"version rejected":                     {configapi.WatchRequest{Cluster: cluster, LastDecided: 1, LastRejected: true}, true},
		"version of another cluster":           {configapi.WatchRequest{Cluster: "other", LastDecided: 9, Applied: 9}, true},
		"a service without configuration":      {configapi.WatchRequest{Service: "mill"}, false},
		"changed since the version in force":   {configapi.WatchRequest{Service: "press", Cluster: cluster, LastDecided: 1, Applied: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			request := c.request
			request.Node, request.StartedMS, request.WatchNumber = strings.ReplaceAll(name, " ", "-"), 1, 1
			if request.Service == "" {
				request.Service = "dry"
			}
			watch := openWatch(t, tc.configOf("c1").Self.Listen, request)
			if u := watch.update(t); u.Version != 2 || (u.Config != nil) != c.wantConfig {
				t.Errorf("%+v", u)
			}
			watch.cancel()
		})
	}
}

// The start of a controller is recorded in the log and changes the state. Nodes are sent no update for it.
func TestWatchSendsNoUpdateWithoutAChange(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.waitForVersion(1)
	watch := openWatch(t, tc.configOf("c1").Self.Listen, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, WatchNumber: 1})
	watch.update(t)
	running := tc.running["c1"].consensus.Load()
	if _, err := running.propose(command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{"c9", 1, "p"}}); err != nil {
		t.Fatal(err)
	}
	watch.heartbeat(t)
	watch.heartbeat(t)
}

// A node opens a second watch, for example after a timeout that the controller has not noticed. The first watch is
// closed.
func TestNewerWatchClosesTheOlder(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.waitForVersion(1)
	address := tc.configOf("c1").Self.Listen
	request := configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, WatchNumber: 1}
	older := openWatch(t, address, request)
	older.update(t)
	request.WatchNumber = 2
	newer := openWatch(t, address, request)
	newer.update(t)
	for {
		if _, err := older.lines.ReadByte(); err != nil {
			break
		}
	}
	newer.heartbeat(t)
}

// A controller shuts down. It asks its nodes to migrate to the others before it closes their watches.
func TestShutdownAsksNodesToMigrate(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.waitForVersion(1)
	watch := openWatch(t, tc.configOf("c1").Self.Listen, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, WatchNumber: 1})
	watch.update(t)
	tc.waitFor("c1 has the loads of the other controllers", func() bool {
		return len(tc.running["c1"].reports.valid(time.Now())) == 2 && len(tc.running["c1"].nodes.alternatives(configapi.WatchRequest{})) == 2
	})
	tc.running["c1"].stop()
	for {
		if u := watch.update(t); u.MigrateTo != "" {
			if u.MigrateTo != tc.configOf("c2").Self.Listen && u.MigrateTo != tc.configOf("c3").Self.Listen {
				t.Errorf("the node is asked to migrate to %s", u.MigrateTo)
			}
			return
		}
	}
}

func ack(t *testing.T, address string, a configapi.Acknowledgement) {
	t.Helper()
	body, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+address+configapi.PathAck, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("the response to the acknowledgement has status %s", response.Status)
	}
}
