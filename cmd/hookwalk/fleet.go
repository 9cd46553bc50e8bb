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

// exitMachineTooSlow is the exit code of a play that the machine was too slow for: it says nothing of the program.
const exitMachineTooSlow = 3

type labFleet struct {
	Play labFleetPlay `cmd:"" default:"withargs" help:"Play scenarios (the default)."`
	Hunt labFleetHunt `cmd:"" help:"Draw schedules of several troubles at once, keep those that break a rule or after which service does not come back, and make them smaller; status 1 where one was found."`
}

type labFleetHunt struct {
	World  string `arg:"" help:"The scenario whose world is played; its own troubles are not."`
	Seeds  int    `default:"200" help:"How many schedules."`
	First  uint64 `default:"1" help:"The first seed."`
	AtOnce int    `default:"2" help:"Plays side by side. Each needs about half a core."`
	Output string `short:"o" default:"found" placeholder:"DIR" help:"Where what is found is put."`
}

// Run hunts. What it does goes to standard error, what it found to standard output.
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
		fmt.Fprintf(out.stdout, "%s: %s, %d troubles\n", f.File, f.Reason, len(f.Faults))
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
	Files  []string `arg:"" help:"The scenarios."`
	Seed   *uint64  `placeholder:"N" help:"Instead of the file's."`
	Set    []string `placeholder:"PATH=VALUE" help:"Another value of a setting, as with sweep."`
	Plays  int      `default:"1" help:"How often each is played."`
	Calm   bool     `default:"true" negatable:"" help:"Play the same seed without the troubles first, for the time to full service."`
	Old    string   `placeholder:"PATH" help:"Another build of the program, for the part of the nodes that the file's fleet block says."`
	Output string   `short:"o" placeholder:"DIR" help:"Put results there too, for lab report."`
	Table  bool     `help:"A line for each file: the median of its plays, and the least and the most."`
}

// Validate wants plays that end.
func (c labFleetPlay) Validate() error {
	if c.Plays < 1 || c.Plays > 1000 {
		return errors.New("--plays must be from 1 to 1000")
	}
	return nil
}

// Run plays fleets. The report goes to standard output. A play that the machine was too slow for is no verdict on the
// program: it has an exit code of its own.
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
		if err := run.play(ctx, s); err != nil {
			return err
		}
	}
	return run.finish()
}

// options are those of all plays of the command.
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

// scenarioOverrides reads PATH=VALUE arguments.
func scenarioOverrides(arguments []string) (overrides []scenario.Override, err error) {
	for _, argument := range arguments {
		path, value, ok := strings.Cut(argument, "=")
		if !ok {
			return nil, fmt.Errorf("--set %s: want PATH=VALUE", argument)
		}
		overrides = append(overrides, scenario.Override{Path: path, Value: value})
	}
	return overrides, nil
}

// fleetRun is the progress of one lab fleet command over its scenarios.
type fleetRun struct {
	command labFleetPlay
	out     streams
	options fleet.Options

	baselines      fleet.Baseline // plays without faults, by scenario and seed
	cells          []sweep.Cell
	violations     int  // rules broken in all plays
	machineTooSlow bool // some play was slowed down by the machine
}

// play plays one scenario as often as the command says, and prints the result.
func (r *fleetRun) play(ctx context.Context, s *scenario.Scenario) error {
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

// finish writes the results where the command says and returns its exit status.
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

// maxPrintedViolations is how many violations of a play are printed; the histories have all.
const maxPrintedViolations = 20

// printViolations prints which rules a play has broken. With a table, whose rows have the numbers, they go to standard
// error.
func (r *fleetRun) printViolations(result *fleet.Result) {
	writer := r.out.stdout
	if r.command.Table {
		writer = r.out.stderr
	}
	for _, v := range result.Violations[:min(len(result.Violations), maxPrintedViolations)] {
		fmt.Fprintf(writer, "violation: %v\n", v)
	}
	if result.Unreliable() {
		fmt.Fprintf(writer, "rules          not judged: the rig itself was over %v late\n", fleet.MaxLateness)
	} else if !r.command.Table {
		fmt.Fprintf(writer, "rules broken   %d\n", len(result.Violations))
	}
	if len(result.Violations) > 0 {
		fmt.Fprintf(r.out.stderr, "histories, configurations and logs are in %s\n", result.Folder)
	}
}

type labPart struct{}

// Run plays a part of a fleet's world, as its parent process says on standard input, until that ends.
func (labPart) Run(out streams) error {
	signal.Ignore(os.Interrupt) // the parent has it too, and ends its parts
	return loopback.ServeWorker(context.Background(), os.Stdin, out.stdout)
}
