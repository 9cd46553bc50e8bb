//go:build nolab

package main

import (
	"fmt"
	"log/slog"

	"hookwalk.example/hookwalk/internal/node"
)

// joinPeers returns an error if the settings have a peers block. The build for service leaves peers out to save the memory
// of the membership library in every node: the platform does not let nodes communicate with each other.
func joinPeers(cfg node.Config, _ *slog.Logger, _ *node.Node) (leave func(), err error) {
	if p := cfg.Features.Peers; p != nil {
		return nil, fmt.Errorf("%s: this build is for service and does not support peers: build without -tags nolab, or remove the block", p.Pos)
	}
	return func() {}, nil
}
