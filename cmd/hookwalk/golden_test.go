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

// Operators' scripts read the JSON that config status prints: its names must not change with those of Go fields.
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

// sites show may ask a node of another build: it must find all that it prints in the view that a node answers.
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

// What the commands print and read as JSON is named by tags, so that a field's new name is not another form.
func TestGoldenFieldsAreTagged(t *testing.T) {
	for _, form := range []reflect.Type{reflect.TypeFor[statusReport](), reflect.TypeFor[peersView]()} {
		if untagged := goldentest.UntaggedFields(form); untagged != nil {
			t.Errorf("%s: without a tag: %v", form, untagged)
		}
	}
}

// A node claims a start number above the one that the build before has left on disk: its peers take a lower one for that
// of an old process.
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
