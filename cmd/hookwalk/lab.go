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
	Sweep  labSweep  `cmd:"" help:"Run a grid of experiments in virtual time on all cores."`
	Report labReport `cmd:"" help:"Write an HTML page with tables and plots of a sweep."`
	Diff   labDiff   `cmd:"" help:"Print what changed between two sweeps. Exit status: 1 if one of the named figures decreased."`
	Up     labUp     `cmd:"" help:"Start a scenario's nodes and servers on loopback, print how to send a request, and run until Ctrl-C."`
	Paper  labPaper  `cmd:"" help:"Compute the tables of the design's paper, and the same figures for the decision module, beside the published ones. Exit status: 1 if a figure differs."`
	Fleet  labFleet  `cmd:"" help:"Run a scenario with separate processes for each node, the servers, discovery and the clients, and with faults between them. Exit status: 1 a rule was broken, 3 the machine was too slow to check the rules."`
	Soak   labSoak   `cmd:"" help:"Run real nodes under random, overlapping faults, and check the rules from outside and through the nodes' invariants. Exit status: 1 if a rule was broken."`
	Part   labPart   `cmd:"" hidden:"" help:"A worker process of lab fleet."`
	Run    labRun    `cmd:"" help:"Run a scenario and check the rules. Exit status: 1 if one was broken."`
}

type labRun struct {
	File    string  `arg:"" help:"The scenario file."`
	Seed    *uint64 `placeholder:"N" help:"Override the seed of the file."`
	Policy  string  `placeholder:"NAME" help:"Override the policy of the file: deckrelay, random, round-robin, least-of-two, two-random, two-left or oracle."`
	Sockets bool    `help:"Run on loopback in real time with real node processes, instead of in virtual time."`
	Profile string  `hidden:"" placeholder:"FILE"`
}

// Run runs a scenario. In virtual time, the report has the same bytes for the same seed; the time that the run took is
// therefore printed to standard error.
func (c labRun) Run(out streams) error {
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
		return runOnLoopback(out, s)
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
	start := time.Now()
	result, rules, err := w.Run(nil)
	if err != nil {
		return err
	}
	if err := result.Write(out.stdout); err != nil {
		return err
	}
	elapsed := time.Since(start)
	fmt.Fprintf(out.stderr, "took %.2f s, %.0f events a second\n", elapsed.Seconds(), float64(result.Events)/elapsed.Seconds())
	return reportViolations(out, rules)
}

// reportViolations prints the violations of the rules and their number, and returns the exit status as an error.
func reportViolations(out streams, rules *checker.Checker) error {
	for i, v := range rules.Violations() {
		if i == maxPrintedViolations {
			break
		}
		fmt.Fprintf(out.stdout, "violation: %v\n", v)
	}
	fmt.Fprintf(out.stdout, "rules broken   %d\n", rules.Count())
	if rules.Count() > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// startLoopbackWorld starts the servers, discovery and nodes of a scenario on loopback. The nodes are processes of this
// program.
func startLoopbackWorld(ctx context.Context, s *scenario.Scenario) (*loopback.World, error) {
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

// runOnLoopback runs a scenario in real time on loopback, prints the report and checks the rules.
func runOnLoopback(out streams, s *scenario.Scenario) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	w, err := startLoopbackWorld(ctx, s)
	if err != nil {
		return err
	}
	result, rules, err := w.Run()
	w.Shutdown(err != nil || rules.Count() > 0)
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := result.Write(out.stdout); err != nil {
		return err
	}
	if rules.Count() > 0 {
		fmt.Fprintf(out.stderr, "the nodes' logs are in %s\n", w.Folder())
	}
	return reportViolations(out, rules)
}

type labUp struct {
	File string `arg:"" help:"The scenario file."`
}

// Run starts the nodes and servers of a scenario, without its faults and clients, and keeps them running until a signal.
func (c labUp) Run(out streams) error {
	s, err := scenario.Load(c.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	w, err := startLoopbackWorld(ctx, s)
	if err != nil {
		return err
	}
	defer w.Shutdown(false)
	class := s.Classes[0]
	method := ""
	if class.Effect != balancer.Idempotent {
		method = " -X POST"
	}
	fmt.Fprintf(out.stdout, "%s is up: a node at http://%s, logs in %s; press Ctrl-C to stop\n", s.Name, w.Addr(), w.Folder())
	fmt.Fprintf(out.stdout, "curl -i%s -H 'X-Call-Id: a1' -H 'X-Call-Class: %s' -H 'X-Caller: %s' -H 'X-Budget: %dm' http://%s/api\n",
		method, class.Name, s.Tenants[0].Name, class.Deadline.Milliseconds(), w.Addr())
	<-ctx.Done()
	return nil
}

type labPaper struct {
	Runs int    `default:"40" help:"The number of runs for table 4; the published table has 100."`
	Seed uint64 `default:"1" help:"The seed of table 4."`
}

// Validate checks the number of runs: a confidence interval needs at least two.
func (c labPaper) Validate() error {
	if c.Runs < 2 || c.Runs > 10000 {
		return errors.New("--runs must be from 2 to 10000")
	}
	return nil
}

// Run prints the tables. The exit code is exitFailed if a figure differs from the published one.
func (c labPaper) Run(out streams) error {
	differing, err := paper.Write(out.stdout, c.Runs, c.Seed)
	if err == nil && differing > 0 {
		return exitStatus(exitFailed)
	}
	return err
}
