//go:build !nolab

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/paper"
	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/simulation"
)

type labCommands struct {
	Sweep  labSweep  `cmd:"" help:"Play a grid of experiments in virtual time on all cores."`
	Report labReport `cmd:"" help:"Write a page of tables and plots from a sweep."`
	Diff   labDiff   `cmd:"" help:"What changed between two sweeps; status 1 where a named figure fell."`
	Up     labUp     `cmd:"" help:"Bring a scenario's world up on loopback, print how to reach it, and stay until Ctrl-C."`
	Paper  labPaper  `cmd:"" help:"Compute the tables of the design's paper beside the published ones, and the module in the same world; status 1 where one differs."`
	Fleet  labFleet  `cmd:"" help:"Play a scenario with a process for every node, for boxes, discovery and clients, and faults between them; status 1 where a rule is broken, 3 where the machine was too slow to tell."`
	Soak   labSoak   `cmd:"" help:"Play real nodes against random, overlapping faults, judged from outside and by their invariants; status 1 where a rule is broken."`
	Part   labPart   `cmd:"" hidden:"" help:"A process of lab fleet."`
	Run    labRun    `cmd:"" help:"Play a scenario and hold it to the rules; status 1 where one is broken."`
}

type labRun struct {
	File    string  `arg:"" help:"The scenario."`
	Seed    *uint64 `placeholder:"N" help:"Instead of the file's."`
	Policy  string  `placeholder:"NAME" help:"Instead of the file's: deckrelay, random, round-robin, least-of-two, two-random, two-left or oracle."`
	Sockets bool    `help:"On loopback in real time, with real node processes, instead of virtual time."`
	Profile string  `hidden:"" placeholder:"FILE"`
}

// Run plays a scenario in virtual time. How long that took goes to standard error: the report is the same bytes
// for the same seed.
func (c labRun) Run(io streams) error {
	s, err := scenario.Load(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	if c.Policy != "" {
		s.Policy = c.Policy
	}
	if c.Sockets {
		return runSockets(io, s)
	}
	w, err := simulation.New(s, policies.New)
	if err != nil {
		return err
	}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	began := time.Now()
	result, auditor, err := w.Run(nil)
	if err != nil {
		return err
	}
	if err := result.Write(io.stdout); err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Fprintf(io.stderr, "took %.2f s, %.0f events a second\n", took.Seconds(), float64(result.Events)/took.Seconds())
	return verdict(io, auditor)
}

// verdict names the rules that were broken.
func verdict(io streams, auditor *checker.Checker) error {
	for i, v := range auditor.Violations() {
		if i == maxPrintedViolations {
			break
		}
		fmt.Fprintf(io.stdout, "violation: %v\n", v)
	}
	fmt.Fprintf(io.stdout, "rules broken   %d\n", auditor.Count())
	if auditor.Count() > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// upSockets brings a world up whose nodes are this program.
func upSockets(ctx context.Context, s *scenario.Scenario) (*loopback.World, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	w, err := loopback.Start(ctx, s, loopback.Options{Program: []string{self}})
	if err != nil {
		w.Shutdown(true)
		return nil, fmt.Errorf("lab: %w", err)
	}
	return w, nil
}

func runSockets(io streams, s *scenario.Scenario) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	w, err := upSockets(ctx, s)
	if err != nil {
		return err
	}
	result, auditor, err := w.Run()
	w.Shutdown(err != nil || auditor.Count() > 0)
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := result.Write(io.stdout); err != nil {
		return err
	}
	if auditor.Count() > 0 {
		fmt.Fprintf(io.stderr, "the nodes' logs are in %s\n", w.Folder())
	}
	return verdict(io, auditor)
}

type labUp struct {
	File string `arg:"" help:"The scenario."`
}

// Run holds a world up. Its troubles don't come; its clients are whoever asks.
func (c labUp) Run(io streams) error {
	s, err := scenario.Load(c.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	w, err := upSockets(ctx, s)
	if err != nil {
		return err
	}
	defer w.Shutdown(false)
	class := s.Classes[0]
	method := ""
	if class.Effect != balancer.Idempotent {
		method = " -X POST"
	}
	fmt.Fprintf(io.stdout, "%s is up: a node at http://%s, logs in %s; Ctrl-C ends it\n", s.Name, w.Addr(), w.Folder())
	fmt.Fprintf(io.stdout, "curl -i%s -H 'X-Call-Id: a1' -H 'X-Call-Class: %s' -H 'X-Caller: %s' -H 'X-Budget: %dm' http://%s/api\n",
		method, class.Name, s.Tenants[0].Name, class.Deadline.Milliseconds(), w.Addr())
	<-ctx.Done()
	return nil
}

type labPaper struct {
	Runs int    `default:"40" help:"Runs of table 4; the published one has 100."`
	Seed uint64 `default:"1" help:"Of table 4."`
}

// Validate wants enough runs for an interval.
func (c labPaper) Validate() error {
	if c.Runs < 2 || c.Runs > 10000 {
		return errors.New("--runs must be from 2 to 10000")
	}
	return nil
}

// Run prints the tables.
func (c labPaper) Run(io streams) error {
	off, err := paper.Write(io.stdout, c.Runs, c.Seed)
	if err == nil && off > 0 {
		return exitStatus(exitFailed)
	}
	return err
}
