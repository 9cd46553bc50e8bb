package peers

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
	"hookwalk.example/hookwalk/membership"
)

// While a new build is rolled out, nodes of two builds are members of one cluster. Renaming a Go field must not change the
// messages between them.
func TestGoldenMessage(t *testing.T) {
	path := filepath.Join("testdata", "message.json")
	want := message{Version: messageVersion, Sequence: 12, Leaving: true, Announcement: membership.Announcement{
		From: membership.Incarnation{Name: "node-1", Start: 5, Nonce: 18446744073709551615}, Site: "north",
		Digests: map[string]uint64{"north": 18446744073709551614, "north-a": 7},
		Newer:   []membership.Incarnation{{Name: "node-2", Start: 6, Nonce: 8}}, Request: true}}
	goldentest.Check(t, path, want)
	text := bytes.TrimSpace(goldentest.Text(t, path))
	if got, err := parseMessage(text); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, %v", got, err)
	}
	if got, err := encode(want); err != nil || !bytes.Equal(got, text) {
		t.Errorf("encoded as %s, %v", got, err)
	}
}

// The failure detector spreads the meta data of each node, and nodes of another build take the node's incarnation from it.
func TestGoldenMeta(t *testing.T) {
	path := filepath.Join("testdata", "meta.json")
	want := nodeMeta{Start: 5, Nonce: 18446744073709551615, Site: "north"}
	goldentest.Check(t, path, want)
	if got, err := parseMeta(goldentest.Text(t, path)); err != nil || got != want {
		t.Errorf("decoded as %+v, %v", got, err)
	}
}

// Operators' scripts and commands of another build read a node's view of its peers from its admin API.
func TestGoldenView(t *testing.T) {
	goldentest.Check(t, filepath.Join("testdata", "view.json"), View{Self: membership.Agreed.String(),
		Me: membership.Incarnation{Name: "node-1", Start: 5, Nonce: 9}, Site: "north", Digest: "00000000000000ff",
		Sites:   map[string]membership.Count{"north": {Running: 2, Known: 3}},
		Members: []MemberView{{Name: "node-2", Site: "north", State: membership.Alive.String(), Start: 6, ForMS: 1500}},
		Sent:    1000, Packets: 10, Streams: 2000, Bad: 1, Failed: 2})
}

// The view of a node that has not found its peers yet is mostly empty, but contains all JSON names.
func TestGoldenViewWhileJoining(t *testing.T) {
	path := filepath.Join("testdata", "view-joining.json")
	text := goldentest.Lines(t, View{Self: membership.Joining.String(), Site: "north"})
	if goldentest.Updating() {
		goldentest.Write(t, path, text)
	}
	if !bytes.Equal(text, goldentest.Text(t, path)) {
		t.Errorf("encoded as %s", text)
	}
}
