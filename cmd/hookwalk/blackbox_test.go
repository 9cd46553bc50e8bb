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

// record keeps the history that TestRealNodesFromOutside plays, for the outside checker's own tests.
var record = flag.String("record", "", "a file for the history")

// Nodes that break a rule may not know it. Real nodes on loopback, with every fault on real connections, keep the rules as
// clients, servers and discovery observe them.
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
	if *record != "" {
		if err := os.WriteFile(*record, text.Bytes(), 0o644); err != nil {
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
			t.Errorf("%s was up before the play and is recorded as started at %v", e.Node, e.At)
		}
	}
	if len(events) < 500 {
		t.Errorf("only %d events", len(events))
	}
}
