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

// configSession is the node's session for configuration versions, before it starts. The zero value is off.
type configSession struct {
	watch         *settings.ConfigWatch // nil: off
	name          string                // the node's
	seed          uint64
	lastKnownGood configversion.LastKnownGood
	store         *configwatch.Store // nil: nothing is persisted
	log           *slog.Logger
}

// prepareConfigWatch returns the configuration to start with: that of the last known good version, where the node follows
// versions and has persisted one that it can start with; else that of its own file. It waits for no controller, so that a
// node starts while the control service is down.
func prepareConfigWatch(cfg node.Config, log *slog.Logger) (node.Config, configSession, error) {
	watchSettings := cfg.Features.ConfigWatch
	if watchSettings == nil {
		return cfg, configSession{}, nil
	}
	session := configSession{watch: watchSettings, name: cfg.Name, seed: cfg.Seed, log: log}
	if watchSettings.Folder == "" {
		return cfg, session, nil
	}
	session.store = configwatch.NewStore(watchSettings.Folder, cfg.Name, log)
	lastKnownGood, err := session.store.Read()
	if err != nil {
		log.Warn("the node starts with its own configuration file", "err", err)
		return cfg, session, nil
	}
	if lastKnownGood.Config == nil {
		session.lastKnownGood = lastKnownGood
		return cfg, session, nil
	}
	composed, err := cfg.WithOverride(overrideFromConfig(*lastKnownGood.Config))
	if err != nil {
		log.Warn("the node starts with its own configuration file: the last known good version can't be used with it",
			"version", lastKnownGood.Version, "err", err)
		session.lastKnownGood = configversion.LastKnownGood{Cluster: lastKnownGood.Cluster, Former: lastKnownGood.Former, Controllers: lastKnownGood.Controllers}
		return cfg, session, nil
	}
	log.Info("the node starts with its last known good version", "version", lastKnownGood.Version, "cluster", lastKnownGood.Cluster)
	session.lastKnownGood = lastKnownGood
	return composed, session, nil
}

// start begins the session of a node, and returns what ends it.
func (s configSession) start(n *node.Node) (stop func()) {
	if s.watch == nil {
		return func() {}
	}
	session := configwatch.Start(configwatch.Options{
		Node:          s.name,
		Service:       s.watch.Service,
		Region:        s.watch.Region,
		Zone:          s.watch.Zone,
		Controllers:   s.watch.Controllers,
		Seed:          s.seed,
		Started:       time.Now(),
		LastKnownGood: s.lastKnownGood,
		Applier:       nodeApplier{n},
		Store:         s.store,
		Log:           s.log,
	})
	return session.Close
}

// overrideFromConfig is a published configuration as an override of the node's own.
func overrideFromConfig(config configapi.ServiceConfig) node.Override {
	return node.Override{Settings: config.Settings, Discovery: config.Discovery}
}

// nodeApplier brings configurations into force at a node.
type nodeApplier struct{ node *node.Node }

// Apply does what SIGHUP does with a file that has these settings, after checks of the classes against the servers.
func (a nodeApplier) Apply(ctx context.Context, config configapi.ServiceConfig) error {
	return toRejection(a.node.Override(ctx, overrideFromConfig(config), checkClasses))
}

// toRejection turns an error of an override into the rejection that operators see. An error that says nothing of the
// configuration, because the node ends, stays as it is.
func toRejection(err error) error {
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

// checkClasses rejects classes that the servers in service can't serve.
func checkClasses(current, next []balancer.Class, servers []balancer.Server) error {
	placements := make([]configversion.Server, len(servers))
	for i, s := range servers {
		placements[i] = configversion.Server{Zone: s.Zone, Kind: s.Kind}
	}
	if rejection := configversion.CheckClasses(toVersionClasses(current), toVersionClasses(next), placements); rejection != nil {
		return rejection
	}
	return nil
}

// toVersionClasses is the part of classes that configversion judges.
func toVersionClasses(classes []balancer.Class) []configversion.Class {
	out := make([]configversion.Class, len(classes))
	for i, c := range classes {
		out[i] = configversion.Class{Name: c.Name, Zones: c.AllowedZones, Kinds: c.AllowedKinds}
	}
	return out
}
