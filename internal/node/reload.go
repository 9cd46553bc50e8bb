package node

import (
	"context"
	"fmt"
	"reflect"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/simwire"
)

// Reload applies those parts of a changed configuration file that can change while the node runs: the settings and the
// address of discovery. If it returns an error, nothing has changed. Connections, open requests and known servers are
// not affected. A current override remains in force and is applied to the new file.
func (n *Node) Reload(cfg Config) error {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	cfg.Features = n.cfg.Features
	if override := n.current.override; override != nil {
		file, err := parseConfig(n.current.fileText)
		if err != nil {
			return err
		}
		if err := cfg.checkCompatible(file); err != nil {
			return err
		}
		if cfg, err = cfg.WithOverride(*override); err != nil {
			return err
		}
	}
	return n.applyConfig(cfg)
}

// applyConfig replaces the current configuration. The caller holds n.reloadMu.
func (n *Node) applyConfig(cfg Config) error {
	if err := cfg.checkCompatible(n.current); err != nil {
		return err
	}
	settings, err := cfg.validatedSettings()
	if err != nil {
		return err
	}
	if settings.AccessList = n.accessList; !reflect.DeepEqual(settings, n.currentSettings()) {
		if err := n.engine.ChangeSettings(context.Background(), settings); err != nil {
			return err
		}
		n.classes.Store(newClassTable(settings, n.classes.Load(), n.clock.Now()))
		n.engine.Metrics.AddNames(cfg.classNames(), cfg.tenantNames)
		n.balancerSettings.Store(&settings)
	}
	n.pool.applyConfig(cfg)
	n.discovery.SetAddress(cfg.Discovery)
	n.current = cfg
	n.log.Info("configuration reloaded", "discovery", cfg.Discovery, "classes", cfg.classNames())
	return nil
}

// currentSettings returns the balancer's current settings. It does not block while a reload waits for the engine.
func (n *Node) currentSettings() balancer.Settings { return *n.balancerSettings.Load() }

// validatedSettings returns the configuration's settings for the balancer, or why the balancer does not accept them.
func (c Config) validatedSettings() (balancer.Settings, error) {
	settings, err := c.balancerSettings()
	if err == nil {
		err = simwire.WithObjectKey(settings.Validate()) // the error names the settings by their keys in the file
	}
	if err != nil {
		return settings, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}
