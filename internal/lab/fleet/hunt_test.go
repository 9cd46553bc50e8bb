package fleet

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const world = `scenario "w" { length_s = 14 }
tier "front" { kind "k" { count = 4 } }
tier "store" { kind "k" { count = 4 } }
class "c" {}
front { nodes = 4 }
fleet { control = "on" }
`

func load(t *testing.T, name, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse(name, []byte(text), os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A schedule that was found must play again from its file: each drawn one depends only on its seed, is over before the end,
// can be played, and reads back from a file as it is.
func TestDrawnSchedulesReplayFromTheirFiles(t *testing.T) {
	s := load(t, "w.hcl", world)
	kinds := map[string]bool{}
	for seed := range uint64(300) {
		list := Draw(s, seed)
		if !reflect.DeepEqual(list, Draw(s, seed)) {
			t.Fatalf("seed %d is drawn in two ways", seed)
		}
		text := world
		for _, d := range list {
			kinds[d.Kind] = true
			text += FaultText(d)
			if d.At < time.Second || d.Duration <= 0 || d.At+d.Duration > s.Length-faultFreeTail {
				t.Errorf("seed %d: %s from %v for %v", seed, d.Kind, d.At, d.Duration)
			}
		}
		again := load(t, "again.hcl", text)
		if len(again.Faults) != len(list) {
			t.Fatalf("seed %d: %d faults of %d", seed, len(again.Faults), len(list))
		}
		again.Seed = seed
		drawn := *again
		drawn.Faults = list
		want, err := model.ProcessFaults(&drawn)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		got, err := model.ProcessFaults(again)
		if err != nil || len(got) != len(want) {
			t.Fatalf("seed %d: %d process faults of %d, %v", seed, len(got), len(want), err)
		}
		for i := range got {
			got[i].Position, want[i].Position = "", ""
			if !reflect.DeepEqual(got[i], want[i]) {
				t.Errorf("seed %d: %+v is played as %+v", seed, want[i], got[i])
			}
		}
	}
	for _, kind := range scenario.ProcessFaultKinds {
		if !kinds[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

// A finding that holds faults without effect sends an engineer the wrong way: what a hunt finds holds no fault that can be
// left out, and is a file that plays again. A play that the machine spoils is no finding.
func TestHuntShrinksFindings(t *testing.T) {
	dir := t.TempDir()
	base := filepath.Join(dir, "w.hcl")
	if err := os.WriteFile(base, []byte(world), 0o600); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	plays := 0
	has := func(s *scenario.Scenario, kind string) bool {
		return slices.ContainsFunc(s.Faults, func(t scenario.Fault) bool { return t.Kind == kind })
	}
	h := &Hunt{World: load(t, base, world), Seeds: 200, FirstSeed: 1, Parallel: 4, Folder: filepath.Join(dir, "found"), WorldFile: base, Logf: t.Logf,
		play: func(_ context.Context, s *scenario.Scenario) (*Result, error) {
			mu.Lock()
			defer mu.Unlock()
			plays++
			p := &Result{}
			if s.Seed == 5 || plays%31 == 0 { // a port is taken: the hunt goes on
				return nil, &StageError{errors.New("address already in use"), dir}
			}
			if plays%7 == 0 {
				p.Lateness = time.Second // the machine was slow: nothing is judged
			} else if has(s, "kill") && has(s, "cut") {
				p.Violations = []checker.Violation{{Rule: checker.NothingLost}}
			}
			return p, nil
		}}
	found, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if h.Played != h.Seeds-1 {
		t.Errorf("%d of %d seeds were played, and one can't be", h.Played, h.Seeds)
	}
	if len(found) < 3 {
		t.Fatalf("%d found", len(found))
	}
	for _, f := range found {
		again, err := scenario.Load(f.File)
		if err != nil {
			t.Fatal(err)
		}
		kinds := map[string]int{}
		for _, d := range again.Faults {
			kinds[d.Kind]++
		}
		if !reflect.DeepEqual(kinds, map[string]int{"kill": 1, "cut": 1}) || again.Seed != f.Seed || f.Reason != "breaks lost" {
			t.Errorf("seed %d: %s, %v", f.Seed, f.Reason, kinds)
		}
	}
}
