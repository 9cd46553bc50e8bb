package configapi

import (
	"encoding/json"
	"net/url"
	"path/filepath"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// While a build is rolled out, nodes, controllers and operators' commands of two builds communicate with each other.
// The encoding of a message must not change when a Go field is renamed.
func TestGoldenMessages(t *testing.T) {
	config := ServiceConfig{Settings: json.RawMessage(`{"tick-ms":5}`), Discovery: "127.0.0.1:7300"}
	controllers := []ControllerAddress{{Address: "127.0.0.1:7400", Region: "north", Zone: "north-a"}}
	rejection := &Rejection{Kind: RejectNoServer, Message: "class c would have no server"}
	document := Document{Services: map[string]ServiceConfig{"front": config, "mill": config}}
	golden := func(name string) string { return filepath.Join("testdata", name+".json") }

	goldentest.Check(t, golden("document"), document)
	goldentest.Check(t, golden("update"), Update{Cluster: "cluster-2", Replaces: []Cluster{"cluster-1"}, Version: 17, ConfigVersion: 16,
		Config: &config, HasLeaderContact: true, MigrateTo: "127.0.0.1:7401", Controllers: controllers})
	goldentest.Check(t, golden("acknowledgement"), Acknowledgement{Node: "node-1", StartedMS: 1700000000000, WatchNumber: 3,
		Cluster: "cluster-2", Version: 17, Outcome: Rejected, Rejection: rejection, Applied: 16})
	goldentest.Check(t, golden("publish-request"), PublishRequest{ID: "id-1",
		Document: json.RawMessage(`{"services":{"front":{"settings":{"tick-ms":5}}}}`), Replaces: []Cluster{"cluster-1"}})
	goldentest.Check(t, golden("publish-reply"), PublishReply{Cluster: "cluster-2", Version: 17})
	goldentest.Check(t, golden("error"), Error{Kind: ErrorNoCapacity, Message: "no more sessions", Leader: "127.0.0.1:7401", Alternatives: controllers})
	goldentest.Check(t, golden("load"), Load{Name: "c1", Cluster: "cluster-2", Sessions: 4, HasLeaderContact: true})
	goldentest.Check(t, golden("status"), ControllerStatus{Name: "c1", Cluster: "cluster-2", Version: 17, Leader: "c2", HasLeaderContact: true,
		Sessions: 4, Controllers: controllers, Nodes: []NodeStatus{{Node: "node-1", Service: "front", Region: "north", Zone: "north-a",
			StartedMS: 1700000000000, WatchNumber: 3, Connected: true, LastSeenMS: 1700000001000, Cluster: "cluster-2", LastDecided: 17,
			Outcome: Rejected, Applied: 16, Rejection: rejection}}})
}

// The constant values in messages are part of the protocol, as are the JSON names.
func TestGoldenConstants(t *testing.T) {
	goldentest.Check(t, filepath.Join("testdata", "words.json"), map[string]any{
		"outcomes":   []any{string(Applied), string(Rejected)},
		"rejections": []any{string(RejectUnreadable), string(RejectInvalid), string(RejectNoServer), string(RejectOneServer), string(RejectForeign), string(RejectOlder)},
		"errors":     []any{string(ErrorInvalid), string(ErrorTooLarge), string(ErrorRateLimited), string(ErrorNotLeader), string(ErrorNoQuorum), string(ErrorOutcomeUnknown), string(ErrorNoCapacity)},
		"paths":      []any{PathWatch, PathAck, PathPublish, PathStatus, PathLoad},
	})
}

// A node opens its watch with a query, which a controller of another build may have to decode.
func TestGoldenWatchRequest(t *testing.T) {
	const golden = "applied=16&cluster=cluster-2&held=17&node=node-1&reason=no+server&refused=2&region=north&rejected=1&service=front&session=3&started=1700000000000&zone=north-a"
	want := WatchRequest{Node: "node-1", Service: "front", Region: "north", Zone: "north-a", StartedMS: 1700000000000, WatchNumber: 3,
		Cluster: "cluster-2", LastDecided: 17, Applied: 16, LastRejected: true, RejectionReason: "no server", WatchRejections: 2}
	if zero := goldentest.ZeroFields(want); zero != nil {
		t.Errorf("zero fields: %v", zero)
	}
	if got := want.Query(); got != golden {
		t.Errorf("encoded as %s", got)
	}
	query, err := url.ParseQuery(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ParseWatchRequest(query); err != nil || got != want {
		t.Errorf("decoded as %+v, %v", got, err)
	}
}
