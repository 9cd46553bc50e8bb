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

// processesWithTempDir are the IDs of the processes that have a folder as TMPDIR in their environment.
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

// shortTempDir is a temporary folder in which the paths of nodes' sockets are not too long.
func shortTempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "hw")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// waitForNoProcesses waits until no process of a folder is left.
func waitForNoProcesses(t *testing.T, dir string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		left := processesWithTempDir(t, dir)
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("processes %v are left", left)
		}
	}
}

// Faults between processes, as of a network, are not met by nodes in one process. Twelve nodes and three kinds of stand-in,
// each a process, with every kind of fault between them, keep the rules as observed from outside; afterwards no process
// and no file is left.
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
			t.Errorf("no %s is played", kind)
		}
	}
	for attempt := range 3 {
		dir := shortTempDir(t)
		c := programCommand(t, "", "lab", "fleet", "--no-calm", smallFleet)
		c.Env = append(c.Env, "TMPDIR="+dir)
		code, said, warned := runToEnd(t, c)
		waitForNoProcesses(t, dir)
		if code == exitMachineTooSlow && attempt < 2 {
			t.Logf("the machine was too slow: %s", said)
			continue
		}
		if code != 0 || !strings.Contains(said, "\nrules broken   0\n") || !strings.Contains(said, ": 12 nodes, 6 other processes\n") {
			t.Errorf("exit %d, %s%s", code, said, warned)
		}
		if m := regexp.MustCompile(`worth served   0\.(\d)`).FindStringSubmatch(said); m == nil || m[1] < "8" {
			t.Errorf("it served little: %s", said)
		}
		if left, err := os.ReadDir(dir); code == 0 && (err != nil || len(left) > 0) {
			t.Errorf("it leaves %v, %v", left, err)
		}
		return
	}
}

// Processes that survive their rig load the machine and hold its ports. Whatever ends the parent, no child survives it, one
// that is stopped included; a parent that gets SIGINT or SIGTERM leaves no folder either. A hunt that plays two schedules
// at once is a parent too.
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
		var said strings.Builder
		c.Stdout = &said
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
				t.Fatalf("only %d processes", len(processesWithTempDir(t, dir)))
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
			t.Fatalf("%v does not end it", tc.sig)
		}
		waitForNoProcesses(t, dir)
		if tc.sig == syscall.SIGKILL {
			continue
		}
		if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
			t.Errorf("%v: it leaves %v, %v", tc.sig, left, err)
		}
		if tc.two && said.String() != "0 schedules, 0 found\n" {
			t.Errorf("%v: it says %s", tc.sig, said.String())
		}
	}
}
