//go:build nolab

package main

import "errors"

// labCommands is the lab of the build that serves: what only the lab needs would cost every node its memory.
type labCommands struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run says where there is one.
func (labCommands) Run(streams) error {
	return errors.New("this build is for service and has no lab: go run ./cmd/hookwalk lab")
}
