package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configclient"
)

// clusterDeadline is how long a cluster in one process may take for anything, on a machine that does other work, too.
const clusterDeadline = 60 * time.Second

// testCluster is a cluster of controllers in this process, over loopback.
type testCluster struct {
	t       *testing.T
	config  Config // of no controller
	running map[string]*testController
}

type testController struct {
	*Controller
	stop  context.CancelFunc
	ended chan error
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	var ports []string
	var listeners []net.Listener
	for range 2 * len(names) { // all are held until all are drawn, so that no two are the same
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
		go func() { running.ended <- c.Run(ctx) }()
		tc.running[name] = running
	}
}

// stop ends a controller as SIGTERM does.
func (tc *testCluster) stop(name string) {
	tc.t.Helper()
	running := tc.running[name]
	delete(tc.running, name)
	running.stop()
	select {
	case err := <-running.ended:
		if err != nil {
			tc.t.Errorf("controller %s: %v", name, err)
		}
	case <-time.After(clusterDeadline):
		tc.t.Fatalf("controller %s does not end", name)
	}
}

// cut takes a controller's log off the network, in both directions: its process goes on, without a word to the others.
func (tc *testCluster) cut(name string) {
	tc.running[name].consensus.Load().stream.enabled.Store(false)
}

func (tc *testCluster) heal(name string) {
	tc.running[name].consensus.Load().stream.enabled.Store(true)
}

// eventually looks again and again until a condition holds.
func (tc *testCluster) eventually(what string, condition func() bool) {
	tc.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	deadline := time.After(clusterDeadline)
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			tc.t.Fatalf("after %v still not: %s", clusterDeadline, what)
		}
	}
}

func (tc *testCluster) publish(service string) configapi.Version {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), clusterDeadline)
	defer cancel()
	reply, err := tc.client().Publish(ctx, publishOf(service))
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
	client := configclient.New(addresses)
	tc.t.Cleanup(client.Close)
	return client
}

func publishOf(service string) configapi.PublishRequest {
	return configapi.PublishRequest{ID: configclient.NewID(), Document: json.RawMessage(fmt.Sprintf(`{"services":{%q:{"settings":{}}}}`, service))}
}

func (tc *testCluster) leader() string {
	for name, running := range tc.running {
		if c := running.consensus.Load(); c != nil && c.isReady() {
			return name
		}
	}
	return ""
}

// allHave waits until all running controllers are in touch with the leader and have a version.
func (tc *testCluster) allHave(version configapi.Version) {
	tc.t.Helper()
	tc.eventually(fmt.Sprintf("version %d everywhere", version), func() bool {
		for _, running := range tc.running {
			if now := running.views.load(); now.state.Version != version || !now.current {
				return false
			}
		}
		return true
	})
}

func (tc *testCluster) cluster(name string) configapi.Cluster {
	return tc.running[name].views.load().state.Cluster
}

func TestClusterPublishesAndSurvivesItsLeader(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	if version := tc.publish("dry"); version != 1 {
		t.Errorf("the first version is %d", version)
	}
	tc.allHave(1)
	leader := tc.leader()
	tc.stop(leader)
	if version := tc.publish("press"); version != 2 {
		t.Errorf("the second version is %d", version)
	}
	tc.start(leader)
	tc.allHave(2)
	if services := tc.running[leader].views.load().state.Services; len(services) != 2 {
		t.Errorf("the controller that returned has %d services", len(services))
	}
}

