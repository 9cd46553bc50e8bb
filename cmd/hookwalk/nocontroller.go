//go:build nolab

package main

import "errors"

// controllerCommands accepts the commands of the control service, which the build for service does not have.
type controllerCommands struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run returns an error that names the build with a control service.
func (controllerCommands) Run(streams) error { return errNoControlService }

// configCommands accepts the commands for configuration versions, which the build for service does not have.
type configCommands struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run returns an error that names the build with a control service.
func (configCommands) Run(streams) error { return errNoControlService }

var errNoControlService = errors.New("this build is for service and has no control service: build without -tags nolab")
