package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// badInterval is the interval between bad versions: one in badInterval is bad.
const badInterval = 5

// badVersion is a kind of settings that a node must reject. The settings contain a class with the given name if they can
// contain classes.
type badVersion struct {
	name     string
	settings func(class string) map[string]any
}

// badVersions are the kinds of bad versions, which versionSequence publishes in turn.
var badVersions = []badVersion{
	{"wrong type of a field", func(string) map[string]any { return nodeSettings("none") }},
	{"rejected by validation", func(class string) map[string]any {
		classes := classesWith(classSettings{Name: class})
		classes[1].DeadlineMS = 0
		return nodeSettings(classes)
	}},
	{"a required key is missing", func(class string) map[string]any {
		return map[string]any{"lanes": classesWith(classSettings{Name: class})}
	}},
	{"a class without a server", func(class string) map[string]any {
		return nodeSettings(classesWith(classSettings{Name: class, OnlyKinds: []string{"nowhere"}}))
	}},
	{"a class with only one server", func(class string) map[string]any {
		classes := classesWith(classSettings{Name: class})
		classes[0].OnlyKinds = []string{"a"}
		return nodeSettings(classes)
	}},
}

// versionSequence publishes versions to real nodes and compares the nodes' acknowledgements with their behavior.
type versionSequence struct {
	*versionNodes
	publisher *Publisher
	lastGood  string         // class in the newest good version
	rejected  map[string]int // by kind of version
}

// publish publishes a version with a new class and waits until every node has applied or rejected it.
func (s *versionSequence) publish(number int, bad *badVersion) {
	s.Helper()
	class := fmt.Sprintf("class-%d", number)
	settings := nodeSettings(classesWith(classSettings{Name: class}))
	if bad != nil {
		settings = bad.settings(class)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		s.Fatal(err)
	}
	text, err = json.Marshal(configapi.Document{Services: map[string]configapi.ServiceConfig{testedService: {Settings: text}}})
	if err != nil {
		s.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(s.Context(), rigTimeout)
	defer cancel()
	publication := s.publisher.Publish(ctx, configapi.PublishRequest{ID: class, Document: text}, nil, 0)
	if publication.Outcome != PublishAccepted {
		s.Fatalf("outcome of publish %s is %s", class, publication.Outcome)
	}
	statuses := s.await(ctx, publication.Version)
	if bad == nil {
		s.lastGood = class
	}
	for _, node := range s.nodes {
		s.check(ctx, node, statuses[node.Name], class, bad)
	}
}

// await waits until the controllers know that each node has applied or rejected a version.
func (s *versionSequence) await(ctx context.Context, version configapi.Version) (statuses map[string]configapi.NodeStatus) {
	s.Helper()
	err := poll(ctx, func() bool {
		statuses = s.nodeStatuses()
		for _, node := range s.nodes {
			if statuses[node.Name].LastDecided < version {
				return false
			}
		}
		return true
	})
	if err != nil {
		s.Fatalf("not all nodes decided on version %d: %v", version, err)
	}
	return statuses
}

// check compares a node's acknowledgement with the way it handles requests.
func (s *versionSequence) check(ctx context.Context, node *versionNode, status configapi.NodeStatus, class string, bad *badVersion) {
	s.Helper()
	want := configapi.Applied
	if bad != nil {
		want = configapi.Rejected
		s.rejected[bad.name]++
	}
	if status.Outcome != want {
		s.Errorf("%s: %s is %s, want %s (%v)", node.Name, class, status.Outcome, want, status.Rejection)
	}
	if status.Outcome == configapi.Rejected && (status.Rejection == nil || status.Rejection.Message == "") {
		s.Errorf("%s rejected %s without a reason", node.Name, class)
	}
	s.checkClass(ctx, node, class, status.Outcome == configapi.Applied)
	s.checkClass(ctx, node, s.lastGood, true)
}

// checkClass sends a request to check whether a node has a class.
func (s *versionSequence) checkClass(ctx context.Context, node *versionNode, class string, want bool) {
	s.Helper()
	known, err := s.hasClass(ctx, node, class)
	if err != nil {
		s.Errorf("%s: %v", node.Name, err)
		return
	}
	if known != want {
		s.Errorf("%s: %s in force by its requests: %v, by its acknowledgement: %v", node.Name, class, known, want)
	}
}

// run publishes the given number of versions. One in badInterval is bad, with the kinds of badVersions in turn.
func (s *versionSequence) run(versions int) {
	s.Helper()
	for number := 1; number <= versions && !s.Failed(); number++ {
		var bad *badVersion
		if number%badInterval == 0 {
			bad = &badVersions[number/badInterval%len(badVersions)]
		}
		s.publish(number, bad)
	}
}

// newVersionSequence starts controllers and real nodes.
func newVersionSequence(t testing.TB, topology Topology, nodes int) *versionSequence {
	t.Helper()
	program := programWithControllers(t)
	logs := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), rigTimeout)
	defer cancel()
	cluster, err := NewControlCluster(ctx, ClusterOptions{Program: program, Topology: topology, Folder: logs})
	t.Cleanup(func() {
		if err := cluster.Stop(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			printLogs(t, logs)
		}
	})
	if err == nil {
		err = cluster.StartAll(ctx)
	}
	if err != nil {
		t.Fatal(err)
	}
	return &versionSequence{versionNodes: startVersionNodes(t, program, cluster, nodes), publisher: NewPublisher(cluster.Addresses()),
		rejected: map[string]int{}}
}

func TestVersionsBad(t *testing.T) {
	largeOnly(t)
	const versions, nodes = 500, 20
	sequence := newVersionSequence(t, TargetTopology, nodes)
	loaded, stop := context.WithCancel(t.Context())
	calls, failed := sequence.load(loaded)
	began := time.Now()
	sequence.run(versions)
	took := time.Since(began)
	stop()
	table := &Table{Title: fmt.Sprintf("%d versions, a fifth of them bad, %d real nodes under load, 7 controllers", versions, nodes), Header: []string{"", "count"}}
	for _, bad := range badVersions {
		table.Add("rejected: "+bad.name, sequence.rejected[bad.name])
	}
	table.Add("calls of the load", calls())
	table.Add("calls not answered by a server", failed())
	table.Add("seconds", took.Seconds())
	printTable(table)
	if lost := failed(); lost > 0 {
		t.Errorf("%d calls of the load failed", lost)
	}
}

// TestRealNodesDoWhatTheyAcknowledge is the small form of TestVersionsBad.
func TestRealNodesDoWhatTheyAcknowledge(t *testing.T) {
	newVersionSequence(t, SmallTopology, 2).run(len(badVersions) * badInterval)
}
