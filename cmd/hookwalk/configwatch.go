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

// configSession holds what is needed to start a node's configuration version session. With the zero value, none is started.
type configSession struct {
	watch         *settings.ConfigWatch // nil: the feature is off
	name          string                // of the node
	seed          uint64
	lastKnownGood configversion.LastKnownGood
	store         *configwatch.Store // nil: nothing is persisted
	log           *slog.Logger
}

// prepareConfigWatch returns the configuration to start with. If the node follows configuration versions and has persisted
// a usable last known good version, this is that version; otherwise it is the node's own file. It does not wait for a
// controller, so that a node can start while the control service is down.
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
		session.lastKnownGood = configversion.LastKnownGood{Cluster: lastKnownGood.Cluster, FormerClusters: lastKnownGood.FormerClusters, Controllers: lastKnownGood.Controllers}
		return cfg, session, nil
	}
	log.Info("the node starts with its last known good version", "version", lastKnownGood.Version, "cluster", lastKnownGood.Cluster)
	session.lastKnownGood = lastKnownGood
	return composed, session, nil
}

// start starts the session of a node. stop ends it.
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

// overrideFromConfig converts a published configuration to an override of the node's own configuration.
func overrideFromConfig(config configapi.ServiceConfig) node.Override {
	return node.Override{Settings: config.Settings, Discovery: config.Discovery}
}

// nodeApplier applies published configurations to a node.
type nodeApplier struct{ node *node.Node }

// Apply has the effect of SIGHUP with a file that contains these settings. It first checks the classes against the servers
// in service.
func (a nodeApplier) Apply(ctx context.Context, config configapi.ServiceConfig) error {
	return toRejection(a.node.Override(ctx, overrideFromConfig(config), checkClasses))
}

// toRejection converts an error from Node.Override to the rejection that operators see. Errors that are not about the
// configuration, such as those of a node that is stopping, are returned unchanged.
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

// checkClasses returns a rejection if the servers in service can't serve the next classes.
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

// toVersionClasses converts classes to the fields that configversion checks.
func toVersionClasses(classes []balancer.Class) []configversion.Class {
	out := make([]configversion.Class, len(classes))
	for i, c := range classes {
		out[i] = configversion.Class{Name: c.Name, Zones: c.AllowedZones, Kinds: c.AllowedKinds}
	}
	return out
}
