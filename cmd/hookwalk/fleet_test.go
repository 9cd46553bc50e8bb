//go:build !nolab

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const smallFleet = "../../lab/fleets/small.hcl"

// processesWithTempDir returns the IDs of the processes whose environment has a folder as TMPDIR.
func processesWithTempDir(t *testing.T, dir string) (pids []string) {
	t.Helper()
	list, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range list {
		if text, err := os.ReadFile(name); err == nil && bytes.Contains(text, []byte("TMPDIR="+dir)) {
			pids = append(pids, filepath.Base(filepath.Dir(name)))
		}
	}
	return pids
}

// shortTempDir returns a temporary folder whose path is short enough for the Unix sockets of nodes.
func shortTempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "hw")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// waitForNoProcesses waits until no process has a folder as TMPDIR.
func waitForNoProcesses(t *testing.T, dir string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		left := processesWithTempDir(t, dir)
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("processes %v are still running", left)
		}
	}
}

// Nodes that share a process never meet faults between processes, such as those of a network. Here twelve nodes and three
// kinds of stand-ins are processes, with every kind of fault between them. The rules must hold as observed from outside, and
// no process and no file may be left afterwards.
func TestFleetBreaksNoRule(t *testing.T) {
	s, err := scenario.Load(smallFleet)
	if err != nil {
		t.Fatal(err)
	}
	planned := map[string]bool{}
	for _, fault := range s.Faults {
		planned[fault.Kind] = true
	}
	for _, kind := range scenario.ProcessFaultKinds {
		if !planned[kind] {
			t.Errorf("the scenario has no fault of kind %s", kind)
		}
	}
	for attempt := range 3 {
		dir := shortTempDir(t)
		c := programCommand(t, "", "lab", "fleet", "--no-calm", smallFleet)
		c.Env = append(c.Env, "TMPDIR="+dir)
		code, stdout, stderr := runToEnd(t, c)
		waitForNoProcesses(t, dir)
		if code == exitMachineTooSlow && attempt < 2 {
			t.Logf("the machine was too slow: %s", stdout)
			continue
		}
		if code != 0 || !strings.Contains(stdout, "\nrules broken   0\n") || !strings.Contains(stdout, ": 12 nodes, 6 other processes\n") {
			t.Errorf("exit %d, %s%s", code, stdout, stderr)
		}
		if m := regexp.MustCompile(`worth served   0\.(\d)`).FindStringSubmatch(stdout); m == nil || m[1] < "8" {
			t.Errorf("less than 80%% was served: %s", stdout)
		}
		if left, err := os.ReadDir(dir); code == 0 && (err != nil || len(left) > 0) {
			t.Errorf("files are left: %v, %v", left, err)
		}
		return
	}
}

// Worker processes that outlive their parent would load the machine and hold its ports. Whichever signal ends the parent, no
// child may survive, not even a stopped one. After SIGINT or SIGTERM, no folder may be left either. The parent is lab fleet,
// or a hunt that runs two schedules concurrently.
func TestFleetProcessesEndWithParent(t *testing.T) {
	for _, tc := range []struct {
		sig syscall.Signal
		two bool
	}{{syscall.SIGINT, false}, {syscall.SIGKILL, false}, {syscall.SIGINT, true}, {syscall.SIGTERM, true}, {syscall.SIGKILL, true}} {
		dir, found := shortTempDir(t), t.TempDir()
		c, processes := programCommand(t, "", "lab", "fleet", "--no-calm", smallFleet), 1+12+6
		if tc.two {
			c, processes = programCommand(t, "", "lab", "fleet", "hunt", "--at-once", "2", "-o", found, smallFleet), 1+2*(12+6)
		}
		var stdout strings.Builder
		c.Stdout = &stdout
		c.Env = append(c.Env, "TMPDIR="+dir)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			c.Wait()
			close(ended)
		}()
		t.Cleanup(func() {
			c.Process.Kill()
			<-ended
		})
		for end := time.Now().Add(60 * time.Second); len(processesWithTempDir(t, dir)) < processes; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("only %d processes were started", len(processesWithTempDir(t, dir)))
			}
		}
		for _, pid := range processesWithTempDir(t, dir)[:3] {
			if n, err := strconv.Atoi(pid); err == nil && n != c.Process.Pid {
				syscall.Kill(n, syscall.SIGSTOP)
			}
		}
		c.Process.Signal(tc.sig)
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatalf("%v does not end the parent", tc.sig)
		}
		waitForNoProcesses(t, dir)
		if tc.sig == syscall.SIGKILL {
			continue
		}
		if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
			t.Errorf("%v: files are left: %v, %v", tc.sig, left, err)
		}
		if tc.two && stdout.String() != "0 schedules, 0 found\n" {
			t.Errorf("%v: unexpected output %s", tc.sig, stdout.String())
		}
	}
}
