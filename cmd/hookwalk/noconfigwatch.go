//go:build nolab

package main

import (
	"fmt"
	"log/slog"

	"hookwalk.example/hookwalk/internal/node"
)

// configSession stands in for the configuration version session, which the build for service does not have.
type configSession struct{}

// prepareConfigWatch returns an error if the settings have a config_watch block. The build for service leaves the session
// out to save its memory in every node: the platform writes each node's configuration file.
func prepareConfigWatch(cfg node.Config, _ *slog.Logger) (node.Config, configSession, error) {
	if w := cfg.Features.ConfigWatch; w != nil {
		return cfg, configSession{}, fmt.Errorf("%s: this build is for service and does not support configuration versions: build without -tags nolab, or remove the block", w.Pos)
	}
	return cfg, configSession{}, nil
}

// start does nothing, and neither does stop.
func (configSession) start(*node.Node) (stop func()) { return func() {} }
