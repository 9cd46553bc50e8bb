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
	soakSeeds   = flag.Int("soak.seeds", 4, "how many seeds TestSoak plays")
	soakNodes   = flag.Int("soak.nodes", 8, "nodes of each play")
	soakLength  = flag.Duration("soak.length", 20*time.Second, "of each play")
	soakProgram = flag.String("soak.program", "", "another build of hookwalk to play; empty: this one")
)

// asProgram runs one node of a soak with the test binary, or with the build that the flag names.
func testBinaryAsNode(config string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	if *soakProgram != "" {
		c = exec.Command(*soakProgram, "run")
	}
	c.Env = append(os.Environ(), "HOOKWALK_AS_PROGRAM=1", "ROUTER_CONFIG="+config)
	return c
}

// Faults that overlap break rules which each of them alone does not: random, overlapping faults break no rule, as observed
// from outside and by the nodes' own invariants. More:
//
//	go test ./cmd/hookwalk -run TestSoak -soak.seeds 50 -soak.nodes 24 -timeout 1h
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { playSoak(t, soak.DrawPlan(seed, *soakNodes, *soakLength)) })
	}
}

// A server begins to drain in an outage of discovery. Discovery is back for 1.5 s, slowly, and down again: nodes whose polls
// all met the outages go on sending to that server later than 6 s after discovery could be reached.
func TestDrainBetweenOutages(t *testing.T) {
	const (
		seed  = 1041
		nodes = 24
	)
	playSoak(t, soak.DrawPlan(seed, nodes, *soakLength))
}

// Discovery is back for a second between two outages: nodes took both for one, and sent to a server that drains.
func TestResetInAnOutageEndsItsRenewals(t *testing.T) {
	playSoak(t, soak.RecoveryBetweenOutages())
}

// Nodes that start while discovery is crowded took its late rejections for an outage, and sent to a server that drains.
func TestRestartWhileDiscoveryIsCrowded(t *testing.T) {
	playSoak(t, soak.RestartWhileDiscoveryOverloaded())
}

// playSoak plays a plan and reports the rules that it broke.
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
	t.Errorf("%d broken, the first:", len(violations))
	for _, violation := range violations[:min(len(violations), 5)] {
		t.Errorf("  %s", violation)
	}
	for _, line := range result.Plan.Lines() {
		t.Logf("  %s", line)
	}
}
