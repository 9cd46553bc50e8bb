// Command hookwalk runs one load-balancer node: it accepts requests, forwards each to the server that package balancer
// chooses, and returns the response. ROUTER_CONFIG names its configuration file. The subcommands are the operators' tools:
// they start a drill at a running node, replay a capture, run a controller, publish configuration versions, and run the
// lab.
//
// Each command has its own file (run.go is the node). main.go parses the command line and sets the exit code.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"hookwalk.example/hookwalk/internal/settings"
)

// Exit codes, on which operators' scripts rely. Code 3 is exitMachineTooSlow, which only lab fleet uses.
const (
	exitFailed = 1 // the command failed, or a check found a fault; replay: a decision differs
	exitUsage  = 2 // the arguments or the input are invalid; replay: the capture can't be replayed
)

// commandLine is the grammar of the command line, which kong parses.
type commandLine struct {
	Run        runCommand         `cmd:"" default:"withargs" help:"Run a node (the default). ROUTER_CONFIG names its configuration file."`
	Drill      drillCommands      `cmd:"" help:"Fault injection drills."`
	Replay     replayCommand      `cmd:"" help:"Replay a capture (a .hwc file, or a log with capture lines) with this build, and print each decision that differs. Exit status: 0 no differences, 1 differences, 2 the capture can't be replayed."`
	Check      checkCommand       `cmd:"" help:"Check a settings file: print ok, or report what is wrong and where, with exit status 1."`
	State      stateCommands      `cmd:"" help:"Inspect the state files that a node keeps on disk."`
	Sites      sitesCommands      `cmd:"" help:"Show what a running node knows about its peers and their sites."`
	Controller controllerCommands `cmd:"" help:"Run the control service, whose controllers store configuration versions and distribute them to nodes."`
	Config     configCommands     `cmd:"" help:"Publish configuration versions, and show at which nodes they are in force."`
	Lab        labCommands        `cmd:"" help:"Run scenarios in virtual time or on sockets, compare experiments, and compute the tables of the design's paper."`
	Version    versionCommand     `cmd:"" help:"Print the revision and the Go version of this build."`
}

type runCommand struct {
	Settings string `placeholder:"FILE" help:"The settings file, which enables features."`
}

type drillCommands struct {
	Start drillStart `cmd:"" help:"Start a drill from a settings file at a running node."`
}

type checkCommand struct {
	File string `arg:"" help:"The settings file."`
}

type versionCommand struct{}

// streams holds the outputs of a command, and the channel for SIGHUP, which main registers before it does anything else.
type streams struct {
	stdout, stderr io.Writer
	hangups        <-chan os.Signal
}

// exitStatus is returned as the error of a command that has already printed its result and exits with this code.
type exitStatus int

func (s exitStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

func main() {
	// A process that does not handle SIGHUP is terminated by it. A node may receive one immediately after its start.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	os.Exit(runCommandLine(os.Args[1:], streams{os.Stdout, os.Stderr, hangups}))
}

// runCommandLine parses and runs one command line and returns the exit code.
func runCommandLine(args []string, out streams) (code int) {
	var line commandLine
	var helpExit *int // set when kong has printed help
	p, err := kong.New(&line, kong.Name("hookwalk"), kong.Writers(out.stdout, out.stderr),
		kong.Description("A load-balancer node and its tools. Exit status: 0 success, 1 failure, 2 invalid usage."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) {
			if helpExit == nil {
				helpExit = &code
			}
		}))
	if err != nil {
		return printFailure(out.stderr, err)
	}
	ctx, err := p.Parse(args)
	if helpExit != nil {
		return *helpExit
	}
	if err != nil {
		fmt.Fprintf(out.stderr, "hookwalk: %v\n", err)
		var parseErr *kong.ParseError
		if errors.As(err, &parseErr) && parseErr.Context != nil {
			p.Stdout = out.stderr
			_ = parseErr.Context.PrintUsage(true)
		}
		return exitUsage
	}
	if ctx.Command() != "run" {
		signal.Reset(syscall.SIGHUP)
	}
	var status exitStatus
	switch err := ctx.Run(out); {
	case err == nil:
		return 0
	case errors.As(err, &status):
		return int(status)
	default:
		return printFailure(out.stderr, err)
	}
}

// printFailure prints on one line why a command failed, and returns exitFailed.
func printFailure(stderr io.Writer, err error) (code int) {
	fmt.Fprintf(stderr, "hookwalk: %v\n", err)
	return exitFailed
}

// Run runs a node until it receives SIGTERM or SIGINT.
func (c runCommand) Run(out streams) error { return runNode(out.hangups, c.Settings) }

// Run checks a settings file. It can't check references to what only a node knows, such as its classes.
func (c checkCommand) Run(out streams) error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Fprintln(out.stdout, "ok")
	return nil
}

// Run prints the revision that Go recorded in the build, and the Go version.
func (versionCommand) Run(out streams) error {
	revision, changed := "unknown", ""
	info, ok := debug.ReadBuildInfo()
	if ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	fmt.Fprintf(out.stdout, "hookwalk, revision %s%s, %s\n", revision, changed, runtime.Version())
	return nil
}
