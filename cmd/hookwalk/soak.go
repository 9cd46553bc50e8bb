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
	Seeds   int           `default:"20" help:"How many seeds are played."`
	Nodes   int           `default:"24" help:"Nodes of each play, a process each."`
	Length  time.Duration `default:"20s" help:"Of each play."`
	Program string        `placeholder:"PATH" help:"Another build of hookwalk to play."`
	Logs    string        `placeholder:"DIR" help:"Keep the nodes' logs in folders by seed."`

	Regressions bool `help:"Also play the seeds and plans that once broke a rule, each with the nodes that it had."`
}

// Bounds of what a soak may ask of a machine.
const (
	maxSoakNodes  = 200              // each is a process of some 15 MB
	minSoakLength = 16 * time.Second // the time for faults, for recovery and for the judgement
)

// Run plays one seed after another and prints what was seen and what was broken.
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
	plays := soakPlays{out: out.stdout, program: program, logs: c.Logs}
	for _, plan := range c.plans() {
		if err := plays.run(ctx, plan); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	fmt.Fprintf(out.stdout, "all: %v\n%d seeds, %d with something broken\n", plays.totals, plays.played, plays.failed)
	if plays.failed > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// plans are those that once broke a rule, if they are asked for, and those of the seeds in a row.
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

// soakPlays plays plans one after another and adds up what was seen.
type soakPlays struct {
	out     io.Writer
	program string
	logs    string // the folder for the nodes' logs; empty: they are not kept
	totals  soak.Totals
	played  int
	failed  int // plans that broke a rule
}

// run plays one plan and prints what was seen and what was broken.
func (p *soakPlays) run(ctx context.Context, plan soak.Plan) error {
	logFolder, err := p.logFolder(plan)
	if err != nil {
		return err
	}
	result, err := soak.Run(ctx, plan, func(config string) *exec.Cmd {
		node := exec.Command(p.program, "run")
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
	p.totals.Add(totals)
	p.played++
	fmt.Fprintf(p.out, "%s, %d nodes: %v; %d broken\n", plan.Title(), plan.Nodes, totals, len(violations))
	if len(violations) == 0 {
		return nil
	}
	p.failed++
	for _, text := range violations {
		fmt.Fprintf(p.out, "  %s\n", text)
	}
	for _, line := range result.Plan.Lines() {
		fmt.Fprintf(p.out, "  fault: %s\n", line)
	}
	return nil
}

// logFolder makes the folder for the logs of a plan's play, and returns "" if none are kept.
func (p *soakPlays) logFolder(plan soak.Plan) (string, error) {
	if p.logs == "" {
		return "", nil
	}
	folder := filepath.Join(p.logs, strings.ReplaceAll(plan.Title(), " ", "-"))
	return folder, os.MkdirAll(folder, 0o700)
}
