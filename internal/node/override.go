package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discovery"
)

// Override replaces a part of the node's configuration file. It is from a configuration version that was published for the
// node's service.
type Override struct {
	Settings  json.RawMessage // as `settings` in the file
	Discovery string          // HOST:PORT; "": that of the file
}

// UnreadableOverrideError says that an override's settings are not JSON, or not of the form of settings. Whoever published
// them has to publish others.
type UnreadableOverrideError struct{ Err error }

func (e *UnreadableOverrideError) Error() string { return fmt.Sprintf("settings: %v", e.Err) }

// Unwrap returns what is wrong with the text.
func (e *UnreadableOverrideError) Unwrap() error { return e.Err }

// errNullSettings says that an override's settings are JSON's null.
var errNullSettings = errors.New("want an object, found null")

// nodeIdentityKeys are the settings that say which node of its service this one is: no override changes them.
var nodeIdentityKeys = []string{"me", "zone"}

// WithOverride returns the configuration of c's file with an override in place of its settings and, if the override names
// one, of its address of discovery. A previous override has no part in it. The error says why no node can start with that:
// an UnreadableOverrideError, a ConfigKeyError or that of the balancer's settings.
func (c Config) WithOverride(override Override) (Config, error) {
	text, err := composeConfig(c.fileText, override)
	if err != nil {
		return Config{}, err
	}
	composed, err := parseConfig(text)
	if err != nil {
		return Config{}, err
	}
	composed.AdminAddress, composed.Features = c.AdminAddress, c.Features
	composed.fileText, composed.override = c.fileText, &override
	_, err = composed.validatedSettings()
	return composed, err
}

// Classes are the request classes of the settings, with the servers that are open to each.
func (c Config) Classes() []balancer.Class { return c.Settings.Classes }

// BootstrapServers are the servers in service on the bootstrap list.
func (c Config) BootstrapServers() (servers []balancer.Server) {
	for _, endpoint := range c.BootstrapList.Endpoints {
		if server := discovery.ToServer(endpoint); server.State == balancer.Ready {
			servers = append(servers, server)
		}
	}
	return servers
}

// composeConfig returns the text of a configuration file with an override in it.
func composeConfig(file []byte, override Override) ([]byte, error) {
	var document map[string]json.RawMessage
	if err := json.Unmarshal(file, &document); err != nil {
		return nil, err
	}
	settings, err := composeSettings(document["settings"], override.Settings)
	if err != nil {
		return nil, err
	}
	document["settings"] = settings
	if override.Discovery != "" {
		if document["discovery"], err = json.Marshal(override.Discovery); err != nil {
			return nil, err
		}
	}
	return json.Marshal(document)
}

// composeSettings are the settings of an override, with the node's own ones from the file.
func composeSettings(file, override json.RawMessage) (json.RawMessage, error) {
	var fileSettings, settings map[string]json.RawMessage
	if err := json.Unmarshal(file, &fileSettings); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(override, &settings); err != nil {
		return nil, &UnreadableOverrideError{err}
	}
	if settings == nil {
		return nil, &UnreadableOverrideError{errNullSettings}
	}
	for _, key := range nodeIdentityKeys {
		delete(settings, key)
		if value, has := fileSettings[key]; has {
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

// OverrideCheck returns why an override is not to come into force. It gets the classes in force, those of the override, and
// the servers in service as the node knows them.
type OverrideCheck func(current, next []balancer.Class, servers []balancer.Server) error

// Override puts an override into force in place of the previous one, all of it or nothing, and returns why nothing. What can
// change, and what is rejected, is as with Reload. check (nil: none) rejects what is valid but can't have been meant by
// those who published it. Override waits until the node runs; it returns the context's error, or engine.ErrStopped.
func (n *Node) Override(ctx context.Context, override Override, check OverrideCheck) error {
	servers, err := n.engine.Servers(ctx) // before the lock is held: the node may not run yet
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
