//go:build nolab

package main

import (
	"fmt"
	"log/slog"

	"hookwalk.example/hookwalk/internal/node"
)

// configSession is the node's session for configuration versions, which the build for service does not have.
type configSession struct{}

// prepareConfigWatch returns an error where the settings have config_watch: the build for service has none of it. The platform writes each node's file, and
// the session would cost every node its memory.
func prepareConfigWatch(cfg node.Config, _ *slog.Logger) (node.Config, configSession, error) {
	if w := cfg.Features.ConfigWatch; w != nil {
		return cfg, configSession{}, fmt.Errorf("%s: this build is for service and has no configuration versions: build without -tags nolab, or take the block out", w.Pos)
	}
	return cfg, configSession{}, nil
}

// start has nothing to start, and returns what there is to end.
func (configSession) start(*node.Node) (stop func()) { return func() {} }
