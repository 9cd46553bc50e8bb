//go:build nolab

package main

import (
	"fmt"
	"log/slog"

	"hookwalk.example/hookwalk/internal/node"
)

// joinPeers returns an error where the settings have peers: the build for service has none. The platform does not let nodes talk, and the library that finds them
// would cost every node its memory.
func joinPeers(cfg node.Config, _ *slog.Logger, _ *node.Node) (leave func(), err error) {
	if p := cfg.Features.Peers; p != nil {
		return nil, fmt.Errorf("%s: this build is for service and has no peers: build without -tags nolab, or take the block out", p.Pos)
	}
	return func() {}, nil
}
