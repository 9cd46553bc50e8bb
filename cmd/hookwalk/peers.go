//go:build !nolab

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"hookwalk.example/hookwalk/internal/state"
	"hookwalk.example/hookwalk/membership"
)

// leaveTimeout is how long a node that ends waits for its peers to hear of it.
const leaveTimeout = time.Second

// joinPeers has a node meet others, where its settings say so. What it returns is called when the node has ended.
func joinPeers(cfg node.Config, log *slog.Logger, n *node.Node) (leave func(), err error) {
	p := cfg.Features.Peers
	if p == nil {
		return func() {}, nil
	}
	with := peersConfig(cfg.Name, p, cfg.Features.Sites)
	with.StartStore.(*startFile).log = log
	var cluster atomic.Pointer[peers.Cluster]
	joined, err := peers.Join(with, log)
	switch {
	case err == nil:
		cluster.Store(joined)
	case !errors.Is(err, syscall.EADDRINUSE):
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var waits sync.WaitGroup
	if err != nil { // the process that this one replaces has it yet: this one meets the others when that one has left
		log.Info("peers: the address is taken, by the process before this one if all is well", "err", err)
		waits.Go(func() {
			tick := time.NewTicker(rejoinInterval)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
				if joined, err := peers.Join(with, log); err == nil {
					cluster.Store(joined)
					return
				}
			}
		})
	}
	n.PeersView = func() any {
		if c := cluster.Load(); c != nil {
			return c.View()
		}
		return peers.View{Self: membership.Joining.String(), Site: p.Site}
	}
	n.ReloadKeys = func() error {
		if c := cluster.Load(); c != nil {
			return c.ReloadKeys()
		}
		return nil
	}
	return func() {
		stop()
		waits.Wait()
		c := cluster.Load()
		if c == nil {
			return
		}
		if err := c.Leave(leaveTimeout); err != nil {
			log.Warn("peers", "err", err)
		}
		c.Close()
	}, nil
}

// rejoinInterval is how often a node tries the address that the process before it still has.
const rejoinInterval = 200 * time.Millisecond

func peersConfig(name string, p *settings.Peers, sites []settings.Site) peers.Config {
	tree := membership.Tree{}
	for _, s := range sites {
		tree[s.Name] = s.Parent
	}
	folder := p.Folder
	if folder == "" {
		folder = os.TempDir()
	}
	return peers.Config{Name: name, Site: p.Site, Tree: tree, Listen: p.Listen, Seeds: p.Seeds, KeyFile: p.KeyFile, Label: p.Label,
		AddressOverrides: p.AddressOverrides, StartStore: &startFile{path: filepath.Join(folder, "hookwalk-start."+name), owner: name}}
}

// startFile keeps the number of a node's start in a file.
type startFile struct {
	path, owner string
	log         *slog.Logger
	writes      sync.WaitGroup // that are under way
}

// StartError says that the number of a start could not be read or kept.
type StartError struct {
	Path string
	Err  error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("the number of this start (%s): %v: the peers settle it; look at the folder's disk", e.Path, e.Err)
}
func (e *StartError) Unwrap() error { return e.Err }

// Next returns the stored number plus one, and stores it in the background.
func (s *startFile) Next() (uint64, error) {
	var last uint64
	var wrong error
	found := state.Read(s.path, s.owner)
	switch {
	case found.Body != nil:
		wrong = json.Unmarshal(found.Body, &last)
	case len(found.Errors) > 0:
		wrong = found.Errors[0]
	}
	s.writes.Go(func() { // a node that is killed before it is on disk claims the number again, and its peers settle it
		if err := s.write(last + 1); err != nil {
			s.log.Warn("peers", "err", err)
		}
	})
	if wrong != nil {
		return last + 1, &StartError{s.path, wrong}
	}
	return last + 1, nil
}

// Save stores a number that a refutation raised.
func (s *startFile) Save(start uint64) error { return s.write(start) }

func (s *startFile) write(start uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	release, err := state.Lock(ctx, s.path)
	if err != nil {
		return &StartError{s.path, err}
	}
	defer release()
	body, err := json.Marshal(start)
	if err == nil {
		err = state.Write(s.path, s.owner, body)
	}
	if err != nil {
		return &StartError{s.path, err}
	}
	return nil
}
