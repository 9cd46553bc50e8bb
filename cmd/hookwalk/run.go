package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/asyncwriter"
	"hookwalk.example/hookwalk/internal/node"
	"hookwalk.example/hookwalk/internal/settings"
)

// stderrFlushTimeout is how long a node that has stopped waits for whoever reads its standard error. A reader that hangs
// must not keep the process alive.
const stderrFlushTimeout = time.Second

// goMemoryPercent is the share of the memory limit that the Go runtime may use. The rest is for sockets and the stacks of
// threads, which the runtime does not count.
const goMemoryPercent = 75

// runNode runs a node until SIGTERM or SIGINT. settingsPath names the settings file; "": no feature is on.
func runNode(hangups <-chan os.Signal, settingsPath string) error {
	configPath := os.Getenv("ROUTER_CONFIG")
	cfg, err := node.LoadConfig(configPath)
	if err != nil {
		return err
	}
	if settingsPath != "" {
		if cfg.Features, err = settings.Load(settingsPath); err != nil {
			return err
		}
	}
	limitResources(cfg)
	defer asyncwriter.Stderr.Flush(stderrFlushTimeout)
	log := slog.New(slog.NewTextHandler(asyncwriter.Stderr, nil))
	cfg, configWatch, err := prepareConfigWatch(cfg, log)
	if err != nil {
		return err
	}
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	leavePeers, err := joinPeers(cfg, log, n)
	if err != nil {
		return err
	}
	defer leavePeers()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	defer handleSignals(n, log, configPath, hangups, captureDumpSignals(cfg))()
	defer configWatch.start(n)()
	return n.Run(ctx)
}

// limitResources keeps the process within the memory and the cores of its configuration.
func limitResources(cfg node.Config) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * goMemoryPercent / 100)
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	signal.Ignore(syscall.SIGXFSZ) // a write over the limit of a file's size fails, instead of ending the node
}

// captureDumpSignals returns the channel of SIGUSR1, which dumps the capture; nil without a capture, so that the signal then
// does what it does to any program.
func captureDumpSignals(cfg node.Config) <-chan os.Signal {
	if cfg.Features.Capture == nil {
		return nil
	}
	dumps := make(chan os.Signal, 1)
	signal.Notify(dumps, syscall.SIGUSR1)
	return dumps
}

// handleSignals reloads the configuration at each SIGHUP and dumps the capture at each SIGUSR1, in a goroutine that ends
// when stop is called. stop returns after it has ended.
func handleSignals(n *node.Node, log *slog.Logger, configPath string, hangups, dumps <-chan os.Signal) (stop func()) {
	stopped := make(chan struct{})
	var handler sync.WaitGroup
	handler.Go(func() {
		for {
			select {
			case <-hangups:
				if err := reload(n, configPath); err != nil {
					log.Error("configuration not read again", "err", err)
				}
			case <-dumps:
				n.DumpCapture()
			case <-stopped:
				return
			}
		}
	})
	return func() {
		close(stopped)
		handler.Wait()
	}
}

// reload reads the configuration file again and brings it into force, with the keys of the peers. With a configuration
// that can't be used the node keeps the one that it has.
func reload(n *node.Node, configPath string) error {
	cfg, err := node.LoadConfig(configPath)
	if err != nil {
		return err
	}
	if err := n.Reload(cfg); err != nil {
		return err
	}
	if n.ReloadKeys == nil {
		return nil
	}
	return n.ReloadKeys()
}
