package sweep

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

const smallScenario = `scenario "small" { seed = 4 length_s = 2 }
tier "t" { kind "k" { count = 3 cores = 1 slots = 4 queue = 2 } }
class "c" { effect = "safe" work_ms = 10 aim_ms = 100 deadline_ms = 300 }
trouble "crash" { at_s = 0.5 length_s = 0.5 }
`

func grid(t *testing.T) Grid {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.hcl")
	if err := os.WriteFile(path, []byte(smallScenario), 0o600); err != nil {
		t.Fatal(err)
	}
	return Grid{File: path, Seeds: 2, Policies: []string{"deckrelay", "random"}, Settings: []Setting{{"clients.rate", []string{"50", "200"}}}}
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A sweep that takes hours must be able to resume: finished cells are kept, cells whose files are truncated or hold no
// results run again, and the results are byte for byte those of an uninterrupted sweep.
func TestStoppedSweepResumes(t *testing.T) {
	g, dir := grid(t), t.TempDir()
	var reported atomic.Int32
	if _, err := Run(context.Background(), g, dir, func(int, int) { reported.Add(1) }); err != nil {
		t.Fatal(err)
	}
	if reported.Load() != 8 {
		t.Errorf("progress reported for %d cells, want 8", reported.Load())
	}
	complete, table := read(t, filepath.Join(dir, "results.jsonl")), read(t, filepath.Join(dir, "results.csv"))
	if strings.Count(complete, "\n") != 8 || strings.Count(table, "\n") != 9 {
		t.Errorf("%d lines, %d rows", strings.Count(complete, "\n"), strings.Count(table, "\n"))
	}
	files, err := filepath.Glob(filepath.Join(dir, "cells", "*.json"))
	if err != nil || len(files) != 8 {
		t.Fatalf("%d cells, %v", len(files), err)
	}
	kept := strings.Replace(read(t, files[0]), `"attempts":`, `"attempts":1`, 1) // makes it visible that the cell did not run again
	for i, text := range []string{kept, read(t, files[1])[:40], "{}", ""} {
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	if _, err := Run(stopped, g, dir, func(int, int) {}); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped: %v", err)
	}
	if _, err := Run(context.Background(), g, dir, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	again := read(t, filepath.Join(dir, "results.jsonl"))
	if again == complete || strings.Replace(again, `"attempts":1`, `"attempts":`, 1) != strings.Replace(complete, `"attempts":1`, `"attempts":`, 1) &&
		strings.Count(again, "\n") != 8 {
		t.Error("the kept cell ran again, or another cell differs")
	}
}

// An invalid value must not be found only after hours: the complete grid is read before any cell runs.
func TestGridIsValidatedBeforeAnyRun(t *testing.T) {
	for want, breakGrid := range map[string]func(*Grid){
		"unknown policy":     func(g *Grid) { g.Policies = []string{"guess"} },
		"rate must be from":  func(g *Grid) { g.Settings[0].Values = []string{"50", "-1"} },
		"must be a number":   func(g *Grid) { g.Settings[0].Values = []string{"fast"} },
		"unknown setting":    func(g *Grid) { g.Settings[0].Path = "clients.speed" },
		"has no such block":  func(g *Grid) { g.Settings[0].Path = "class.d.share" },
		"want block.setting": func(g *Grid) { g.Settings[0].Path = "rate" },
		"more than 100000":   func(g *Grid) { g.Seeds = 100000 },
		"no such file":       func(g *Grid) { g.File += "x" },
	} {
		g, dir := grid(t), t.TempDir()
		breakGrid(&g)
		if _, err := Run(context.Background(), g, dir, func(int, int) {}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
		if left, _ := os.ReadDir(dir); len(left) > 0 {
			t.Errorf("%s: the sweep started nevertheless", want)
		}
	}
	for _, text := range []string{"a", "=1", "a=", "a=1,,2"} {
		if _, err := ParseSetting(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func cells(worth ...float64) (list []Cell) {
	for i, w := range worth {
		list = append(list, Cell{Scenario: "s", Policy: "p", Settings: map[string]string{"a.b": "1"}, Seed: uint64(i),
			Metrics: map[string]float64{"worth": w}, ValueShares: []float64{w, w}, Latencies: []float64{1, 2},
			Faults: []FaultInterval{{"crash", 0, 1}}})
	}
	return list
}

// A change is significant only if its confidence interval over the pairs excludes zero. Cells without a counterpart are
// counted.
func TestSummaryAndDiff(t *testing.T) {
	s := Summarize([]float64{3, 1, 2, 10})
	// Student's t for three degrees of freedom is 3.182; the standard error of these values is 2.0412.
	if s.Median != 2.5 || s.Min != 1 || s.Max != 10 || s.Mean != 4 || math.Abs(s.HalfInterval-6.496) > 0.001 {
		t.Errorf("got %+v", s)
	}
	changes, unpaired := Diff(cells(0.5, 0.6, 0.7), append(cells(0.4, 0.5, 0.6, 0.9), Cell{Scenario: "other", Metrics: map[string]float64{"worth": 1}}))
	if len(changes) != 1 || unpaired != 2 || changes[0].Pairs != 3 || math.Abs(changes[0].MeanChange+0.1) > 1e-9 || !changes[0].Significant() {
		t.Errorf("got %+v, %d unpaired", changes, unpaired)
	}
	changes, _ = Diff(cells(0.5, 0.6, 0.7), cells(0.4, 0.8, 0.6))
	if changes[0].Significant() {
		t.Errorf("a change within its interval is significant: %+v", changes[0])
	}
}

// A truncated or invalid results file is an error that names the file and the line.
func TestReadNamesFileAndLine(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{"": "the file holds no results", "{}": ":1: the line is not a result", "half": ":1: invalid",
		`{"policy":"p","figures":{"worth":1}}` + "\n[]": ":2: "} {
		if err := os.WriteFile(filepath.Join(dir, "results.jsonl"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The page loads no other files, and the name of a scenario can't inject markup.
func TestReportIsSelfContained(t *testing.T) {
	list := cells(0.5, 0.6)
	big := cells(0.3, 0.4)
	for i := range big {
		big[i].Settings = map[string]string{"a.b": "10", "a.c": "no number"}
	}
	list = append(list, big...)
	for i := range list {
		list[i].Scenario = "<script>alert(1)</script>"
	}
	var out bytes.Buffer
	if err := Report(&out, list, []string{"worth"}); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if strings.Count(page, "<svg") != 4 || !strings.Contains(page, "worth against a.b") || strings.Contains(page, "NaN") || !strings.Contains(page, "crash") || !strings.Contains(page, "0.55") {
		t.Errorf("%d plots in %d bytes", strings.Count(page, "<svg"), len(page))
	}
	for _, forbidden := range []string{"<script", "<link", "src=", "href=\"http", "<?xml"} {
		if strings.Contains(page, forbidden) {
			t.Errorf("the page contains %s", forbidden)
		}
	}
}
