//go:build !nolab

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"hookwalk.example/hookwalk/internal/lab/sweep"
)

// progressInterval is the minimum time between two progress lines, which are printed if standard error is not a terminal.
const progressInterval = 3 * time.Second

// defaultColumns are the metrics in the table of a sweep and in its report.
var defaultColumns = []string{"worth", "worst_10s", "p95_ms", "refusals", "attempts", "wasted", "violations"}

type labSweep struct {
	File   string   `arg:"" help:"The scenario file."`
	Set    []string `sep:"none" placeholder:"PATH=V,V..." help:"A setting and its values, such as clients.rate=100,200. Several --set make a grid."`
	Policy []string `placeholder:"NAME,..." help:"Override the policy of the file with one or more policies."`
	Seeds  int      `default:"5" help:"The number of seeds, which are consecutive and begin with the seed of the file."`
	Output string   `short:"o" required:"" placeholder:"DIR" help:"The folder for the results. Experiments with results in this folder are not run again."`
}

// Validate checks the number of seeds.
func (c labSweep) Validate() error {
	if c.Seeds < 1 || c.Seeds > 10000 {
		return errors.New("--seeds must be from 1 to 10000")
	}
	return nil
}

// Run runs the grid and prints a table of the results.
func (c labSweep) Run(out streams) error {
	grid := sweep.Grid{File: c.File, Policies: c.Policy, Seeds: c.Seeds}
	for _, text := range c.Set {
		s, err := sweep.ParseSetting(text)
		if err != nil {
			return err
		}
		grid.Settings = append(grid.Settings, s)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cells, err := sweep.Run(ctx, grid, c.Output, newProgressReporter(out))
	if err != nil {
		return err
	}
	return sweep.Table(out.stdout, cells, defaultColumns)
}

// newProgressReporter returns a function that shows progress: as a bar on a terminal, otherwise as a line every few seconds.
func newProgressReporter(out streams) func(done, total int) {
	if f, ok := out.stderr.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		var bar *progressbar.ProgressBar
		return func(done, total int) {
			if bar == nil {
				bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(out.stderr), progressbar.OptionShowCount())
			}
			_ = bar.Set(done) // a failure to draw the bar must not stop the sweep
			if done == total {
				fmt.Fprintln(out.stderr)
			}
		}
	}
	last := time.Now()
	return func(done, total int) {
		if now := time.Now(); done == total || now.Sub(last) >= progressInterval {
			last = now
			fmt.Fprintf(out.stderr, "%d of %d experiments\n", done, total)
		}
	}
}

type labReport struct {
	Folder string `arg:"" help:"The folder with the results of lab sweep -o or lab fleet -o."`
	Output string `short:"o" placeholder:"FILE" help:"The page to write (default: report.html in the folder)."`
}

// Run writes the page and prints its path.
func (c labReport) Run(out streams) error {
	cells, err := sweep.Read(c.Folder)
	if err != nil {
		return err
	}
	path := c.Output
	if path == "" {
		path = filepath.Join(c.Folder, "report.html")
	}
	names := sweep.MetricNames(cells)
	figures := slices.DeleteFunc(slices.Clone(defaultColumns), func(name string) bool { return !slices.Contains(names, name) })
	if len(figures) < len(defaultColumns) { // the results of lab fleet have other metrics
		figures = names
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(sweep.Report(f, cells, figures), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintln(out.stdout, path)
	return nil
}

type labDiff struct {
	Before string   `arg:"" help:"The folder with the results of the first sweep."`
	After  string   `arg:"" help:"The folder with the results of the second sweep."`
	Figure []string `default:"worth" help:"Figures that must not decrease."`
	By     float64  `default:"0.01" help:"The decrease of a figure that is tolerated."`
}

// Run prints what changed. The exit code is exitFailed if a named figure decreased by more than is tolerated.
func (c labDiff) Run(out streams) error {
	before, err := sweep.Read(c.Before)
	if err != nil {
		return err
	}
	after, err := sweep.Read(c.After)
	if err != nil {
		return err
	}
	for _, f := range c.Figure {
		if known := sweep.MetricNames(after); !slices.Contains(known, f) {
			return fmt.Errorf("unknown figure %q: the results have %s", f, strings.Join(known, ", "))
		}
	}
	changes, unpaired := sweep.Diff(before, after)
	if len(changes) == 0 {
		return errors.New("the two sweeps have no experiment in common")
	}
	regressions := 0
	for _, d := range changes {
		mark := " "
		if slices.Contains(c.Figure, d.Metric) && d.MeanChange < -c.By {
			mark = "!"
			regressions++
		} else if d.Significant() {
			mark = "*"
		}
		if mark != " " || slices.Contains(c.Figure, d.Metric) {
			fmt.Fprintf(out.stdout, "%s %s %s: %.4g to %.4g, by %+.3g ± %.2g (%d seeds)\n", mark, d.Group, d.Metric, d.Before, d.After, d.MeanChange, d.HalfInterval, d.Pairs)
		}
	}
	if unpaired > 0 {
		fmt.Fprintf(out.stdout, "%d experiments are in only one of the two sweeps\n", unpaired)
	}
	if regressions > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}
