package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discovery"
)

// Override is what takes the place of a part of the node's configuration file, by a configuration version that was
// published for the node's service.
type Override struct {
	Settings  json.RawMessage // as `settings` in the file
	Discovery string          // HOST:PORT; "": that of the file
}

// UnreadableOverrideError says that an override's settings are not JSON, or not of the form of settings.
type UnreadableOverrideError struct{ Err error }

func (e *UnreadableOverrideError) Error() string { return fmt.Sprintf("settings: %v", e.Err) }

// Unwrap returns what is wrong with the text.
func (e *UnreadableOverrideError) Unwrap() error { return e.Err }

// ownSettings are the settings that say which node of its service this one is: no override changes them.
var ownSettings = []string{"me", "zone"}

// WithOverride is the configuration of c's file with an override in place of its settings and, where the override names one, of
// its address of discovery. The override before, if there is one, has no part in it. The error says why no node can start
// with that.
func (c Config) WithOverride(override Override) (Config, error) {
	text, err := composeConfig(c.text, override)
	if err != nil {
		return Config{}, err
	}
	composed, err := parseConfig(text)
	if err != nil {
		return Config{}, err
	}
	composed.AdminAddress, composed.Features = c.AdminAddress, c.Features
	composed.text, composed.override = c.text, &override
	_, err = composed.validatedSettings()
	return composed, err
}

// Classes are the classes of the settings, with the servers that are open to each.
func (c Config) Classes() []balancer.Class { return c.Settings.Classes }

// BootstrapServers are the servers in service of the list that the configuration names.
func (c Config) BootstrapServers() (servers []balancer.Server) {
	for _, h := range c.BootstrapList.Endpoints {
		if s := discovery.ToServer(h); s.State == balancer.Ready {
			servers = append(servers, s)
		}
	}
	return servers
}

// compose puts an override into the text of a configuration file.
func composeConfig(file []byte, override Override) ([]byte, error) {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(file, &whole); err != nil {
		return nil, err
	}
	settings, err := composeSettings(whole["settings"], override.Settings)
	if err != nil {
		return nil, err
	}
	whole["settings"] = settings
	if override.Discovery != "" {
		if whole["discovery"], err = json.Marshal(override.Discovery); err != nil {
			return nil, err
		}
	}
	return json.Marshal(whole)
}

// composeSettings are the settings of an override with those of the file that are the node's own.
func composeSettings(file, override json.RawMessage) (json.RawMessage, error) {
	var old, settings map[string]json.RawMessage
	if err := json.Unmarshal(file, &old); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(override, &settings); err != nil {
		return nil, &UnreadableOverrideError{err}
	}
	if settings == nil {
		return nil, &UnreadableOverrideError{errors.New("want an object, found null")}
	}
	for _, key := range ownSettings {
		delete(settings, key)
		if value, has := old[key]; has {
			settings[key] = value
		}
	}
	composed, err := json.Marshal(settings)
	if err != nil {
		return nil, &UnreadableOverrideError{err}
	}
	if _, err := parseSettings(composed); err != nil {
		return nil, &UnreadableOverrideError{err}
	}
	return composed, nil
}

// OverrideCheck says why an override is not to come into force: of the classes that there are now, of those that there
// would be, and of the servers in service as the node knows them.
type OverrideCheck func(now, next []balancer.Class, servers []balancer.Server) error

// Override has an override take the place of the one before, whole or not at all, and says why not. What changes, and
// what is refused, is as with Reload; check, unless it is nil, refuses what only those who published can have meant
// otherwise. It waits for the node to run.
func (n *Node) Override(ctx context.Context, override Override, check OverrideCheck) error {
	servers, err := n.engine.Servers(ctx) // the lock is not held while the node may not run yet
	if err != nil {
		return err
	}
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	cfg, err := n.current.WithOverride(override)
	if err != nil {
		return err
	}
	if err := cfg.checkCompatible(n.current); err != nil {
		return err
	}
	if check != nil {
		if err := check(n.current.Classes(), cfg.Classes(), servers); err != nil {
			return err
		}
	}
	return n.applyConfig(cfg)
}
