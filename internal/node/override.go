package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discovery"
)

// Override replaces a part of the node's configuration file. It comes from a configuration version that was published
// for the node's service.
type Override struct {
	Settings  json.RawMessage // in the format of `settings` in the file
	Discovery string          // HOST:PORT; "": that of the file
}

// UnreadableOverrideError says that an override's settings are not valid JSON or do not have the format of settings. A
// corrected version has to be published.
type UnreadableOverrideError struct{ Err error }

func (e *UnreadableOverrideError) Error() string { return fmt.Sprintf("settings: %v", e.Err) }

// Unwrap returns the reason why the settings can't be read.
func (e *UnreadableOverrideError) Unwrap() error { return e.Err }

// errNullSettings says that an override's settings are a JSON null.
var errNullSettings = errors.New("expected a JSON object, found null")

// nodeIdentityKeys are the settings that identify the node within its service. No override changes them.
var nodeIdentityKeys = []string{"me", "zone"}

// WithOverride returns the configuration of c's file with its settings replaced by those of an override, and its
// address of discovery too if the override has one. A previous override of c is ignored. The error is an
// UnreadableOverrideError, a ConfigKeyError, or the reason why the balancer does not accept the settings.
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

// Classes returns the request classes of the settings, which include the servers that each class may use.
func (c Config) Classes() []balancer.Class { return c.Settings.Classes }

// BootstrapServers returns the servers on the bootstrap list that are in service.
func (c Config) BootstrapServers() (servers []balancer.Server) {
	for _, endpoint := range c.BootstrapList.Endpoints {
		if server := discovery.ToServer(endpoint); server.State == balancer.Ready {
			servers = append(servers, server)
		}
	}
	return servers
}

// composeConfig returns the content of a configuration file with an override applied.
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

// composeSettings returns the settings of an override, with the values of nodeIdentityKeys taken from the file.
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

// OverrideCheck returns an error if an override must not be applied. Its arguments are the current classes, the classes
// of the override, and the servers that the node knows to be in service.
type OverrideCheck func(current, next []balancer.Class, servers []balancer.Server) error

// Override applies an override and replaces the previous one. If it returns an error, nothing has changed. It can
// change the same parts as Reload, and rejects the same configurations. check (nil: none) rejects a valid override that
// is most likely a mistake. Override waits until the node runs; if ctx ends first, it returns the context's error, and
// if the node has stopped, engine.ErrStopped.
func (n *Node) Override(ctx context.Context, override Override, check OverrideCheck) error {
	servers, err := n.engine.Servers(ctx) // before locking, because this waits until the node runs
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
