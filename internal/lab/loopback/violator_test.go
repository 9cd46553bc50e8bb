package loopback

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/violator"
)

// TestMain lets the test binary stand in for a node that breaks a rule.
func TestMain(m *testing.M) {
	if fault := os.Getenv(violator.FaultVariable); fault != "" {
		if err := violator.Serve(fault); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// A checker that misses a broken rule on sockets would let it pass where only real nodes show it: each fault of a node is
// reported for the rule that it breaks.
func TestCheckerSeesViolationsOnSockets(t *testing.T) {
	for fault, want := range map[string][]checker.Rule{
		violator.FabricatedAnswer: {checker.GenuineAnswer},
		violator.NoAnswer:         {checker.NothingLost},
		violator.ParallelAttempts: {checker.OneAttempt, checker.NoSecondRun},
		violator.TooManyAttempts:  {checker.AttemptLimit, checker.NoSecondRun},
		violator.RejectAfterRun:   {checker.SafeRejection},
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse("a.hcl", []byte(`scenario "a" { length_s = 1 }
tier "t" { kind "k" { count = 2 } }
class "bin-weighin" { work_ms = 300 cv = 0 aim_ms = 1000 deadline_ms = 3000 }
clients { rate = 5 retries = 0 }
front { nodes = 1 }`), nil)
			if err != nil {
				t.Fatal(err)
			}
			w, err := Up(context.Background(), s, Options{Program: []string{os.Args[0]}, Env: []string{violator.FaultVariable + "=" + fault}})
			defer w.Down(false)
			if err != nil {
				t.Fatal(err)
			}
			_, checked, err := w.Play()
			if err != nil {
				t.Fatal(err)
			}
			seen := map[checker.Rule]bool{}
			for _, v := range checked.Violations() {
				seen[v.Rule] = true
			}
			for _, rule := range want {
				if !seen[rule] {
					t.Errorf("%s is not seen among %v", rule, seen)
				}
			}
		})
	}
}

// A node that does not start is an error that says so, and leaves no process and no folder behind.
func TestUpFailsCleanly(t *testing.T) {
	s, err := scenario.Parse("a.hcl", []byte(`scenario "a" {}
tier "t" { kind "k" {} }
class "c" {}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	w, err := Up(ctx, s, Options{Program: []string{"/nonexistent/hookwalk"}})
	w.Down(false)
	if err == nil || ctx.Err() != nil {
		t.Errorf("a program that is not there: %v", err)
	}
	if _, err := os.Stat(w.Folder()); !os.IsNotExist(err) {
		t.Errorf("its folder is still there: %v", err)
	}
}

// A node whose process begins only after its world has ended must be ended too: Down does not look again, and the process
// would stay behind on the machine.
func TestProcessStartedAfterTheEndIsEnded(t *testing.T) {
	s, err := scenario.Parse("a.hcl", []byte(`scenario "a" {}
tier "t" { kind "k" {} }
class "c" {}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	w, err := Up(t.Context(), s, Options{Program: []string{os.Args[0]}, Env: []string{violator.FaultVariable + "=" + violator.FabricatedAnswer}})
	if err != nil {
		t.Fatal(err)
	}
	w.Down(true)
	defer os.RemoveAll(w.Folder())
	p := w.processes[0]
	if err := p.start(context.Background()); err == nil {
		t.Error("it is ready after the end")
	}
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.signal(syscall.SIGKILL)
		t.Error("its process goes on after the end")
	}
}
