// Command hookwalk is one load-balancer node: it takes requests, lets package deckrelay decide where
// they go, and answers them. ROUTER_CONFIG names its configuration file. Subcommands start a drill at a
// running node and replay what one has captured.
package main

import (
	"context"
	"errors"
	"flag"
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

	"hookwalk.example/hookwalk/internal/node"
	"hookwalk.example/hookwalk/internal/settings"
)

const usage = `Usage:
  hookwalk [--settings FILE]    run a node; ROUTER_CONFIG names its configuration, FILE switches features on
  hookwalk drill start --file FILE [--name NAME] [--addr HOST:PORT]
                                start a drill of the settings file FILE at a running node (ROUTER_LISTEN)
  hookwalk replay --capture FILE
                                play a capture, a .hwc file or a log with capture lines, and print what is
                                decided otherwise; exit 0: nothing, 1: something, 2: it can't be played
`

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	args := os.Args[1:]
	switch {
	case len(args) > 0 && args[0] == "drill":
		os.Exit(drill(args[1:], os.Stdout, os.Stderr))
	case len(args) > 0 && args[0] == "replay":
		os.Exit(replay(args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(serve(args))
}

// newFlags are the flags of a command; with wrong ones it says what is wrong and how it is used.
func newFlags(stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("hookwalk", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { io.WriteString(stderr, usage) }
	return flags
}

// parse reads a command's flags, which are all that it takes. If done, the command ends with this code.
func parse(flags *flag.FlagSet, args []string) (code int, done bool) {
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0, true
	case err != nil:
		return exitUsage, true
	case flags.NArg() > 0:
		fmt.Fprintf(flags.Output(), "hookwalk: unexpected argument %q\n", flags.Arg(0))
		flags.Usage()
		return exitUsage, true
	}
	return 0, false
}

// failed says in one line why a command could not do its work.
func failed(stderr io.Writer, err error) (code int) {
	fmt.Fprintf(stderr, "hookwalk: %v\n", err)
	return exitFailed
}

// serve is the node.
func serve(args []string) (code int) {
	// Uncaught, SIGHUP ends a process: it is caught before anything that takes time.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	flags := newFlags(os.Stderr)
	file := flags.String("settings", "", "")
	if code, done := parse(flags, args); done {
		return code
	}
	if err := run(hangups, *file); err != nil {
		return failed(os.Stderr, err)
	}
	return 0
}

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
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
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
	return n.Run(ctx)
}

// listen reads the configuration again at each SIGHUP until ended is closed, and has what was captured written
// out at each SIGUSR1. With a configuration that can't be used, the node goes on with what it has.
func listen(n *node.Node, log *slog.Logger, path string, hangups, dumps <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-hangups:
		case <-dumps:
			n.Dump()
			continue
		case <-ended:
			return
		}
		cfg, err := node.LoadConfig(path)
		if err != nil {
			log.Error("configuration not read again", "err", err)
			continue
		}
		n.Reload(cfg)
	}
}
