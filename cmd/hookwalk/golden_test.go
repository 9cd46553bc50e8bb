//go:build !nolab

package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/goldentest"
	"hookwalk.example/hookwalk/internal/state"
)

// Operators' scripts read the JSON that config status prints: its names must not change when Go fields are renamed.
func TestGoldenConfigStatus(t *testing.T) {
	path := filepath.Join("testdata", "config-status.json")
	status := goldentest.Read[configapi.ControllerStatus](t, filepath.Join("..", "..", "internal", "configapi", "testdata", "status.json"))[0]
	want := statusReport{Complete: true, Controllers: []configapi.ControllerStatus{status}, Unreachable: []string{"127.0.0.1:7402: no answer"},
		Rollout: configversion.Rollout{Cluster: "cluster-2", Version: 17, Current: 1, Lagging: 2, Rejected: 3, Disconnected: 4,
			Nodes:             []configversion.NodeRollout{{NodeStatus: status.Nodes[0], State: configversion.RolloutRejected, Controller: "c1"}},
			BehindControllers: []string{"c3"}, ForeignControllers: []string{"c4"}}}
	if zero := goldentest.ZeroFields(want); zero != nil {
		t.Errorf("missing or zero: %v", zero)
	}
	var printed bytes.Buffer
	if err := want.print(&printed, true); err != nil {
		t.Fatal(err)
	}
	if goldentest.Updating() {
		goldentest.Write(t, path, printed.Bytes())
	}
	if !bytes.Equal(printed.Bytes(), goldentest.Text(t, path)) {
		t.Errorf("printed as %s", printed.Bytes())
	}
}

// sites show may query a node of another build: it must find everything that it prints in the view that nodes return.
func TestGoldenSitesShow(t *testing.T) {
	text := goldentest.Text(t, filepath.Join("..", "..", "internal", "peers", "testdata", "view.json"))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(text) }))
	defer server.Close()
	var read peersView
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	if zero := goldentest.ZeroFields(read); zero != nil {
		t.Errorf("not found in the view: %v", zero)
	}
	path := filepath.Join("testdata", "sites-show.txt")
	var printed bytes.Buffer
	if err := (sitesShow{Addr: strings.TrimPrefix(server.URL, "http://")}).Run(streams{stdout: &printed}); err != nil {
		t.Fatal(err)
	}
	if goldentest.Updating() {
		goldentest.Write(t, path, printed.Bytes())
	}
	if !bytes.Equal(printed.Bytes(), goldentest.Text(t, path)) {
		t.Errorf("printed\n%s", printed.Bytes())
	}
}

// JSON that the commands print or read must take all its names from tags, so that renaming a field does not change the form.
func TestGoldenFieldsAreTagged(t *testing.T) {
	for _, form := range []reflect.Type{reflect.TypeFor[statusReport](), reflect.TypeFor[peersView]()} {
		if untagged := goldentest.UntaggedFields(form); untagged != nil {
			t.Errorf("%s: without a tag: %v", form, untagged)
		}
	}
}

// A node must claim a higher start number than the one that a previous build has stored: its peers would attribute a lower
// number to an old incarnation.
func TestGoldenStartNumber(t *testing.T) {
	file := &startNumberFile{path: filepath.Join(t.TempDir(), "start"), owner: "node-1"}
	golden := bytes.TrimSpace(goldentest.Text(t, filepath.Join("testdata", "start.json")))
	if err := state.Write(file.path, "node-1", golden); err != nil {
		t.Fatal(err)
	}
	if next, err := file.Next(); err != nil || next != 8 {
		t.Errorf("the next start is %d, %v", next, err)
	}
	file.writes.Wait()
	if found := state.Read(file.path, "node-1"); string(found.Body) != "8" {
		t.Errorf("written as %s, %v", found.Body, found.Errors)
	}
	if _, err := os.Stat(file.path + ".before"); err != nil {
		t.Error(err)
	}
}
