//go:build nolab

package main

import "errors"

// labCommands accepts the commands of the lab. The build for service leaves the lab out to save its memory in every node.
type labCommands struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run returns an error that says how to run the lab.
func (labCommands) Run(streams) error {
	return errors.New("this build is for service and has no lab: go run ./cmd/hookwalk lab")
}
