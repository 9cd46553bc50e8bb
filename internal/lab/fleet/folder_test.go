package fleet

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// changeFolder must produce each state of a scenario, even if an earlier fault had replaced the folder by a file.
func TestChangeFolder(t *testing.T) {
	type texts map[string]string
	put := func(dir string, files texts) {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		for name, text := range files {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	mine, past := texts{"mine.kept": "0123456789", "mine.none": ""}, texts{"mine.kept": "earlier"}
	for state, want := range map[string]texts{"kept": mine, "full": mine, "emptied": {}, "old": past, "cut": nil, "unwritable": nil,
		"other": {"mine.kept": "its own", "mine.none": "", "its.more": "more"}} {
		root := t.TempDir()
		dir, pastDir, otherDir := filepath.Join(root, "0"), filepath.Join(root, "past"), filepath.Join(root, "1")
		put(pastDir, past)
		put(otherDir, texts{"its.kept": "its own", "its.more": "more"})
		rng := model.Stream(1, "folders", 0)
		err := errors.Join(os.WriteFile(dir, nil, 0o600), changeFolder("kept", dir, pastDir, otherDir, rng)) // the state that "unwritable" leaves
		put(dir, mine)
		if err = errors.Join(err, changeFolder(state, dir, pastDir, otherDir, rng)); err != nil {
			t.Fatalf("%s: %v", state, err)
		}
		got := texts{}
		if err := eachFile(dir, func(path string, _ int64) error {
			text, err := os.ReadFile(path)
			got[filepath.Base(path)] = string(text)
			return err
		}); (err != nil) != (state == "unwritable") {
			t.Errorf("%s: %v", state, err)
		}
		text := got["mine.kept"]
		if state == "cut" && (len(text) >= 10 || text != mine["mine.kept"][:len(text)]) || want != nil && !maps.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", state, got, want)
		}
		if info, err := os.Stat(filepath.Join(dir, "mine.kept")); state == "old" && (err != nil || time.Since(info.ModTime()) < oldFolderAge) {
			t.Errorf("old: %v", err)
		}
	}
	if len(scenario.FolderStates) != 7 {
		t.Errorf("the test does not cover all of %v", scenario.FolderStates)
	}
}

// A stopped worker does not read its pipe. Sending to it must not block the rig, and the worker must still be shut down.
func TestStoppedWorkerDoesNotBlockTheRig(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	var ended error
	r := &rig{cancel: func(err error) { ended = err }}
	w := &worker{rig: r, name: "boxes", outgoing: make(chan []byte, maxUnread)}
	outgoing, written := w.outgoing, make(chan struct{})
	go func() {
		writeMessages(write, outgoing)
		close(written)
	}()
	for n := 0; ended == nil; n++ {
		if w.send(loopback.Message{Node: strconv.Itoa(n)}); n > 10*maxUnread {
			t.Fatal("the worker accepted more messages than maxUnread")
		}
	}
	w.stop()
	read.Close() // as when its process exits
	<-written
	w.send(loopback.Message{}) // sending to an exited worker does nothing
}
