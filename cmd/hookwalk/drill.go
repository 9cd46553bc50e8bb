package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"hookwalk.example/hookwalk/internal/drills"
	"hookwalk.example/hookwalk/internal/settings"
)

const startTime = 5 * time.Second // for a node to answer

// drill is the command that starts a drill at a running node.
func drill(args []string, stdout, stderr io.Writer) (code int) {
	flags := newFlags(stderr)
	file := flags.String("file", "", "")
	name := flags.String("name", "", "")
	addr := flags.String("addr", os.Getenv("ROUTER_LISTEN"), "")
	if len(args) > 0 && args[0] == "start" {
		args = args[1:]
	} else if len(args) == 0 || args[0] != "-h" && args[0] != "--help" {
		flags.Usage()
		return exitUsage
	}
	if code, done := parse(flags, args); done {
		return code
	}
	if *file == "" || *addr == "" {
		fmt.Fprintln(stderr, "hookwalk: drill start needs --file, and --addr where ROUTER_LISTEN is not set")
		flags.Usage()
		return exitUsage
	}
	f, err := settings.Load(*file)
	if err != nil {
		return failed(stderr, err)
	}
	d, err := startable(f.Drills, *name)
	if err != nil {
		return failed(stderr, fmt.Errorf("%s: %w", *file, err))
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	said, err := drills.Start(ctx, *addr, d.Secret)
	if err != nil {
		return failed(stderr, fmt.Errorf("drill %s: %w", d.Name, err))
	}
	fmt.Fprintln(stdout, said)
	return 0
}

// startable finds the drill of a name, which may be left out where there is just one.
func startable(list []settings.Drill, name string) (found settings.Drill, err error) {
	n := 0
	for _, d := range list {
		if name == "" || d.Name == name {
			found = d
			n++
		}
	}
	switch {
	case n == 0 && name != "":
		return found, fmt.Errorf("no drill %s", name)
	case n == 0:
		return found, errors.New("no drill")
	case n > 1:
		return found, errors.New("several drills: --name says which")
	case found.Secret == "":
		return found, fmt.Errorf("drill %s has no secret, so it can't be started", found.Name)
	}
	return found, nil
}
