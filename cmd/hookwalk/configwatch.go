//go:build !nolab

package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configwatch"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/node"
	"hookwalk.example/hookwalk/internal/settings"
)

// configSession is the node's session for configuration versions, before it starts. The zero one is off.
type configSession struct {
	watch *settings.ConfigWatch // nil: off
	name  string
	seed  uint64
	kept  configversion.LastKnownGood
	store *configwatch.Store // nil: nothing is kept
	log   *slog.Logger
}

// prepareConfigWatch has a node start with its last known good version, where its settings have it follow versions and it
// has kept one that a node can start with; else with its own file. It waits for no controller.
func prepareConfigWatch(cfg node.Config, log *slog.Logger) (node.Config, configSession, error) {
	watch := cfg.Features.ConfigWatch
	if watch == nil {
		return cfg, configSession{}, nil
	}
	s := configSession{watch: watch, name: cfg.Name, seed: cfg.Seed, log: log}
	if watch.Folder == "" {
		return cfg, s, nil
	}
	s.store = configwatch.NewStore(watch.Folder, cfg.Name, log)
	kept, err := s.store.Read()
	if err != nil {
		log.Warn("the node starts with its own configuration file", "err", err)
		return cfg, s, nil
	}
	if kept.Config == nil {
		s.kept = kept
		return cfg, s, nil
	}
	composed, err := cfg.WithOverride(overrideOf(*kept.Config))
	if err != nil {
		log.Warn("the node starts with its own configuration file: the last known good version can't be used with it",
			"version", kept.Version, "err", err)
		s.kept = configversion.LastKnownGood{Cluster: kept.Cluster, Former: kept.Former, Controllers: kept.Controllers}
		return cfg, s, nil
	}
	log.Info("the node starts with its last known good version", "version", kept.Version, "cluster", kept.Cluster)
	s.kept = kept
	return composed, s, nil
}

// start begins the session of a node, and returns what ends it.
func (s configSession) start(n *node.Node) (stop func()) {
	if s.watch == nil {
		return func() {}
	}
	session := configwatch.Start(configwatch.Options{Node: s.name, Service: s.watch.Service, Region: s.watch.Region, Zone: s.watch.Zone,
		Controllers: s.watch.Controllers, Seed: s.seed, Started: time.Now(), LastKnownGood: s.kept, Applier: nodeApplier{n}, Store: s.store, Log: s.log})
	return session.Close
}

func overrideOf(config configapi.ServiceConfig) node.Override {
	return node.Override{Settings: config.Settings, Discovery: config.Discovery}
}

// nodeApplier brings configurations into force at a node.
type nodeApplier struct{ node *node.Node }

// Apply does what SIGHUP does with a file that has these settings, after checks of the classes against the servers.
func (a nodeApplier) Apply(ctx context.Context, config configapi.ServiceConfig) error {
	return rejectionOf(a.node.Override(ctx, overrideOf(config), checkClasses))
}

// rejectionOf turns an error of an override into the rejection that operators see. One that is no verdict on the
// override stays as it is.
func rejectionOf(err error) error {
	var rejection *configapi.Rejection
	var unreadable *node.UnreadableOverrideError
	switch {
	case err == nil, errors.As(err, &rejection), errors.Is(err, engine.ErrStopped), errors.Is(err, context.Canceled),
		errors.Is(err, context.DeadlineExceeded):
		return err
	case errors.As(err, &unreadable):
		return &configapi.Rejection{Kind: configapi.RejectUnreadable,
			Message: fmt.Sprintf("%v: publish settings in the form of a node's configuration file", unreadable.Err)}
	}
	return &configapi.Rejection{Kind: configapi.RejectInvalid,
		Message: fmt.Sprintf("%v: correct it and publish again; SIGHUP refuses a file with it too", err)}
}

// checkClasses refuses classes that the servers in service can't carry.
func checkClasses(now, next []balancer.Class, servers []balancer.Server) error {
	in := make([]configversion.Server, len(servers))
	for i, s := range servers {
		in[i] = configversion.Server{Zone: s.Zone, Kind: s.Kind}
	}
	if rejection := configversion.CheckClasses(classesOf(now), classesOf(next), in); rejection != nil {
		return rejection
	}
	return nil
}

func classesOf(classes []balancer.Class) []configversion.Class {
	out := make([]configversion.Class, len(classes))
	for i, c := range classes {
		out[i] = configversion.Class{Name: c.Name, Zones: c.AllowedZones, Kinds: c.AllowedKinds}
	}
	return out
}
