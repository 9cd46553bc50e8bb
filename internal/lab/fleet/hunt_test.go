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

// A found schedule must be reproducible from its file. Each drawn schedule depends only on its seed, ends before the
// fault-free tail, is valid, and is unchanged after it is written to a file and read back.
func TestDrawnSchedulesReplayFromTheirFiles(t *testing.T) {
	s := load(t, "w.hcl", world)
	kinds := map[string]bool{}
	for seed := range uint64(300) {
		list := Draw(s, seed)
		if !reflect.DeepEqual(list, Draw(s, seed)) {
			t.Fatalf("seed %d: two draws differ", seed)
		}
		text := world
		for _, d := range list {
			kinds[d.Kind] = true
			text += FaultText(d)
			if d.At < time.Second || d.Duration <= 0 || d.At+d.Duration > s.Length-faultFreeTail {
				t.Errorf("seed %d: fault %s at %v for %v is outside the bounds", seed, d.Kind, d.At, d.Duration)
			}
		}
		reloaded := load(t, "again.hcl", text)
		if len(reloaded.Faults) != len(list) {
			t.Fatalf("seed %d: read %d faults, want %d", seed, len(reloaded.Faults), len(list))
		}
		reloaded.Seed = seed
		drawn := *reloaded
		drawn.Faults = list
		want, err := model.ProcessFaults(&drawn)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		got, err := model.ProcessFaults(reloaded)
		if err != nil || len(got) != len(want) {
			t.Fatalf("seed %d: got %d process faults, want %d; error %v", seed, len(got), len(want), err)
		}
		for i := range got {
			got[i].Position, want[i].Position = "", ""
			if !reflect.DeepEqual(got[i], want[i]) {
				t.Errorf("seed %d: drawn %+v, read back %+v", seed, want[i], got[i])
			}
		}
	}
	for _, kind := range scenario.ProcessFaultKinds {
		if !kinds[kind] {
			t.Errorf("fault %s is never drawn", kind)
		}
	}
}

// Faults without effect in a finding would mislead its reader. A finding contains no fault that can be removed, and its
// file can be played again. A play that failed because of the machine is not a finding.
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
			if s.Seed == 5 || plays%31 == 0 { // the rig fails; the hunt must continue
				return nil, &RigError{errors.New("address already in use"), dir}
			}
			if plays%7 == 0 {
				p.Lateness = time.Second // the machine was too slow; the rules are not checked
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
		t.Errorf("played %d of %d seeds, want all but one", h.Played, h.Seeds)
	}
	if len(found) < 3 {
		t.Fatalf("got %d findings, want at least 3", len(found))
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
			t.Errorf("seed %d: reason %q, faults %v", f.Seed, f.Reason, kinds)
		}
	}
}
