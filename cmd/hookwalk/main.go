// Command hookwalk is one load-balancer node: it takes requests, lets package balancer decide where they go, and answers
// them. ROUTER_CONFIG names its configuration file. Subcommands are the operators' tools: they start a drill at a running
// node, replay a capture, run a controller, publish configuration versions, and run the lab.
//
// A command has a file of its own (run.go is the node); main.go parses the command line and sets the exit code.
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

// Exit codes. Scripts of operators rely on them. Code 3 is exitLate, of the lab's fleet alone.
const (
	exitFailed = 1 // the command could not do its work, or a check found a fault; replay: something is decided otherwise
	exitUsage  = 2 // it was called wrongly, or its input can't be used; replay: the capture can't be played
)

// commandLine is the command line's grammar, parsed by kong.
type commandLine struct {
	Run        runCommand         `cmd:"" default:"withargs" help:"Run a node (the default). ROUTER_CONFIG names its configuration."`
	Drill      drillCommands      `cmd:"" help:"Rehearsals of trouble."`
	Replay     replayCommand      `cmd:"" help:"Play a capture (a .hwc file or a log with capture lines) into this build's decisions and print what is decided otherwise; status 0: nothing, 1: something, 2: it can't be played."`
	Check      checkCommand       `cmd:"" help:"Read a settings file strictly: ok, or what is wrong and where, and status 1."`
	State      stateCommands      `cmd:"" help:"What a node keeps on disk."`
	Sites      sitesCommands      `cmd:"" help:"What a running node knows of its peers and their sites."`
	Controller controllerCommands `cmd:"" help:"The control service: controllers that keep configuration versions and bring them to nodes."`
	Config     configCommands     `cmd:"" help:"Publish configuration versions, and see where they are in force."`
	Lab        labCommands        `cmd:"" help:"An emulator of the chain: scenarios in virtual time and on sockets, experiments, the paper."`
	Version    versionCommand     `cmd:"" help:"Print what build this is."`
}

type runCommand struct {
	Settings string `placeholder:"FILE" help:"The settings file, which switches features on."`
}

type drillCommands struct {
	Start drillStart `cmd:"" help:"Start a drill of a settings file at a running node."`
}

type checkCommand struct {
	File string `arg:"" help:"The settings file."`
}

type versionCommand struct{}

// streams are the outputs of a command, and the channel of SIGHUPs that was opened before anything else ran.
type streams struct {
	stdout, stderr io.Writer
	hangups        <-chan os.Signal
}

// exitStatus is the error of a command that has reported everything itself and ends with this exit code.
type exitStatus int

func (s exitStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

func main() {
	// SIGHUP ends a process that does not catch it. A node may get one right after its start.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	os.Exit(runCommandLine(os.Args[1:], streams{os.Stdout, os.Stderr, hangups}))
}

// runCommandLine runs one runCommandLine line and returns the exit code.
func runCommandLine(args []string, out streams) (code int) {
	var line commandLine
	var helpExit *int // set when kong has printed help
	p, err := kong.New(&line, kong.Name("hookwalk"), kong.Writers(out.stdout, out.stderr),
		kong.Description("One load-balancer node, and the tools round it. Status 0: done, 1: failed, 2: called wrongly."),
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

// printFailure prints in one line why a command could not do its work.
func printFailure(stderr io.Writer, err error) (code int) {
	fmt.Fprintf(stderr, "hookwalk: %v\n", err)
	return exitFailed
}

// Run runs a node until it is told to end.
func (c runCommand) Run(out streams) error { return runNode(out.hangups, c.Settings) }

// Run reports whether a settings file can be used. What only a node knows, such as its classes, it can't check.
func (c checkCommand) Run(out streams) error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Fprintln(out.stdout, "ok")
	return nil
}

// Run prints the revision and the Go version of the build, as Go recorded them.
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
