package fleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/violator"
)

// TestMain lets the test binary run as the rig's workers, and as nodes that break a rule.
func TestMain(m *testing.M) {
	fault := os.Getenv(violator.FaultVariable)
	if fault == "" {
		os.Exit(m.Run())
	}
	var err error
	if slices.Equal(os.Args[1:], []string{"lab", "part"}) {
		err = loopback.ServeWorker(context.Background(), os.Stdin, os.Stdout)
	} else {
		err = violator.Serve(fault)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// playUntilReliable plays a scenario with nodes that have a fault. It repeats a play for which the machine was too
// slow, because the rules are not checked then.
func playUntilReliable(t *testing.T, fault string, s *scenario.Scenario) *Result {
	t.Helper()
	for range 3 {
		p, err := Play(t.Context(), s, Options{Program: []string{os.Args[0]}, Env: []string{violator.FaultVariable + "=" + fault}})
		if err != nil {
			t.Fatal(err)
		}
		os.RemoveAll(p.Folder)
		if !p.Unreliable() {
			return p
		}
	}
	t.Fatal("the machine was too slow three times")
	return nil
}

// An injected fault must not excuse a node that breaks a rule: during each kind of fault between processes, the
// violations of the nodes must be reported.
func TestViolationsAreSeenDuringFaults(t *testing.T) {
	const nodesToBoxes = `at_s = 0.6 length_s = 0.4 part = 0.5 who = "nodes" whom = "boxes"`
	played := map[string]bool{}
	for fault, tc := range map[string]struct {
		fault string
		want  checker.Rule
	}{
		`"kill" { at_s = 0.6 length_s = 0.3 part = 0.5 folder = "emptied" }`: {violator.NoAnswer, checker.NothingLost},
		`"stall" { at_s = 0.6 length_s = 0.4 part = 0.5 }`:                   {violator.Late, checker.InTime},
		`"cut" { ` + nodesToBoxes + ` way = "back" }`:                        {violator.TooManyAttempts, checker.AttemptLimit},
		`"slow_link" { ` + nodesToBoxes + ` delay_ms = 5 }`:                  {violator.ParallelAttempts, checker.OneAttempt},
		`"reset_link" { ` + nodesToBoxes + ` }`:                              {violator.TooManyAttempts, checker.NoSecondRun},
		`"refuse_link" { ` + nodesToBoxes + ` }`:                             {violator.RejectAfterRun, checker.SafeRejection},
		`"half_open" { ` + nodesToBoxes + ` }`:                               {violator.FabricatedAnswer, checker.GenuineAnswer},
		`"break_link" { ` + nodesToBoxes + ` bytes = 40 }`:                   {violator.FabricatedAnswer, checker.GenuineAnswer},
		`"box_kill" { at_s = 0.5 length_s = 0.1 part = 1 }`:                  {violator.OverloadServer, checker.WarmupOverload},
		`"upgrade" { at_s = 1 part = 1 }`:                                    {violator.EarlyExit, checker.NothingLost},
		`"hand" { at_s = 0.5 length_s = 1 part = 1 }`:                        {violator.EarlyExit, checker.AdminOverride},
		`"release" { at_s = 0.5 length_s = 1 part = 1 }`:                     {violator.IgnoreUpdates, checker.DrainGrace},
		// an update that a muted watch missed counts as notified 6 s later if the node keeps the watch open
		`"hush" { at_s = 0.2 length_s = 7.5 part = 1 }
trouble "release" { at_s = 0.5 length_s = 30 part = 1 }`: {violator.IgnoreUpdates, checker.DrainGrace},
	} {
		length := "2"
		if strings.Contains(fault, "hush") {
			length = "8"
		}
		addDelayMS := "1000"
		if strings.Contains(fault, "box_kill") { // an overload breaks the rule only if most of it comes from nodes that were notified of the server
			addDelayMS = "1"
		}
		s := load(t, "violations.hcl", `scenario "violations" { length_s = `+length+` }
tier "t" { kind "k" { count = 2 cold_s = 5 conns = 200 slots = 200 } }
class "bin-weighin" { work_ms = 80 cv = 0 aim_ms = 500 deadline_ms = 1000 }
clients { rate = 25 retries = 0 }
front { nodes = 2 notice_s = 0.1 }
discovery { drain_ms = 10 spread_ms = 10 add_ms = `+addDelayMS+` }
fleet { boxes_per_process = 2 control = "on" }
trouble `+fault)
		played[s.Faults[0].Kind] = true
		t.Run(s.Faults[0].Kind, func(t *testing.T) {
			t.Parallel()
			violations := playUntilReliable(t, tc.fault, s).Violations
			if !slices.ContainsFunc(violations, func(v checker.Violation) bool { return v.Rule == tc.want }) {
				t.Errorf("%q is not among the %d violations: %v", tc.want, len(violations), violations[:min(3, len(violations))])
			}
		})
	}
	for _, kind := range scenario.ProcessFaultKinds {
		if !played[kind] {
			t.Errorf("no violation is tested during %s", kind)
		}
	}
}

// A server that an operator disabled must stay disabled after a crash of the node. The checker must expect this of the next
// incarnation only if the node's folder was kept.
func TestOverridesPersistAcrossCrash(t *testing.T) {
	for folder, owed := range map[string]bool{"kept": true, "full": true, "emptied": false, "old": false} {
		s := load(t, "hand.hcl", `scenario "hand" { length_s = 3 }
tier "t" { kind "k" { count = 3 } }
class "c" { effect = "safe" }
clients { rate = 20 retries = 0 }
front { nodes = 2 notice_s = 0.1 }
fleet { control = "on" }
trouble "hand" { at_s = 0.3 length_s = 2 part = 0.7 }
trouble "kill" { at_s = 1 length_s = 0.2 part = 1 folder = "`+folder+`" }
`)
		t.Run(folder, func(t *testing.T) {
			t.Parallel()
			violations := playUntilReliable(t, violator.ForgetOverrides, s).Violations
			if other := slices.IndexFunc(violations, func(v checker.Violation) bool { return v.Rule != checker.AdminOverride || v.At < time.Second }); other >= 0 {
				t.Errorf("unexpected violation: %v", violations[other])
			}
			if len(violations) > 0 != owed {
				t.Errorf("requests to a disabled server: reported %v, want %v", !owed, owed)
			}
		})
	}
}

// If two overlapping faults kill one process of servers, it must be restarted only once, after the later fault;
// otherwise two processes run the same servers. A fault that ends with the play must not leak a process: Play waits for
// all of them.
func TestOverlappingServerKills(t *testing.T) {
	p := playUntilReliable(t, violator.EarlyExit, load(t, "overlap.hcl", `scenario "overlap" { length_s = 2 }
tier "t" { kind "k" { count = 2 } }
class "c" { effect = "safe" }
clients { rate = 10 retries = 0 }
front { nodes = 2 }
fleet { boxes_per_process = 2 }
trouble "box_kill" { at_s = 0.2 length_s = 0.4 part = 1 }
trouble "box_kill" { at_s = 0.4 length_s = 0.8 part = 1 }
trouble "kill" { at_s = 1.5 length_s = 1.8 part = 1 }
`))
	starts := 0
	for _, e := range p.Events {
		if e.Kind == blackbox.ServerStarted && e.At > 0 {
			starts++
		}
	}
	if starts != 2 {
		t.Errorf("two servers started %d times in total, want 2", starts)
	}
}
