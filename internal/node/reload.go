package node

import (
	"context"
	"fmt"
	"reflect"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/simwire"
)

// Reload applies what of a changed configuration file can change while the node runs: the settings and the address of
// discovery. It applies all of it or nothing, and returns why nothing. Connections, open requests and known servers stay
// as they are. An override that is in force stays in force over the new file.
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

// applyConfig replaces the configuration in force. The caller holds n.reloadMu.
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
	n.log.Info("configuration read again", "discovery", cfg.Discovery, "classes", cfg.classNames())
	return nil
}

// currentSettings are the balancer's settings in force. A reload that waits for the engine does not hold up the caller.
func (n *Node) currentSettings() balancer.Settings { return *n.balancerSettings.Load() }

// validatedSettings are the balancer's settings of the configuration, if the balancer accepts them.
func (c Config) validatedSettings() (balancer.Settings, error) {
	settings, err := c.balancerSettings()
	if err == nil {
		err = simwire.WithObjectKey(settings.Validate()) // operators know the settings by their keys in the file
	}
	if err != nil {
		return settings, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}
