//go:build !nolab

package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/node"
	"hookwalk.example/hookwalk/internal/peers"
	"hookwalk.example/hookwalk/internal/settings"
	"hookwalk.example/hookwalk/membership"
)

const (
	// leaveTimeout limits how long a node that shuts down waits until its peers have received its leave message. Peers that
	// miss the message detect the node as failed, which only takes them longer, so that a longer wait is not worth it.
	leaveTimeout = time.Second

	// rejoinInterval is the interval between attempts to listen on an address that the previous process still uses. After an
	// upgrade, the address is free within a second or two.
	rejoinInterval = 200 * time.Millisecond
)

// peerSession is a node's membership in the cluster of its peers. cluster is nil until the node listens on its address.
type peerSession struct {
	config  peers.Config
	log     *slog.Logger
	cluster atomic.Pointer[peers.Cluster]
	rejoin  sync.WaitGroup // the goroutine that waits until the address is free
	cancel  context.CancelFunc
}

// joinPeers joins a node to its peers, if its settings have a peers block. leave is to be called after the node has stopped.
func joinPeers(cfg node.Config, log *slog.Logger, n *node.Node) (leave func(), err error) {
	peerSettings := cfg.Features.Peers
	if peerSettings == nil {
		return func() {}, nil
	}
	config, startNumbers := peersConfig(cfg.Name, peerSettings, cfg.Features.Sites)
	startNumbers.log = log
	session := &peerSession{config: config, log: log}
	if err := session.join(); err != nil {
		return nil, err
	}
	n.PeersView = session.view
	n.ReloadKeys = session.reloadKeys
	return session.leave, nil
}

// join starts to listen for peers. If the address is in use, as by the previous process during an upgrade, it retries in the
// background until the address is free.
func (s *peerSession) join() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	cluster, err := peers.Join(s.config, s.log)
	switch {
	case err == nil:
		s.cluster.Store(cluster)
	case errors.Is(err, syscall.EADDRINUSE):
		s.log.Info("peers: address in use, by the previous process during an upgrade; retrying", "err", err)
		s.rejoin.Go(func() { s.joinWhenFree(ctx) })
	default:
		cancel()
		return err
	}
	return nil
}

// joinWhenFree retries the join until it succeeds or ctx ends.
func (s *peerSession) joinWhenFree(ctx context.Context) {
	tick := time.NewTicker(rejoinInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if cluster, err := peers.Join(s.config, s.log); err == nil {
			s.cluster.Store(cluster)
			return
		}
	}
}

// view returns what the node knows about its peers, for the admin API.
func (s *peerSession) view() any {
	if cluster := s.cluster.Load(); cluster != nil {
		return cluster.View()
	}
	return peers.View{Self: membership.Joining.String(), Site: s.config.Site}
}

// reloadKeys reloads the file with the encryption keys.
func (s *peerSession) reloadKeys() error {
	if cluster := s.cluster.Load(); cluster != nil {
		return cluster.ReloadKeys()
	}
	return nil
}

// leave notifies the peers that the node shuts down, and ends the membership.
func (s *peerSession) leave() {
	s.cancel()
	s.rejoin.Wait()
	cluster := s.cluster.Load()
	if cluster == nil {
		return
	}
	if err := cluster.Leave(leaveTimeout); err != nil {
		s.log.Warn("peers: leave not announced", "err", err)
	}
	cluster.Close()
}

// peersConfig converts the settings of a node to the configuration of its membership. The second result is the StartStore of
// that configuration.
func peersConfig(name string, peerSettings *settings.Peers, sites []settings.Site) (peers.Config, *startNumberFile) {
	tree := membership.Tree{}
	for _, s := range sites {
		tree[s.Name] = s.Parent
	}
	folder := peerSettings.Folder
	if folder == "" {
		folder = os.TempDir()
	}
	startNumbers := &startNumberFile{path: filepath.Join(folder, "hookwalk-start."+name), owner: name}
	return peers.Config{
		Name:             name,
		Site:             peerSettings.Site,
		Tree:             tree,
		Listen:           peerSettings.Listen,
		Seeds:            peerSettings.Seeds,
		KeyFile:          peerSettings.KeyFile,
		Label:            peerSettings.Label,
		AddressOverrides: peerSettings.AddressOverrides,
		StartStore:       startNumbers,
	}, startNumbers
}
