package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"testing"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/configapi"
)

func documentOf(services ...string) configapi.Document {
	d := configapi.Document{Services: map[string]configapi.ServiceConfig{}}
	for _, name := range services {
		d.Services[name] = configapi.ServiceConfig{Settings: json.RawMessage(fmt.Sprintf("{%q:1}", name))}
	}
	return d
}

func mustPublish(t *testing.T, s *state, c publishCommand) *state {
	t.Helper()
	next, result := s.apply(command{Kind: commandPublish, Publish: &c})
	if result.Err != nil {
		t.Fatalf("publish %s: %v", c.ID, result.Err)
	}
	return next
}

// A version that names one service does not change the configurations of the others.
func TestStateKeepsServicesThatAVersionDoesNotName(t *testing.T) {
	s := mustPublish(t, &state{Cluster: "c"}, publishCommand{ID: "1", Document: documentOf("dry", "press")})
	s = mustPublish(t, s, publishCommand{ID: "2", Document: documentOf("press")})
	if s.Version != 2 || s.Services["dry"].ConfigVersion != 1 || s.Services["press"].ConfigVersion != 2 {
		t.Errorf("version %d, services %+v", s.Version, s.Services)
	}
}

// Sessions read a state while newer commands are applied, so applying a command must not change the state.
func TestStateIsImmutable(t *testing.T) {
	first := mustPublish(t, &state{Cluster: "c"}, publishCommand{ID: "1", Document: documentOf("dry")})
	before, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	mustPublish(t, first, publishCommand{ID: "2", Document: documentOf("dry", "press"), Replaces: []configapi.Cluster{"old"}})
	first.apply(command{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{"c1", 1, "p"}})
	after, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, after) {
		t.Errorf("a state changed from %s to %s", before, after)
	}
}

// A publish request is repeated with the same ID. It adds no version, and gets the same reply. A request with the same
// ID and other content is an error.
func TestStateRepeatedPublish(t *testing.T) {
	s := mustPublish(t, &state{Cluster: "c"}, publishCommand{ID: "1", Document: documentOf("dry"), TimeMS: 10})
	s = mustPublish(t, s, publishCommand{ID: "2", Document: documentOf("press"), TimeMS: 20})
	next, result := s.apply(command{Kind: commandPublish, Publish: &publishCommand{ID: "1", Document: documentOf("dry"), TimeMS: 5000}})
	if next != s || result.Err != nil || result.Reply.Version != 1 {
		t.Errorf("the same request repeated: %+v, version %d", result, next.Version)
	}
	next, result = s.apply(command{Kind: commandPublish, Publish: &publishCommand{ID: "1", Document: documentOf("mill"), TimeMS: 5000}})
	if next != s || result.Err == nil || result.Err.Kind != configapi.ErrorInvalid {
		t.Errorf("another request with the same ID: %+v, version %d", result, next.Version)
	}
}

// A script publishes in a loop. The rate is limited by the times in the log. A time before the earlier ones, from a
// leader whose clock is behind, is not limited.
func TestStatePublishRate(t *testing.T) {
	for name, c := range map[string]struct {
		at      int64 // time of the publish request that follows MaxPublishRate others at 1000, 1001, ...
		limited bool
	}{
		"immediately after the others":        {1010, true},
		"just under a second after the first": {1999, true},
		"a second after the first":            {2000, false},
		"a time before the first":             {900, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &state{Cluster: "c"}
			for i := range configapi.MaxPublishRate {
				s = mustPublish(t, s, publishCommand{ID: fmt.Sprint(i), Document: documentOf("dry"), TimeMS: 1000 + int64(i)})
			}
			next, result := s.apply(command{Kind: commandPublish, Publish: &publishCommand{ID: "late", Document: documentOf("dry"), TimeMS: c.at}})
			limited := result.Err != nil && result.Err.Kind == configapi.ErrorRateLimited
			if limited != c.limited || (next == s) != c.limited {
				t.Errorf("%+v, version %d", result, next.Version)
			}
		})
	}
}

// The history of versions does not grow without bound.
func TestStateHistoryIsBounded(t *testing.T) {
	s := &state{Cluster: "c"}
	for i := range maxHistory + 5 {
		s = mustPublish(t, s, publishCommand{ID: fmt.Sprint(i), Document: documentOf("dry"), TimeMS: int64(i) * publishRateWindowMS})
	}
	if len(s.History) != maxHistory || s.History[0].Version != 6 || s.Version != maxHistory+5 {
		t.Errorf("%d entries from version %d at version %d", len(s.History), s.History[0].Version, s.Version)
	}
}

