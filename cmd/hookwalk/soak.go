//go:build !nolab

package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
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
}

// Bounds of what a soak may ask of a machine.
const (
	maxSoakNodes  = 200              // each is a process of some 15 MB
	minSoakLength = 16 * time.Second // the time for faults, for recovery and for the judgement
)

// Run plays one seed after another and prints what was seen and what was broken.
func (c labSoak) Run(io streams) error {
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
	found := 0
	for i := range c.Seeds {
		plan := soak.DrawPlan(c.First+uint64(i), c.Nodes, c.Length)
		played, err := soak.Run(ctx, plan, func(config string) *exec.Cmd {
			node := exec.Command(program, "run")
			node.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
			return node
		})
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		broken := played.Violations()
		fmt.Fprintf(io.stdout, "seed %d: %v; %d broken\n", plan.Seed, played, len(broken))
		if len(broken) == 0 {
			continue
		}
		found++
		for _, text := range broken {
			fmt.Fprintf(io.stdout, "  %s\n", text)
		}
		for _, fault := range played.Plan.Faults {
			fmt.Fprintf(io.stdout, "  fault: %v\n", fault)
		}
	}
	fmt.Fprintf(io.stdout, "%d seeds, %d with something broken\n", c.Seeds, found)
	if found > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}
