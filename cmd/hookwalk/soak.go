//go:build !nolab

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/soak"
)

type labSoak struct {
	First   uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"20" help:"The number of seeds."`
	Nodes   int           `default:"24" help:"The number of nodes of each run. Each is a process."`
	Length  time.Duration `default:"20s" help:"The duration of each run."`
	Program string        `placeholder:"PATH" help:"Run the nodes with another build of hookwalk."`
	Logs    string        `placeholder:"DIR" help:"Keep the nodes' logs in this folder, in a subfolder for each seed."`

	Regressions bool `help:"Also run the seeds and plans that once broke a rule, each with its original number of nodes."`
}

// Bounds of the flags.
const (
	maxSoakNodes  = 200              // each is a process of about 15 MB
	minSoakLength = 16 * time.Second // time for faults, for recovery and for the final check
)

// Run runs one plan after another, and prints for each what was observed and which rules were broken.
func (c labSoak) Run(out streams) error {
	if c.Seeds < 1 || c.Nodes < 1 || c.Nodes > maxSoakNodes || c.Length < minSoakLength {
		return fmt.Errorf("lab: --seeds must be above 0, --nodes from 1 to %d, --length %v or more", maxSoakNodes, minSoakLength)
	}
	program := c.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	runner := soakRunner{out: out.stdout, program: program, logs: c.Logs}
	for _, plan := range c.plans() {
		if err := runner.run(ctx, plan); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	fmt.Fprintf(out.stdout, "total: %v\n%d seeds, %d with violations\n", runner.totals, runner.plansRun, runner.failed)
	if runner.failed > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// plans returns the plans to run: first those that once broke a rule, if --regressions is set, then those of the seeds.
func (c labSoak) plans() (plans []soak.Plan) {
	if c.Regressions {
		for _, r := range soak.RegressionSeeds {
			plans = append(plans, soak.DrawPlan(r.Seed, r.Nodes, c.Length))
		}
		plans = append(plans, soak.RegressionPlans()...)
	}
	for i := range c.Seeds {
		plans = append(plans, soak.DrawPlan(c.First+uint64(i), c.Nodes, c.Length))
	}
	return plans
}

// soakRunner runs plans one after another and accumulates their results.
type soakRunner struct {
	out      io.Writer
	program  string
	logs     string // folder for the nodes' logs; empty: logs are not kept
	totals   soak.Totals
	plansRun int
	failed   int // plans with violations
}

// run runs one plan, and prints what was observed and which rules were broken.
func (r *soakRunner) run(ctx context.Context, plan soak.Plan) error {
	logFolder, err := r.logFolder(plan)
	if err != nil {
		return err
	}
	result, err := soak.Run(ctx, plan, func(config string) *exec.Cmd {
		node := exec.Command(r.program, "run")
		node.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
		return node
	}, logFolder)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	violations, totals := result.Violations(), result.Totals()
	r.totals.Add(totals)
	r.plansRun++
	fmt.Fprintf(r.out, "%s, %d nodes: %v; %d violations\n", plan.Title(), plan.Nodes, totals, len(violations))
	if len(violations) == 0 {
		return nil
	}
	r.failed++
	for _, text := range violations {
		fmt.Fprintf(r.out, "  %s\n", text)
	}
	for _, line := range result.Plan.Lines() {
		fmt.Fprintf(r.out, "  fault: %s\n", line)
	}
	return nil
}

// logFolder creates the folder for the logs of a plan's run. It returns "" if logs are not kept.
func (r *soakRunner) logFolder(plan soak.Plan) (string, error) {
	if r.logs == "" {
		return "", nil
	}
	folder := filepath.Join(r.logs, strings.ReplaceAll(plan.Title(), " ", "-"))
	return folder, os.MkdirAll(folder, 0o700)
}
