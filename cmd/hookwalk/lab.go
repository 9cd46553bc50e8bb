package main

import (
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/virtual"
)

type labCommands struct {
	Run labRun `cmd:"" help:"Play a scenario and hold it to the rules; status 1 where one is broken."`
}

type labRun struct {
	File    string  `arg:"" help:"The scenario."`
	Seed    *uint64 `placeholder:"N" help:"Instead of the file's."`
	Policy  string  `placeholder:"NAME" help:"Instead of the file's: deckrelay, random, round-robin, least-of-two, two-random, two-left or oracle."`
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
	w, err := virtual.New(s, policies.New)
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
	const shown = 20
	for i, v := range auditor.Violations() {
		if i == shown {
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
