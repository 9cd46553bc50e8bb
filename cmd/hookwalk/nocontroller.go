//go:build nolab

package main

import "errors"

// controllerCommands is the control service of the build for service, which has none.
type controllerCommands struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run says where there is one.
func (controllerCommands) Run(streams) error { return errNoControlService }

// configCommands are the control service's commands of the build for service, which has none.
type configCommands struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run says where there are some.
func (configCommands) Run(streams) error { return errNoControlService }

var errNoControlService = errors.New("this build is for service and has no control service: build without -tags nolab")
