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

// TestMain runs the test binary as a node that violates an invariant if the environment asks for it.
func TestMain(m *testing.M) {
	if fault := os.Getenv(violator.FaultVariable); fault != "" {
		if err := violator.Serve(fault); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// The checker must report each fault of a node as a violation of the right rules on real connections too. Otherwise a
// violation that only real nodes cause would go unnoticed.
func TestCheckerReportsNodeViolations(t *testing.T) {
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
			w, err := Start(context.Background(), s, Options{Program: []string{os.Args[0]}, Env: []string{violator.FaultVariable + "=" + fault}})
			defer w.Shutdown(false)
			if err != nil {
				t.Fatal(err)
			}
			_, checked, err := w.Run()
			if err != nil {
				t.Fatal(err)
			}
			seen := map[checker.Rule]bool{}
			for _, v := range checked.Violations() {
				seen[v.Rule] = true
			}
			for _, rule := range want {
				if !seen[rule] {
					t.Errorf("rule %s is not among the reported violations %v", rule, seen)
				}
			}
		})
	}
}

// If a node can't be started, Start returns an error before its context ends, and Shutdown removes the folder.
func TestFailedStartCleansUp(t *testing.T) {
	s, err := scenario.Parse("a.hcl", []byte(`scenario "a" {}
tier "t" { kind "k" {} }
class "c" {}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	w, err := Start(ctx, s, Options{Program: []string{"/nonexistent/hookwalk"}})
	w.Shutdown(false)
	if err == nil || ctx.Err() != nil {
		t.Errorf("a program that does not exist: error %v, context %v", err, ctx.Err())
	}
	if _, err := os.Stat(w.Folder()); !os.IsNotExist(err) {
		t.Errorf("the folder was not removed: %v", err)
	}
}

// A process that starts only after the shutdown of its world must be killed. Shutdown signals only the processes that
// run at that time, so that a later one would keep running on the machine.
func TestProcessStartedAfterShutdownIsKilled(t *testing.T) {
	s, err := scenario.Parse("a.hcl", []byte(`scenario "a" {}
tier "t" { kind "k" {} }
class "c" {}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	w, err := Start(t.Context(), s, Options{Program: []string{os.Args[0]}, Env: []string{violator.FaultVariable + "=" + violator.FabricatedAnswer}})
	if err != nil {
		t.Fatal(err)
	}
	w.Shutdown(true)
	defer os.RemoveAll(w.Folder())
	p := w.processes[0]
	if err := p.start(context.Background()); err == nil {
		t.Error("a node became ready after Shutdown")
	}
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.signal(syscall.SIGKILL)
		t.Error("a process keeps running after Shutdown")
	}
}
