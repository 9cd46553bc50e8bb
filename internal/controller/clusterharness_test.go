package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configclient"
)

// clusterTimeout is how long any step of a cluster in this process may take, on a machine that is also doing other
// work.
const clusterTimeout = 60 * time.Second

// testCluster is a cluster of controllers in this process, connected over loopback.
type testCluster struct {
	t       *testing.T
	config  Config // common to all controllers; Self is not set
	running map[string]*testController
}

type testController struct {
	*Controller
	stop   context.CancelFunc
	result chan error
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	var ports []string
	var listeners []net.Listener
	for range 2 * len(names) { // all listeners stay open until the last port is allocated, so that all ports differ
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		ports = append(ports, listener.Addr().String())
	}
	for _, listener := range listeners {
		_ = listener.Close()
	}
	cluster := &testCluster{t: t, running: map[string]*testController{}}
	cluster.config = Config{MaxSessions: 10, HeartbeatInterval: configapi.HeartbeatInterval, ElectionTimeout: time.Second, LeaderLease: 800 * time.Millisecond, Folder: t.TempDir()}
	for i, name := range names {
		cluster.config.Members = append(cluster.config.Members, Member{Name: name, Listen: ports[2*i], Dial: ports[2*i], Raft: ports[2*i+1], Region: "west"})
	}
	t.Cleanup(func() {
		for _, name := range names {
			if cluster.running[name] != nil {
				cluster.stop(name)
			}
		}
	})
	return cluster
}

func (tc *testCluster) configOf(name string) Config {
	config := tc.config
	config.Self, _ = config.member(name)
	config.Folder = filepath.Join(config.Folder, name)
	return config
}

func (tc *testCluster) start(names ...string) {
	tc.t.Helper()
	for _, name := range names {
		c, err := New(tc.configOf(name), slog.New(slog.DiscardHandler))
		if err != nil {
			tc.t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		running := &testController{c, stop, make(chan error, 1)}
		go func() { running.result <- c.Run(ctx) }()
		tc.running[name] = running
	}
}

// stop shuts a controller down as SIGTERM does.
func (tc *testCluster) stop(name string) {
	tc.t.Helper()
	running := tc.running[name]
	delete(tc.running, name)
	running.stop()
	select {
	case err := <-running.result:
		if err != nil {
			tc.t.Errorf("controller %s: %v", name, err)
		}
	case <-time.After(clusterTimeout):
		tc.t.Fatalf("controller %s does not stop", name)
	}
}

// disableRaft cuts a controller off from the replicated log in both directions, as a partition does.
func (tc *testCluster) disableRaft(name string) {
	tc.running[name].consensus.Load().stream.enabled.Store(false)
}

func (tc *testCluster) enableRaft(name string) {
	tc.running[name].consensus.Load().stream.enabled.Store(true)
}

// waitFor waits until a condition holds.
func (tc *testCluster) waitFor(what string, condition func() bool) {
	tc.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	deadline := time.After(clusterTimeout)
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			tc.t.Fatalf("condition not reached within %v: %s", clusterTimeout, what)
		}
	}
}

func (tc *testCluster) publish(service string) configapi.Version {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	defer cancel()
	reply, err := tc.client().Publish(ctx, publishRequest(service))
	if err != nil {
		tc.t.Fatalf("publish: %v", err)
	}
	return reply.Version
}

func (tc *testCluster) client() *configclient.Client {
	var addresses []string
	for name := range tc.running {
		addresses = append(addresses, tc.configOf(name).Self.Listen)
	}
	return configclient.New(addresses)
}

func publishRequest(service string) configapi.PublishRequest {
	return configapi.PublishRequest{ID: configclient.NewID(), Document: json.RawMessage(fmt.Sprintf(`{"services":{%q:{"settings":{}}}}`, service))}
}

func (tc *testCluster) leader() string {
	for name, running := range tc.running {
		if c := running.consensus.Load(); c != nil && c.isReadyLeader() {
			return name
		}
	}
	return ""
}

// waitForVersion waits until all running controllers have a version and are in contact with the leader.
func (tc *testCluster) waitForVersion(version configapi.Version) {
	tc.t.Helper()
	tc.waitFor(fmt.Sprintf("all controllers have version %d", version), func() bool {
		for _, running := range tc.running {
			if now := running.views.load(); now.state.Version != version || !now.hasLeaderContact {
				return false
			}
		}
		return true
	})
}

func (tc *testCluster) cluster(name string) configapi.Cluster {
	return tc.running[name].views.load().state.Cluster
}
