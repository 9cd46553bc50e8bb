package main

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/state"
)

type stateCommands struct {
	Show  stateShow  `cmd:"" help:"Print what a file says, with its age."`
	Check stateCheck `cmd:"" help:"Say whether a file can be used: ok, or what is wrong with it and status 1."`
}

type stateShow struct {
	File string `arg:"" help:"A .kept file of a node's $TMPDIR, or a .before one."`
}

// Run prints what a state file holds.
func (c stateShow) Run(out streams) error {
	info, err := state.Inspect(c.File)
	if err != nil {
		return err
	}
	age := "unknown: it is of another run of the machine, or says none"
	if info.Age != state.UnknownAge {
		age = info.Age.Round(time.Millisecond).String()
	}
	fmt.Fprintf(out.stdout, "version %d\nof      %s\nage     %s\n%s\n", info.Version, info.Owner, age, info.Body)
	return nil
}

type stateCheck struct {
	File string `arg:"" help:"The file."`
}

// Run reports whether a state file can be used.
func (c stateCheck) Run(out streams) error {
	if _, err := state.Inspect(c.File); err != nil {
		return err
	}
	fmt.Fprintln(out.stdout, "ok")
	return nil
}
