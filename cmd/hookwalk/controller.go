//go:build !nolab

package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"hookwalk.example/hookwalk/internal/controller"
)

// controllerCommands are the commands of the control service.
type controllerCommands struct {
	Run controllerRun `cmd:"" help:"Run one controller of the control service."`
}

type controllerRun struct {
	File string `arg:"" help:"The settings file of the cluster, which is the same for all its controllers."`
	Name string `placeholder:"NAME" help:"The controller of the file to run; not needed if the file has only one."`
}

// Run runs a controller until SIGTERM or SIGINT.
func (c controllerRun) Run(out streams) error {
	config, err := controller.LoadConfig(c.File, c.Name)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(out.stderr, nil))
	service, err := controller.New(config, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return service.Run(ctx)
}
