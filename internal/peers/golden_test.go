package peers

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
	"hookwalk.example/hookwalk/membership"
)

// Nodes of two builds are members of one cluster while a build is rolled out: what they send to each other must not
// change with the names of Go fields.
func TestGoldenMessage(t *testing.T) {
	path := filepath.Join("testdata", "message.json")
	want := message{Version: messageVersion, Sequence: 12, Leaving: true, Announcement: membership.Announcement{
		From: membership.Incarnation{Name: "node-1", Start: 5, Nonce: 18446744073709551615}, Site: "north",
		Digests: map[string]uint64{"north": 18446744073709551614, "north-a": 7},
		Newer:   []membership.Incarnation{{Name: "node-2", Start: 6, Nonce: 8}}, Request: true}}
	goldentest.Check(t, path, want)
	text := bytes.TrimSpace(goldentest.Text(t, path))
	if got, err := parseMessage(text); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v", got, err)
	}
	if got, err := encode(want); err != nil || !bytes.Equal(got, text) {
		t.Errorf("written as %s, %v", got, err)
	}
}

// The meta data is what the failure detector spreads of each node: nodes of another build learn its incarnation from it.
func TestGoldenMeta(t *testing.T) {
	path := filepath.Join("testdata", "meta.json")
	want := nodeMeta{Start: 5, Nonce: 18446744073709551615, Site: "north"}
	goldentest.Check(t, path, want)
	if got, err := parseMeta(goldentest.Text(t, path)); err != nil || got != want {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// Operators' scripts, and commands of another build, read a node's view of its peers from its control.
func TestGoldenView(t *testing.T) {
	goldentest.Check(t, filepath.Join("testdata", "view.json"), View{Self: membership.Agreed.String(),
		Me: membership.Incarnation{Name: "node-1", Start: 5, Nonce: 9}, Site: "north", Digest: "00000000000000ff",
		Sites:   map[string]membership.Count{"north": {Running: 2, Known: 3}},
		Members: []MemberView{{Name: "node-2", Site: "north", State: membership.Alive.String(), Start: 6, ForMS: 1500}},
		Sent:    1000, Packets: 10, Streams: 2000, Bad: 1, Failed: 2})
}

// A node that has not met its peers yet says so with a view of which most is empty; the names are all there.
func TestGoldenViewWhileJoining(t *testing.T) {
	path := filepath.Join("testdata", "view-joining.json")
	text := goldentest.Lines(t, View{Self: membership.Joining.String(), Site: "north"})
	if goldentest.Updating() {
		goldentest.Write(t, path, text)
	}
	if !bytes.Equal(text, goldentest.Text(t, path)) {
		t.Errorf("written as %s", text)
	}
}
