package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/settings"
)

// drillStartTimeout limits how long the command waits for the node's response.
const drillStartTimeout = 5 * time.Second

type drillStart struct {
	File string `required:"" placeholder:"FILE" help:"The settings file with the drill."`
	Name string `placeholder:"NAME" help:"The drill to start; not needed if the file has only one."`
	Addr string `env:"ROUTER_LISTEN" placeholder:"HOST:PORT" help:"The address of the node."`
}

// Validate returns an error if neither the flag nor the environment has the node's address.
func (c drillStart) Validate() error {
	if c.Addr == "" {
		return errors.New("no address of a node: set --addr or ROUTER_LISTEN")
	}
	return nil
}

// Run starts a drill at a running node.
func (c drillStart) Run(out streams) error {
	file, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	drill, err := findDrill(file.FaultInjections, c.Name)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drillStartTimeout)
	defer cancel()
	reply, err := faultinjection.Start(ctx, c.Addr, drill.Secret)
	if err != nil {
		return fmt.Errorf("drill %s: %w", drill.Name, err)
	}
	fmt.Fprintln(out.stdout, reply)
	return nil
}

// findDrill returns the drill with a name, or the only drill if name is empty. It returns an error if that drill has no
// secret, without which it can't be started.
func findDrill(drills []settings.FaultInjection, name string) (found settings.FaultInjection, err error) {
	matches := 0
	for _, drill := range drills {
		if name == "" || drill.Name == name {
			found = drill
			matches++
		}
	}
	switch {
	case matches == 0 && name != "":
		return found, fmt.Errorf("no drill is named %s", name)
	case matches == 0:
		return found, errors.New("the file has no drill")
	case matches > 1:
		return found, errors.New("the file has several drills: choose one with --name")
	case found.Secret == "":
		return found, fmt.Errorf("drill %s has no secret, so it can't be started", found.Name)
	}
	return found, nil
}
