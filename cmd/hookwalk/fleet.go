package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/fleet"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/sockets"
)

// exitLate is the status of a play that the machine was too slow for: it says nothing of the program.
const exitLate = 3

type labFleet struct {
	File string  `arg:"" help:"The scenario."`
	Seed *uint64 `placeholder:"N" help:"Instead of the file's."`
	Calm bool    `default:"true" negatable:"" help:"Play the same seed without the troubles first, for the time to full service."`
	Old  string  `placeholder:"PATH" help:"Another build of the program, for the part of the nodes that the file's fleet block says."`
}

// Run plays a fleet. The report goes to standard output.
func (c labFleet) Run(io streams) error {
	s, err := scenario.Load(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	opt := fleet.Options{Program: []string{self}}
	if c.Old != "" {
		opt.Old = []string{c.Old}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var calm *fleet.Played
	if c.Calm && len(s.Troubles) > 0 {
		quiet := *s
		quiet.Troubles = nil
		if calm, err = fleet.Play(ctx, &quiet, opt); err != nil {
			return fmt.Errorf("lab: without troubles: %w", err)
		}
	}
	played, err := fleet.Play(ctx, s, opt)
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	played.Write(io.stdout, s, calm)
	const shown = 20
	for _, v := range played.Broken[:min(len(played.Broken), shown)] {
		fmt.Fprintf(io.stdout, "violation: %v\n", v)
	}
	if played.TooLate() || calm != nil && calm.TooLate() {
		fmt.Fprintf(io.stdout, "rules          not judged: the rig itself was over %v late\n", fleet.TooLate)
		return exitStatus(exitLate)
	}
	fmt.Fprintf(io.stdout, "rules broken   %d\n", len(played.Broken))
	if len(played.Broken) > 0 {
		fmt.Fprintf(io.stderr, "histories, configurations and logs are in %s\n", played.Folder)
		return exitStatus(exitFailed)
	}
	return nil
}

type labPart struct{}

// Run plays a part of a fleet's world, as its parent says on standard input, until that ends.
func (labPart) Run(io streams) error {
	signal.Ignore(os.Interrupt) // the parent has it too, and ends its parts
	return sockets.ServePart(context.Background(), os.Stdin, io.stdout)
}