func TestClusterAnswersARepeatedPublishOnce(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	ctx, cancel := context.WithTimeout(t.Context(), clusterDeadline)
	defer cancel()
	request := publishOf("dry")
	first, err := tc.client().Publish(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	leader := tc.leader()
	tc.stop(leader)
	again, err := tc.client().Publish(ctx, request)
	if err != nil || again != first {
		t.Errorf("answered %+v and %+v, %v", first, again, err)
	}
}

// A controller that is cut off serves what it has and says that it is not current; it takes no publish; when it is back
// it has what it missed.
func TestClusterWithALeaderThatIsCutOff(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.allHave(1)
	leader := tc.leader()
	tc.cut(leader)
	tc.eventually("the leader that is cut off says so", func() bool { return !tc.running[leader].views.load().current })
	alone := configclient.New([]string{tc.configOf(leader).Self.Listen})
	defer alone.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := alone.Publish(ctx, publishOf("press"))
	var refusal *configapi.Error
	if !errors.As(err, &refusal) || refusal.Kind != configapi.ErrorNoQuorum {
		t.Errorf("a publish at a controller without a quorum: %v", err)
	}
	tc.eventually("another controller leads", func() bool { return tc.leader() != "" && tc.leader() != leader })
	if version := tc.publish("press"); version != 2 {
		t.Errorf("the majority's version is %d", version)
	}
	if got := tc.running[leader].views.load().state.Version; got != 1 {
		t.Errorf("the controller that is cut off has version %d", got)
	}
	tc.heal(leader)
	tc.allHave(2)
}

// A controller whose folder was emptied joins as a new raft server, gets the state, and may vote.
func TestClusterWithAnEmptiedDisk(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.allHave(1)
	cluster := tc.cluster("c2")
	tc.stop("c2")
	if err := os.RemoveAll(tc.configOf("c2").Folder); err != nil {
		t.Fatal(err)
	}
	tc.start("c2")
	tc.eventually("c2 is a member with a new server ID", func() bool {
		joined := tc.running["c2"].participation.Load()
		return joined.phase == phaseMember && strings.HasPrefix(joined.serverID, "c2/")
	})
	tc.publish("press")
	tc.allHave(2)
	if tc.cluster("c2") != cluster {
		t.Errorf("c2 is of cluster %s, the others are of %s", tc.cluster("c2"), cluster)
	}
	tc.stop("c1")
	if version := tc.publish("mill"); version != 3 { // needs the vote and the disk of c2
		t.Errorf("with c2 and c3: version %d", version)
	}
	tc.allHave(3)
}

// A controller does not start on the disk of another one.
func TestClusterWithACopiedDisk(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.allHave(1)
	tc.stop("c1")
	tc.stop("c2")
	replaceFolder(t, tc.configOf("c2").Folder, tc.configOf("c1").Folder)
	_, err := New(tc.configOf("c2"), slog.New(slog.DiscardHandler))
	var wrong *FolderError
	if !errors.As(err, &wrong) || !strings.Contains(err.Error(), "copy of the disk of controller c1") {
		t.Errorf("started on a copied disk: %v", err)
	}
}

// A controller with an old copy of its own disk does not vote with it: it is emptied and joins anew.
func TestClusterWithAnOldCopyOfADisk(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.allHave(1)
	tc.stop("c2")
	old := filepath.Join(t.TempDir(), "old")
	replaceFolder(t, old, tc.configOf("c2").Folder)
	tc.start("c2")
	tc.publish("press")
	tc.allHave(2)
	tc.eventually("the second start of c2 is recorded", func() bool {
		return tc.running["c1"].views.load().state.Starts["c2"].Start == 2 && tc.running["c3"].views.load().state.Starts["c2"].Start == 2
	})
	tc.stop("c2")
	replaceFolder(t, tc.configOf("c2").Folder, old)
	tc.start("c2")
	tc.eventually("c2 is a member with a new server ID", func() bool {
		joined := tc.running["c2"].participation.Load()
		return joined.phase == phaseMember && strings.HasPrefix(joined.serverID, "c2/")
	})
	tc.publish("mill")
	tc.allHave(3)
}

// All controllers end and start again: no version is lost, and the next one follows.
func TestClusterStartsAgainAsAWhole(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.publish("press")
	tc.allHave(2)
	cluster := tc.cluster("c1")
	for _, name := range []string{"c1", "c2", "c3"} {
		tc.stop(name)
	}
	tc.start("c1", "c2", "c3")
	tc.allHave(2)
	if version := tc.publish("mill"); version != 3 || tc.cluster("c1") != cluster {
		t.Errorf("version %d of cluster %s, before %s", version, tc.cluster("c1"), cluster)
	}
}

// A controller that starts while the others are gone serves its nodes what it had.
func TestClusterMemberStartsAlone(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.allHave(1)
	tc.eventually("c1 has a snapshot with version 1", func() bool {
		snapshots, err := tc.running["c1"].disk.snapshots.List()
		return err == nil && len(snapshots) > 0 && snapshots[0].Index >= tc.running["c1"].consensus.Load().raft.AppliedIndex()
	})
	for _, name := range []string{"c1", "c2", "c3"} {
		tc.stop(name)
	}
	tc.start("c1")
	watch := openWatch(t, tc.configOf("c1").Self.Listen, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, Session: 1})
	if u := watch.update(t); u.Version != 1 || u.Config == nil || u.Current {
		t.Errorf("a controller that is alone says %+v", u)
	}
}

func replaceFolder(t *testing.T, folder, by string) {
	t.Helper()
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(folder, os.DirFS(by)); err != nil {
		t.Fatal(err)
	}
}

// testWatch is a node's watch.
type testWatch struct {
	lines  *bufio.Reader
	cancel context.CancelFunc
}

// openWatch opens a watch, asking again while the controller has no state yet.
func openWatch(t *testing.T, address string, request configapi.WatchRequest) *testWatch {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), clusterDeadline)
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
			t.Fatalf("no watch: %v", err)
		}
	}
}