// Two successive leaders propose an identity for a new cluster. The first one remains in force.
func TestStateClusterIdentityIsSetOnce(t *testing.T) {
	s, _ := (&state{}).apply(command{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{"first"}})
	s, _ = s.apply(command{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{"second"}})
	if s.Cluster != "first" {
		t.Errorf("cluster %s", s.Cluster)
	}
}

// Starts are recorded out of order. The state keeps the latest one, because checkDiskFreshness compares with it.
func TestStateKeepsTheLatestStart(t *testing.T) {
	s := &state{}
	for _, start := range []memberStartedCommand{{"c1", 2, "b"}, {"c1", 1, "a"}, {"c1", 2, "other"}, {"c2", 7, "x"}} {
		s, _ = s.apply(command{Kind: commandMemberStarted, MemberStarted: &start})
	}
	want := map[string]memberStart{"c1": {2, "b"}, "c2": {7, "x"}}
	if !reflect.DeepEqual(s.Starts, want) {
		t.Errorf("starts %+v, want %+v", s.Starts, want)
	}
}

// A leader of a newer build proposes a command that this build does not know. The state does not change, and the result
// has an error.
func TestStateRejectsUnknownCommands(t *testing.T) {
	s := &state{}
	next, result := s.apply(command{Kind: "unknown command"})
	if next != s || result.Err == nil {
		t.Errorf("result %+v", result)
	}
}

// drawCommand generates a command of any kind. Some commands repeat an ID or a start.
func drawCommand(t *rapid.T) command {
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		cluster := configapi.Cluster(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "cluster"))
		return command{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{cluster}}
	case 1:
		start := memberStartedCommand{ServerID: rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "server"),
			Start: uint64(rapid.IntRange(1, 5).Draw(t, "start")), ProcessID: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "process")}
		return command{Kind: commandMemberStarted, MemberStarted: &start}
	}
	services := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"dry", "press", "mill"}), 1, 3, rapid.ID).Draw(t, "services")
	publish := publishCommand{ID: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")), Document: documentOf(services...),
		TimeMS: int64(rapid.IntRange(0, 3000).Draw(t, "time"))}
	return command{Kind: commandPublish, Publish: &publish}
}

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "memory" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// A controller that replays the whole log, and one that restores a snapshot taken at any position and replays the rest,
// must have the same state. Each entry raises the version by at most 1, and none lowers it.
func TestFSMIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []*raft.Log
		for i, c := range rapid.SliceOfN(rapid.Custom(drawCommand), 1, 40).Draw(t, "log") {
			text, err := json.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			log = append(log, &raft.Log{Index: uint64(i + 1), Data: text})
		}
		cut := rapid.IntRange(0, len(log)).Draw(t, "snapshot position")
		replayed, restored := newFSM(newViewStore()), newFSM(newViewStore())
		var sink memorySink
		for i, entry := range log {
			if i == cut {
				takeSnapshot(t, replayed, &sink)
			}
			before := replayed.state.Version
			replayed.Apply(entry)
			if replayed.state.Version < before || replayed.state.Version > before+1 {
				t.Fatalf("version %d follows %d", replayed.state.Version, before)
			}
		}
		if cut == len(log) {
			takeSnapshot(t, replayed, &sink)
		}
		if err := restored.Restore(io.NopCloser(&sink.Buffer)); err != nil {
			t.Fatal(err)
		}
		for _, entry := range log[cut:] {
			restored.Apply(entry)
		}
		if got, want := encoded(t, restored.state), encoded(t, replayed.state); got != want {
			t.Fatalf("restored:\n%s\nreplayed:\n%s", got, want)
		}
		if restored.views.load().state != restored.state {
			t.Fatal("the view store and the FSM have different states")
		}
	})
}

func takeSnapshot(t *rapid.T, m *fsm, sink *memorySink) {
	s, err := m.Snapshot()
	if err == nil {
		err = s.Persist(sink)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func encoded(t *rapid.T, s *state) string {
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// An entry of the log is damaged. It does not change the state, and the result has an error.
func TestFSMRejectsUnreadableEntries(t *testing.T) {
	m := newFSM(newViewStore())
	result, ok := m.Apply(&raft.Log{Index: 3, Data: []byte("{")}).(commandResult)
	if !ok || result.Err == nil {
		t.Errorf("result %+v", result)
	}
}
