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

// exitLate is the status of a play that the machine was too slow for: it says nothing of the program.
const exitLate = 3

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
func (c labFleetHunt) Run(io streams) error {
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
	h := &fleet.Hunt{World: s, Seeds: c.Seeds, FirstSeed: c.First, Parallel: c.AtOnce, Folder: c.Output, WorldFile: c.World,
		Options: fleet.Options{Program: []string{self}},
		Logf:    func(format string, args ...any) { fmt.Fprintf(io.stderr, format, args...) }}
	found, err := h.Run(ctx)
	for _, f := range found {
		fmt.Fprintf(io.stdout, "%s: %s, %d troubles\n", f.File, f.Reason, len(f.Faults))
	}
	fmt.Fprintf(io.stdout, "%d schedules, %d found\n", h.Played, len(found))
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

// Run plays fleets. The report goes to standard output.
func (c labFleetPlay) Run(io streams) error {
	var overrides []scenario.Override
	for _, text := range c.Set {
		path, value, ok := strings.Cut(text, "=")
		if !ok {
			return fmt.Errorf("--set %s: want PATH=VALUE", text)
		}
		overrides = append(overrides, scenario.Override{Path: path, Value: value})
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	options := fleet.Options{Program: []string{self}}
	if c.Old != "" {
		options.OldProgram = []string{c.Old}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	violations, late := 0, false
	var baseline fleet.Baseline
	var cells []sweep.Cell
	if c.Output != "" {
		if err := os.MkdirAll(c.Output, 0o755); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	if c.Table {
		fleet.WriteTableHeader(io.stdout)
	}
	for _, file := range c.Files {
		s, err := scenario.Load(file, overrides...)
		if err != nil {
			return err
		}
		if c.Seed != nil {
			s.Seed = *c.Seed
		}
		var baselineResult *fleet.Result
		if c.Calm && len(s.Faults) > 0 {
			if baselineResult, err = baseline.Play(ctx, s, options); err != nil {
				return fmt.Errorf("lab: without troubles: %w", err)
			}
			late = late || baselineResult.Unreliable()
		}
		var plays []*fleet.Result
		for range c.Plays {
			played, err := fleet.Play(ctx, s, options)
			if err != nil {
				return fmt.Errorf("lab: %w", err)
			}
			plays = append(plays, played)
			violations += len(played.Violations)
			late = late || played.Unreliable()
			if !c.Table {
				played.Write(io.stdout, s, baselineResult)
			}
			c.report(io, played)
		}
		if c.Table {
			fleet.WriteTableRow(io.stdout, s, plays, baselineResult)
		}
		cells = append(cells, fleet.Cells(s, plays, baselineResult)...)
	}
	if c.Output != "" {
		if err := sweep.Write(c.Output, cells); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	switch {
	case late:
		return exitStatus(exitLate)
	case violations > 0:
		return exitStatus(exitFailed)
	}
	return nil
}

// report prints the rules that a play has broken.
func (c labFleetPlay) report(io streams, p *fleet.Result) {
	const shown = 20
	out := io.stdout
	if c.Table { // which has the numbers
		out = io.stderr
	}
	for _, v := range p.Violations[:min(len(p.Violations), shown)] {
		fmt.Fprintf(out, "violation: %v\n", v)
	}
	if p.Unreliable() {
		fmt.Fprintf(out, "rules          not judged: the rig itself was over %v late\n", fleet.MaxLateness)
	} else if !c.Table {
		fmt.Fprintf(out, "rules broken   %d\n", len(p.Violations))
	}
	if len(p.Violations) > 0 {
		fmt.Fprintf(io.stderr, "histories, configurations and logs are in %s\n", p.Folder)
	}
}

type labPart struct{}

// Run plays a worker of a fleet, as its parent says on standard input, until that ends.
func (labPart) Run(io streams) error {
	signal.Ignore(os.Interrupt) // the parent gets it too, and ends its workers
	return loopback.ServeWorker(context.Background(), os.Stdin, io.stdout)
}
