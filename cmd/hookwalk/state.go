package main

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/state"
)

type stateCommands struct {
	Show  stateShow  `cmd:"" help:"Print the content of a state file and its age."`
	Check stateCheck `cmd:"" help:"Check a state file: print ok, or report what is wrong, with exit status 1."`
}

type stateShow struct {
	File string `arg:"" help:"A .kept or .before file in a node's $TMPDIR."`
}

// Run prints the content of a state file.
func (c stateShow) Run(out streams) error {
	info, err := state.Inspect(c.File)
	if err != nil {
		return err
	}
	age := "unknown: the file was not written since the machine booted, or has no time"
	if info.Age != state.UnknownAge {
		age = info.Age.Round(time.Millisecond).String()
	}
	fmt.Fprintf(out.stdout, "version %d\nof      %s\nage     %s\n%s\n", info.Version, info.Owner, age, info.Body)
	return nil
}

type stateCheck struct {
	File string `arg:"" help:"The state file."`
}

// Run checks a state file.
func (c stateCheck) Run(out streams) error {
	if _, err := state.Inspect(c.File); err != nil {
		return err
	}
	fmt.Fprintln(out.stdout, "ok")
	return nil
}
