package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/settings"
)

// drillStartTimeout is how long a node may take to answer.
const drillStartTimeout = 5 * time.Second

type drillStart struct {
	File string `required:"" placeholder:"FILE" help:"The settings file that describes the drill."`
	Name string `placeholder:"NAME" help:"Which drill, where the file has several."`
	Addr string `env:"ROUTER_LISTEN" placeholder:"HOST:PORT" help:"The node."`
}

// Validate wants an address from one of the two places where it may stand.
func (c drillStart) Validate() error {
	if c.Addr == "" {
		return errors.New("--addr is missing, and ROUTER_LISTEN is not set")
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

// findDrill finds the drill of a name, which may be left out where there is just one.
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
		return found, fmt.Errorf("no drill %s", name)
	case matches == 0:
		return found, errors.New("no drill")
	case matches > 1:
		return found, errors.New("several drills: --name says which")
	case found.Secret == "":
		return found, fmt.Errorf("drill %s has no secret, so it can't be started", found.Name)
	}
	return found, nil
}
