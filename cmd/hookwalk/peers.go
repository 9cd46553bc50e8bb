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
	"hookwalk.example/hookwalk/members"
)

// leaveTime is how long a node that ends waits for its peers to hear of it.
const leaveTime = time.Second

// joinPeers has a node meet others, where its settings say so. What it returns is called when the node has ended.
func joinPeers(cfg node.Config, log *slog.Logger, n *node.Node) (leave func(), err error) {
	p := cfg.Features.Peers
	if p == nil {
		return func() {}, nil
	}
	with := peersConfig(cfg.Name, p, cfg.Features.Sites)
	with.Starts.(*starts).log = log
	var room atomic.Pointer[peers.Room]
	r, err := peers.Join(with, log)
	switch {
	case err == nil:
		room.Store(r)
	case !errors.Is(err, syscall.EADDRINUSE):
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var waits sync.WaitGroup
	if err != nil { // the process that this one replaces has it yet: this one meets the others when that one has left
		log.Info("peers: the address is taken, by the process before this one if all is well", "err", err)
		waits.Go(func() {
			tick := time.NewTicker(takenEvery)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
				if r, err := peers.Join(with, log); err == nil {
					room.Store(r)
					return
				}
			}
		})
	}
	n.Sites = func() any {
		if r := room.Load(); r != nil {
			return r.View()
		}
		return peers.View{Self: members.Joining.String(), Site: p.Site}
	}
	n.Reread = func() error {
		if r := room.Load(); r != nil {
			return r.Rekey()
		}
		return nil
	}
	return func() {
		stop()
		waits.Wait()
		r := room.Load()
		if r == nil {
			return
		}
		if err := r.Leave(leaveTime); err != nil {
			log.Warn("peers", "err", err)
		}
		r.Close()
	}, nil
}

const takenEvery = 200 * time.Millisecond

func peersConfig(name string, p *settings.Peers, sites []settings.Site) peers.Config {
	tree := members.Tree{}
	for _, s := range sites {
		tree[s.Name] = s.Parent
	}
	folder := p.Folder
	if folder == "" {
		folder = os.TempDir()
	}
	return peers.Config{Name: name, Site: p.Site, Tree: tree, Listen: p.Listen, Seeds: p.Seeds, KeyFile: p.KeyFile, Label: p.Label,
		Via: p.Via, Starts: &starts{path: filepath.Join(folder, "hookwalk-start."+name), owner: name}}
}

// starts keeps the number of a node's start in a file.
type starts struct {
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

// Next is one more than the last.
func (s *starts) Next() (uint64, error) {
	var last uint64
	var wrong error
	found := state.Read(s.path, s.owner)
	switch {
	case found.Body != nil:
		wrong = json.Unmarshal(found.Body, &last)
	case len(found.Bad) > 0:
		wrong = found.Bad[0]
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

// Raise keeps a number that the peers' word made necessary.
func (s *starts) Raise(start uint64) error { return s.write(start) }

func (s *starts) write(start uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
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
