package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/soak"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "the first seed of TestSoak")
	soakSeeds   = flag.Int("soak.seeds", 4, "the number of seeds of TestSoak")
	soakNodes   = flag.Int("soak.nodes", 8, "the number of nodes of each run")
	soakLength  = flag.Duration("soak.length", 20*time.Second, "the duration of each run")
	soakProgram = flag.String("soak.program", "", "run the nodes with another build of hookwalk; empty: this one")
)

// testBinaryAsNode returns the command of one node of a soak: the test binary, or the build that -soak.program names.
func testBinaryAsNode(config string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	if *soakProgram != "" {
		c = exec.Command(*soakProgram, "run")
	}
	c.Env = append(os.Environ(), "HOOKWALK_AS_PROGRAM=1", "ROUTER_CONFIG="+config)
	return c
}

// Overlapping faults can break rules that no single fault breaks. Under random, overlapping faults, no rule may be broken, as
// observed from outside and by the nodes' own invariants. For a longer soak:
//
//	go test ./cmd/hookwalk -run TestSoak -soak.seeds 50 -soak.nodes 24 -timeout 1h
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { playSoak(t, soak.DrawPlan(seed, *soakNodes, *soakLength)) })
	}
}

// Guards against this failure: a server begins to drain during an outage of discovery, which recovers for 1.5 s, responds slowly
// and fails again. Nodes whose polls all failed in the outages kept sending to that server more than 6 s after discovery had
// been reachable.
func TestDrainBetweenOutages(t *testing.T) {
	const (
		seed  = 1041
		nodes = 24
	)
	playSoak(t, soak.DrawPlan(seed, nodes, *soakLength))
}

// Guards against this failure: discovery recovers for a second between two outages. Nodes treated both as one outage, and sent
// to a draining server.
func TestRecoveryBetweenOutagesEndsRenewals(t *testing.T) {
	playSoak(t, soak.RecoveryBetweenOutages())
}

// Guards against this failure: nodes that start while discovery is overloaded treated its late rejections as an outage, and
// sent to a draining server.
func TestRestartWhileDiscoveryIsOverloaded(t *testing.T) {
	playSoak(t, soak.RestartWhileDiscoveryOverloaded())
}

// playSoak runs a plan, and fails the test if a rule was broken.
func playSoak(t *testing.T, plan soak.Plan) {
	result, err := soak.Run(t.Context(), plan, testBinaryAsNode, "")
	if err != nil {
		t.Fatal(err)
	}
	violations := result.Violations()
	t.Log(result.Totals())
	if len(violations) == 0 {
		return
	}
	t.Errorf("%d violations, the first:", len(violations))
	for _, violation := range violations[:min(len(violations), 5)] {
		t.Errorf("  %s", violation)
	}
	for _, line := range result.Plan.Lines() {
		t.Logf("  %s", line)
	}
}
