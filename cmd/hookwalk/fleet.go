//go:build !nolab

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/fleet"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/sweep"
)

// exitMachineTooSlow is the exit code if the machine was too slow for a run, which then says nothing about the program.
const exitMachineTooSlow = 3

type labFleet struct {
	Play labFleetPlay `cmd:"" default:"withargs" help:"Run scenarios (the default)."`
	Hunt labFleetHunt `cmd:"" help:"Search for fault schedules that break a rule or after which service does not recover: draw random schedules of overlapping faults, and reduce those that are found. Exit status: 1 if any was found."`
}

type labFleetHunt struct {
	World  string `arg:"" help:"The scenario to run with drawn faults in place of its own."`
	Seeds  int    `default:"200" help:"The number of schedules."`
	First  uint64 `default:"1" help:"The first seed."`
	AtOnce int    `default:"2" help:"The number of concurrent runs. Each needs about half a core."`
	Output string `short:"o" default:"found" placeholder:"DIR" help:"The folder for the schedules that are found."`
}

// Run searches for fault schedules. It prints progress to standard error and the schedules that it found to standard output.
func (c labFleetHunt) Run(out streams) error {
	s, err := scenario.Load(c.World)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if c.Seeds < 1 || c.AtOnce < 1 || c.AtOnce > 64 {
		return errors.New("--seeds must be above 0 and --at-once from 1 to 64")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hunt := &fleet.Hunt{World: s, Seeds: c.Seeds, FirstSeed: c.First, Parallel: c.AtOnce, Folder: c.Output, WorldFile: c.World,
		Options: fleet.Options{Program: []string{self}},
		Logf:    func(format string, args ...any) { fmt.Fprintf(out.stderr, format, args...) }}
	found, err := hunt.Run(ctx)
	for _, f := range found {
		fmt.Fprintf(out.stdout, "%s: %s, %d faults\n", f.File, f.Reason, len(f.Faults))
	}
	fmt.Fprintf(out.stdout, "%d schedules, %d found\n", hunt.Played, len(found))
	switch {
	case err != nil:
		return fmt.Errorf("lab: %w", err)
	case len(found) > 0:
		return exitStatus(exitFailed)
	}
	return nil
}

type labFleetPlay struct {
	Files  []string `arg:"" help:"The scenario files."`
	Seed   *uint64  `placeholder:"N" help:"Override the seed of the file."`
	Set    []string `placeholder:"PATH=VALUE" help:"Override a setting, as in lab sweep."`
	Plays  int      `default:"1" help:"The number of runs of each scenario."`
	Calm   bool     `default:"true" negatable:"" help:"First run the same seed without faults, as a baseline for the time to full service."`
	Old    string   `placeholder:"PATH" help:"Another build of the program, for the share of the nodes that the fleet block of the file sets."`
	Output string   `short:"o" placeholder:"DIR" help:"Also write the results to this folder, for lab report."`
	Table  bool     `help:"Print one line for each file: the median, minimum and maximum of its runs."`
}

// Validate checks the number of runs.
func (c labFleetPlay) Validate() error {
	if c.Plays < 1 || c.Plays > 1000 {
		return errors.New("--plays must be from 1 to 1000")
	}
	return nil
}

// Run runs the scenarios and prints a report to standard output. If the machine was too slow for a run, the result says
// nothing about the program, and the exit code is exitMachineTooSlow.
func (c labFleetPlay) Run(out streams) error {
	overrides, err := scenarioOverrides(c.Set)
	if err != nil {
		return err
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	if c.Output != "" {
		if err := os.MkdirAll(c.Output, 0o755); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	if c.Table {
		fleet.WriteTableHeader(out.stdout)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	run := fleetRun{command: c, out: out, options: options}
	for _, file := range c.Files {
		s, err := scenario.Load(file, overrides...)
		if err != nil {
			return err
		}
		if c.Seed != nil {
			s.Seed = *c.Seed
		}
		if err := run.runScenario(ctx, s); err != nil {
			return err
		}
	}
	return run.finish()
}

// options returns the options that all runs of the command share.
func (c labFleetPlay) options() (fleet.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return fleet.Options{}, fmt.Errorf("lab: %w", err)
	}
	options := fleet.Options{Program: []string{self}}
	if c.Old != "" {
		options.OldProgram = []string{c.Old}
	}
	return options, nil
}

// scenarioOverrides parses PATH=VALUE arguments.
func scenarioOverrides(arguments []string) (overrides []scenario.Override, err error) {
	for _, argument := range arguments {
		path, value, ok := strings.Cut(argument, "=")
		if !ok {
			return nil, fmt.Errorf("--set %s: expected PATH=VALUE", argument)
		}
		overrides = append(overrides, scenario.Override{Path: path, Value: value})
	}
	return overrides, nil
}

// fleetRun accumulates the results of one lab fleet command over its scenarios.
type fleetRun struct {
	command labFleetPlay
	out     streams
	options fleet.Options

	baselines      fleet.Baseline // runs without faults, by scenario and seed
	cells          []sweep.Cell
	violations     int  // total of all runs
	machineTooSlow bool // in at least one run
}

// runScenario runs one scenario as many times as the command says, and prints the results.
func (r *fleetRun) runScenario(ctx context.Context, s *scenario.Scenario) error {
	var baseline *fleet.Result
	if r.command.Calm && len(s.Faults) > 0 {
		var err error
		if baseline, err = r.baselines.Play(ctx, s, r.options); err != nil {
			return fmt.Errorf("lab: without faults: %w", err)
		}
		r.machineTooSlow = r.machineTooSlow || baseline.Unreliable()
	}
	var results []*fleet.Result
	for range r.command.Plays {
		result, err := fleet.Play(ctx, s, r.options)
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		results = append(results, result)
		r.violations += len(result.Violations)
		r.machineTooSlow = r.machineTooSlow || result.Unreliable()
		if !r.command.Table {
			result.Write(r.out.stdout, s, baseline)
		}
		r.printViolations(result)
	}
	if r.command.Table {
		fleet.WriteTableRow(r.out.stdout, s, results, baseline)
	}
	r.cells = append(r.cells, fleet.Cells(s, results, baseline)...)
	return nil
}

// finish writes the results to the output folder, if there is one, and returns the exit status as an error.
func (r *fleetRun) finish() error {
	if r.command.Output != "" {
		if err := sweep.Write(r.command.Output, r.cells); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	switch {
	case r.machineTooSlow:
		return exitStatus(exitMachineTooSlow)
	case r.violations > 0:
		return exitStatus(exitFailed)
	}
	return nil
}

// maxPrintedViolations limits the violations that are printed for each run. The recorded histories contain all.
const maxPrintedViolations = 20

// printViolations prints the rules that a run broke. With --table it prints them to standard error, because standard output
// has the table with their number.
func (r *fleetRun) printViolations(result *fleet.Result) {
	writer := r.out.stdout
	if r.command.Table {
		writer = r.out.stderr
	}
	for _, v := range result.Violations[:min(len(result.Violations), maxPrintedViolations)] {
		fmt.Fprintf(writer, "violation: %v\n", v)
	}
	if result.Unreliable() {
		fmt.Fprintf(writer, "rules          not checked: the test rig was more than %v late\n", fleet.MaxLateness)
	} else if !r.command.Table {
		fmt.Fprintf(writer, "rules broken   %d\n", len(result.Violations))
	}
	if len(result.Violations) > 0 {
		fmt.Fprintf(r.out.stderr, "histories, configurations and logs are in %s\n", result.Folder)
	}
}

type labPart struct{}

// Run runs a worker process of a fleet. The parent process controls it through standard input, and closes that to end it.
func (labPart) Run(out streams) error {
	signal.Ignore(os.Interrupt) // the parent receives it too, and ends its workers
	return loopback.ServeWorker(context.Background(), os.Stdin, out.stdout)
}
