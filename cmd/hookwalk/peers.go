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
	// leaveTimeout is how long a node that ends waits until its peers have its farewell. Without it they take the node for
	// failed, which is only slower; a shutdown must not wait longer.
	leaveTimeout = time.Second

	// rejoinInterval is how often a node tries the address that the process before it still has: after an upgrade it is
	// free within a second or two.
	rejoinInterval = 200 * time.Millisecond
)

// peerSession is a node's membership in its installation. Its cluster is nil until the node has its address.
type peerSession struct {
	config  peers.Config
	log     *slog.Logger
	cluster atomic.Pointer[peers.Cluster]
	rejoin  sync.WaitGroup // the goroutine that waits for the address
	cancel  context.CancelFunc
}

// joinPeers lets a node meet others, where its settings say so. leave is called when the node has ended.
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

// join begins to listen for peers. During an upgrade the process before this one still has the address: then this one
// tries again until that one has left.
func (s *peerSession) join() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	cluster, err := peers.Join(s.config, s.log)
	switch {
	case err == nil:
		s.cluster.Store(cluster)
	case errors.Is(err, syscall.EADDRINUSE):
		s.log.Info("peers: address in use, by the previous process if this is an upgrade", "err", err)
		s.rejoin.Go(func() { s.joinWhenFree(ctx) })
	default:
		cancel()
		return err
	}
	return nil
}

// joinWhenFree tries to join until it succeeds or ctx ends.
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

// view is what the node knows of its peers, for the admin API.
func (s *peerSession) view() any {
	if cluster := s.cluster.Load(); cluster != nil {
		return cluster.View()
	}
	return peers.View{Self: membership.Joining.String(), Site: s.config.Site}
}

// reloadKeys reads the file of encryption keys again.
func (s *peerSession) reloadKeys() error {
	if cluster := s.cluster.Load(); cluster != nil {
		return cluster.ReloadKeys()
	}
	return nil
}

// leave tells the peers that the node ends.
func (s *peerSession) leave() {
	s.cancel()
	s.rejoin.Wait()
	cluster := s.cluster.Load()
	if cluster == nil {
		return
	}
	if err := cluster.Leave(leaveTimeout); err != nil {
		s.log.Warn("peers", "err", err)
	}
	cluster.Close()
}

// peersConfig maps the settings of a node to those of its peers. The start file is that of the configuration.
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
