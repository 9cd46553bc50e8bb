// Command hookwalk is one load-balancer node: it takes requests, lets package deckrelay decide where
// they go, and answers them. ROUTER_CONFIG names its configuration file. Subcommands start a drill at a
// running node and replay what one has captured.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"hookwalk.example/hookwalk/internal/asyncwriter"
	"hookwalk.example/hookwalk/internal/node"
	"hookwalk.example/hookwalk/internal/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// commandLine is all that the program can be told; kong reads it.
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

// streams are where a command reads and writes, and the signals that were caught before anything took time.
type streams struct {
	stdout, stderr io.Writer
	hangups        <-chan os.Signal
}

// exitStatus is how a command ended, where there is nothing left to say.
type exitStatus int

func (s exitStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

func main() {
	// Uncaught, SIGHUP ends a process: a node's is caught before anything that takes time.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	os.Exit(command(os.Args[1:], streams{os.Stdout, os.Stderr, hangups}))
}

// command carries out one command line and returns the exit code.
func command(args []string, io streams) (code int) {
	var line commandLine
	var ended *int
	p, err := kong.New(&line, kong.Name("hookwalk"), kong.Writers(io.stdout, io.stderr),
		kong.Description("One load-balancer node, and the tools round it. Status 0: done, 1: failed, 2: called wrongly."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) {
			if ended == nil {
				ended = &code
			}
		}))
	if err != nil {
		return failed(io.stderr, err)
	}
	ctx, err := p.Parse(args)
	if ended != nil { // help was asked for
		return *ended
	}
	if err != nil {
		fmt.Fprintf(io.stderr, "hookwalk: %v\n", err)
		var wrong *kong.ParseError
		if errors.As(err, &wrong) && wrong.Context != nil {
			p.Stdout = io.stderr
			_ = wrong.Context.PrintUsage(true)
		}
		return exitUsage
	}
	if ctx.Command() != "run" {
		signal.Reset(syscall.SIGHUP)
	}
	var told exitStatus
	switch err := ctx.Run(io); {
	case err == nil:
		return 0
	case errors.As(err, &told):
		return int(told)
	default:
		return failed(io.stderr, err)
	}
}

// failed says in one line why a command could not do its work.
func failed(stderr io.Writer, err error) (code int) {
	fmt.Fprintf(stderr, "hookwalk: %v\n", err)
	return exitFailed
}

// Run is the node.
func (c runCommand) Run(io streams) error { return run(io.hangups, c.Settings) }

// Run says whether a settings file can be used. What only a node knows, such as its classes, it can't check.
func (c checkCommand) Run(io streams) error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Fprintln(io.stdout, "ok")
	return nil
}

// Run says what the build is made of, as Go recorded it.
func (versionCommand) Run(io streams) error {
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
	fmt.Fprintf(io.stdout, "hookwalk, revision %s%s, %s\n", revision, changed, runtime.Version())
	return nil
}

// lastWords is how long a node that has stopped waits for those who read its standard error.
const lastWords = time.Second

func run(hangups <-chan os.Signal, file string) error {
	path := os.Getenv("ROUTER_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	if file != "" {
		if cfg.Features, err = settings.Load(file); err != nil {
			return err
		}
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4) // the rest is for stacks of the kernel and sockets
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	signal.Ignore(syscall.SIGXFSZ) // a disk without room fails a write, not the node
	defer asyncwriter.Stderr.Flush(lastWords)
	log := slog.New(slog.NewTextHandler(asyncwriter.Stderr, nil))
	cfg, versions, err := prepareConfigWatch(cfg, log)
	if err != nil {
		return err
	}
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	leave, err := joinPeers(cfg, log, n)
	if err != nil {
		return err
	}
	defer leave()
	var dumps chan os.Signal // without a capture the signal does what it does to any program
	if cfg.Features.Capture != nil {
		dumps = make(chan os.Signal, 1)
		signal.Notify(dumps, syscall.SIGUSR1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ended, reloader := make(chan struct{}), sync.WaitGroup{}
	reloader.Add(1)
	go func() {
		defer reloader.Done()
		listen(n, log, path, hangups, dumps, ended)
	}()
	defer reloader.Wait()
	defer close(ended)
	defer versions.start(n)()
	return n.Run(ctx)
}

// listen reads the configuration again at each SIGHUP until ended is closed, and has what was captured written
// out at each SIGUSR1. With a configuration that can't be used, the node goes on with what it has.
func listen(n *node.Node, log *slog.Logger, path string, hangups, dumps <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-hangups:
		case <-dumps:
			n.DumpCapture()
			continue
		case <-ended:
			return
		}
		cfg, err := node.LoadConfig(path)
		if err == nil {
			err = n.Reload(cfg)
		}
		if err == nil && n.ReloadKeys != nil {
			err = n.ReloadKeys()
		}
		if err != nil {
			log.Error("configuration not read again", "err", err)
		}
	}
}
