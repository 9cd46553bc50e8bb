package main

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// recordPath is the file in which TestRealNodesBlackBox stores its recorded history, as input of the checker's own tests.
var recordPath = flag.String("record", "", "store the history of TestRealNodesBlackBox in this file")

// A node may break a rule without noticing it. So the rules are checked on what clients, servers and discovery observe of
// real nodes on loopback, with every kind of fault on real connections.
func TestRealNodesBlackBox(t *testing.T) {
	s, err := scenario.Parse("small.hcl", []byte(smallWorld), nil)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	w, err := loopback.Start(t.Context(), s, loopback.Options{Program: []string{os.Args[0]}, Env: []string{"HOOKWALK_AS_PROGRAM=1"},
		Recorder: blackbox.NewRecorder(&text, loopback.HistoryHeader(s))})
	defer w.Shutdown(false)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := w.Run(); err != nil {
		t.Fatal(err)
	}
	if *recordPath != "" {
		if err := os.WriteFile(*recordPath, text.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	h, events, err := blackbox.Read(bytes.NewReader(text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range blackbox.Check(h, events) {
		t.Error(v)
	}
	for _, e := range events {
		if e.Kind == blackbox.NodeStarted && strings.HasSuffix(e.Node, ".1") && e.At > 0 {
			t.Errorf("%s was up before the run, but its start is recorded at %v", e.Node, e.At)
		}
	}
	if len(events) < 500 {
		t.Errorf("only %d events were recorded", len(events))
	}
}
