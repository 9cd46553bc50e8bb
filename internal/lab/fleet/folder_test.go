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

// What has become of a folder is what the scenario says, after whatever became of it before.
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
		dir, before, beside := filepath.Join(root, "0"), filepath.Join(root, "past"), filepath.Join(root, "1")
		put(before, past)
		put(beside, texts{"its.kept": "its own", "its.more": "more"})
		rng := model.Stream(1, "folders", 0)
		err := errors.Join(os.WriteFile(dir, nil, 0o600), changeFolder("kept", dir, before, beside, rng)) // as "unwritable" leaves it
		put(dir, mine)
		if err = errors.Join(err, changeFolder(state, dir, before, beside, rng)); err != nil {
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
		t.Errorf("not all of %v are tried", scenario.FolderStates)
	}
}

// A worker that is stopped reads nothing. That must not hold up the rig, and the worker is ended nevertheless.
func TestStoppedWorkerDoesNotBlockTheRig(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	var ended error
	r := &rig{cancel: func(err error) { ended = err }}
	p := &worker{rig: r, name: "boxes", outgoing: make(chan []byte, maxUnread)}
	outgoing, over := p.outgoing, make(chan struct{})
	go func() {
		writeMessages(write, outgoing)
		close(over)
	}()
	for n := 0; ended == nil; n++ {
		if p.send(loopback.Message{Node: strconv.Itoa(n)}); n > 10*maxUnread {
			t.Fatal("it takes more messages than it may")
		}
	}
	p.stop()
	read.Close() // as its process ends
	<-over
	p.send(loopback.Message{}) // one that is gone needs none
}
