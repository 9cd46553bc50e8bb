//go:build !nolab

package main

import (
	"fmt"
	"log/slog"

	"hookwalk.example/hookwalk/internal/node"
)

// configSession is the node's session for configuration versions.
type configSession struct{}

// prepareConfigWatch refuses the block until the session is there.
func prepareConfigWatch(cfg node.Config, _ *slog.Logger) (node.Config, configSession, error) {
	if w := cfg.Features.ConfigWatch; w != nil {
		return cfg, configSession{}, fmt.Errorf("%s: this build has no configuration versions yet: take the block out", w.Pos)
	}
	return cfg, configSession{}, nil
}

// start has nothing to start, and returns what there is to end.
func (configSession) start(*node.Node) (stop func()) { return func() {} }
