package main

import (
	"flag"
	"os"
	"os/exec"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/soak"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "the first seed of TestSoak")
	soakSeeds  = flag.Int("soak.seeds", 2, "how many seeds TestSoak plays")
	soakNodes  = flag.Int("soak.nodes", 8, "nodes of each play")
	soakLength = flag.Duration("soak.length", 20*time.Second, "of each play")
	soakBuild  = flag.String("soak.program", "", "another build of hookwalk to play; empty: this one")
)

// asProgram runs one node of a soak with the test binary, or with the build that the flag names.
func asProgram(config string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	if *soakBuild != "" {
		c = exec.Command(*soakBuild, "run")
	}
	c.Env = append(os.Environ(), "HOOKWALK_AS_PROGRAM=1", "ROUTER_CONFIG="+config)
	return c
}

// Random, overlapping faults break no rule, as seen from outside and by the nodes' own invariants. More:
//
//	go test ./cmd/hookwalk -run TestSoak -soak.seeds 50 -soak.nodes 24 -timeout 1h
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		plan := soak.DrawPlan(*soakSeed+uint64(i), *soakNodes, *soakLength)
		played, err := soak.Run(t.Context(), plan, asProgram)
		if err != nil {
			t.Fatal(err)
		}
		broken := played.Violations()
		t.Logf("seed %d: %v", plan.Seed, played)
		if len(broken) == 0 {
			continue
		}
		t.Errorf("seed %d: %d broken, the first:", plan.Seed, len(broken))
		for _, b := range broken[:min(len(broken), 5)] {
			t.Errorf("  %s", b)
		}
		for _, f := range played.Plan.Faults {
			t.Logf("  %v", f)
		}
	}
}