// update reads the next update and passes heartbeats over.
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

func TestWatchFollowsVersions(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.allHave(1)
	address := tc.configOf("c1").Self.Listen
	watch := openWatch(t, address, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, Session: 1})
	first := watch.update(t)
	if first.Version != 1 || first.ConfigVersion != 1 || first.Config == nil || len(first.Controllers) != 1 || !first.Current {
		t.Fatalf("the first update is %+v", first)
	}
	ack(t, address, configapi.Acknowledgement{Node: "n1", StartedMS: 1, Session: 1, Cluster: first.Cluster, Version: 1, Outcome: configapi.Applied, Applied: 1})
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
	if len(status.Answers) != 1 || len(status.Answers[0].Nodes) != 1 || status.Answers[0].Nodes[0].LastDecided != 1 || !status.Answers[0].Nodes[0].Connected {
		t.Errorf("status %+v", status)
	}
}

// A node that reconnects with what it had gets the configuration only if it changed since, or is of another cluster.
func TestWatchSendsConfigOnlyWhereItChanged(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.publish("press")
	tc.allHave(2)
	cluster := tc.cluster("c1")
	for name, c := range map[string]struct {
		request configapi.WatchRequest
		config  bool
	}{
		"nothing held":           {configapi.WatchRequest{}, true},
		"the newest in force":    {configapi.WatchRequest{Cluster: cluster, LastDecided: 2, Applied: 2}, false},
		"unchanged since":        {configapi.WatchRequest{Cluster: cluster, LastDecided: 1, Applied: 1}, false},
		"rejected":               {configapi.WatchRequest{Cluster: cluster, LastDecided: 1, LastRejected: true}, true},
		"of another cluster":     {configapi.WatchRequest{Cluster: "other", LastDecided: 9, Applied: 9}, true},
		"a service without any":  {configapi.WatchRequest{Service: "mill"}, false},
		"another service's turn": {configapi.WatchRequest{Service: "press", Cluster: cluster, LastDecided: 1, Applied: 1}, true},
	} {
		request := c.request
		request.Node, request.StartedMS, request.Session = strings.ReplaceAll(name, " ", "-"), 1, 1
		if request.Service == "" {
			request.Service = "dry"
		}
		watch := openWatch(t, tc.configOf("c1").Self.Listen, request)
		if u := watch.update(t); u.Version != 2 || (u.Config != nil) != c.config {
			t.Errorf("%s: %+v", name, u)
		}
		watch.cancel()
	}
}

// The start of a controller is recorded in the log, and is no news to nodes.
func TestWatchSaysNothingWithoutNews(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.allHave(1)
	watch := openWatch(t, tc.configOf("c1").Self.Listen, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, Session: 1})
	watch.update(t)
	running := tc.running["c1"].consensus.Load()
	if _, err := running.propose(command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{"c9", 1, "p"}}); err != nil {
		t.Fatal(err)
	}
	watch.heartbeat(t)
	watch.heartbeat(t)
}

func TestWatchOfAnOlderSessionEnds(t *testing.T) {
	tc := newTestCluster(t, "c1")
	tc.start("c1")
	tc.publish("dry")
	tc.allHave(1)
	address := tc.configOf("c1").Self.Listen
	request := configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, Session: 1}
	older := openWatch(t, address, request)
	older.update(t)
	request.Session = 2
	newer := openWatch(t, address, request)
	newer.update(t)
	for {
		if _, err := older.lines.ReadByte(); err != nil {
			break
		}
	}
	newer.heartbeat(t)
}

// When a controller ends, it asks its nodes to move.
func TestWatchMovesWhenItsControllerEnds(t *testing.T) {
	tc := newTestCluster(t, "c1", "c2", "c3")
	tc.start("c1", "c2", "c3")
	tc.publish("dry")
	tc.allHave(1)
	watch := openWatch(t, tc.configOf("c1").Self.Listen, configapi.WatchRequest{Node: "n1", Service: "dry", StartedMS: 1, Session: 1})
	watch.update(t)
	tc.eventually("c1 knows the others' loads", func() bool {
		return len(tc.running["c1"].peers.valid(time.Now())) == 2 && len(tc.running["c1"].nodes.alternatives(configapi.WatchRequest{})) == 2
	})
	tc.running["c1"].stop()
	for {
		if u := watch.update(t); u.MigrateTo != "" {
			if u.MigrateTo != tc.configOf("c2").Self.Listen && u.MigrateTo != tc.configOf("c3").Self.Listen {
				t.Errorf("asked to move to %s", u.MigrateTo)
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
		t.Errorf("acknowledgement answered %s", response.Status)
	}
}
