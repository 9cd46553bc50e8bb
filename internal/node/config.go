package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/settings"
	"hookwalk.example/hookwalk/internal/simwire"
)

// Config is the configuration that the platform gives a node at its start.
type Config struct {
	Name          string
	Listen        string            // HOST:PORT that clients connect to
	Discovery     string            // HOST:PORT of discovery
	AdminAddress  string            // HOST:PORT of the admin API; "": none
	Seed          uint64            // for the balancer's random choices
	Cores         float64           // CPU limit; 0: none is set
	MemoryMB      int               // memory limit; 0: none is set
	Sockets       int               // limit on file descriptors; 0: none is set
	BootstrapList discoveryapi.List // the servers as this node last knew them
	Settings      balancer.Settings
	Features      settings.File // optional features, from the settings file

	fileText            []byte    // the file's content, without the override
	override            *Override // replaces parts of the file; nil: none
	parsedJSON          any       // the file with the override, parsed as generic JSON; for checkCompatible
	tenantNames         []string
	connectTimeout      time.Duration // limit on establishing a connection to a server
	upstreamIdleTimeout time.Duration // servers close connections that are idle for this long
}

// Names of the environment variables that a node reads.
const (
	configPathVariable   = "ROUTER_CONFIG"  // path of the configuration file
	adminAddressVariable = "ROUTER_CONTROL" // HOST:PORT of the admin API, if the file has none
)

// ConfigKeyError says that the value of a configuration key is invalid.
type ConfigKeyError struct {
	Key string
	Err error
}

func (e *ConfigKeyError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns the reason why the value is invalid.
func (e *ConfigKeyError) Unwrap() error { return e.Err }

// Reasons why a configuration is invalid.
var (
	errNoConfigPath    = errors.New("configuration: the environment variable " + configPathVariable + " is empty: set it to the path of the file")
	errInvalidLimits   = fmt.Errorf("cores, memory_mb and sockets must not be negative, and sockets must be 0 or at least %d", minDescriptorLimit)
	errNoSettings      = errors.New("settings are missing")
	errUpstreamTimeout = errors.New("settings: limits.connect-timeout-ms and limits.conn-idle-ms must be above 0")
)

// configDocument is the format of the configuration file that the platform writes. parseConfig converts it to a Config.
type configDocument struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    discoveryapi.List `json:"known"`
	Settings json.RawMessage   `json:"settings"`
}

// LoadConfig reads the configuration file. The error's text is a single line.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errNoConfigPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.AdminAddress == "" {
		c.AdminAddress = os.Getenv(adminAddressVariable)
	}
	return c, nil
}

// parseConfig parses and checks the content of a configuration file.
func parseConfig(text []byte) (Config, error) {
	var document configDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return Config{}, err
	}
	c := Config{Name: document.Name, Listen: document.Listen, Discovery: document.Discovery, AdminAddress: document.Control,
		BootstrapList: document.Known, fileText: text,
		Cores: document.Limits.Cores, MemoryMB: document.Limits.MemoryMB, Sockets: document.Limits.Sockets}
	if err := c.checkAddresses(); err != nil {
		return Config{}, err
	}
	err := json.Unmarshal(text, &c.parsedJSON)
	if err != nil {
		return Config{}, err
	}
	if c.Seed, err = strconv.ParseUint(document.Seed, 16, 64); err != nil {
		return Config{}, &ConfigKeyError{"seed", err}
	}
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minDescriptorLimit {
		return Config{}, &ConfigKeyError{"limits", errInvalidLimits}
	}
	if len(document.Settings) == 0 {
		return Config{}, errNoSettings
	}
	parsed, err := parseSettings(document.Settings)
	if err != nil {
		return Config{}, err
	}
	c.Settings, c.tenantNames = parsed.balancer, parsed.tenantNames
	c.connectTimeout, c.upstreamIdleTimeout = parsed.connectTimeout, parsed.upstreamIdleTimeout
	if c.connectTimeout <= 0 || c.upstreamIdleTimeout <= 0 {
		return Config{}, errUpstreamTimeout
	}
	return c, nil
}

// checkAddresses checks that each address has the form HOST:PORT.
func (c Config) checkAddresses() error {
	addresses := []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}}
	if c.AdminAddress != "" {
		addresses = append(addresses, struct{ key, value string }{"control", c.AdminAddress})
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return &ConfigKeyError{address.key, err}
		}
	}
	return nil
}

// parsedSettings holds the balancer's settings and the settings that the node itself uses.
type parsedSettings struct {
	balancer            balancer.Settings
	tenantNames         []string
	connectTimeout      time.Duration
	upstreamIdleTimeout time.Duration
}

// nodeSettings is the format of the settings that the node itself uses.
type nodeSettings struct {
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	Limits struct {
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		ConnIdle       float64 `json:"conn-idle-ms"`
	} `json:"limits"`
}

// parseSettings parses settings. It checks only their format, not whether the balancer accepts their values.
func parseSettings(text []byte) (parsedSettings, error) {
	balancerSettings, err := simwire.ParseSettings(text)
	if err != nil {
		return parsedSettings{}, err
	}
	var forNode nodeSettings
	if err := json.Unmarshal(text, &forNode); err != nil {
		return parsedSettings{}, fmt.Errorf("settings: %w", err)
	}
	parsed := parsedSettings{balancer: balancerSettings,
		connectTimeout: milliseconds(forNode.Limits.ConnectTimeout), upstreamIdleTimeout: milliseconds(forNode.Limits.ConnIdle)}
	for _, tenant := range forNode.Tenants {
		parsed.tenantNames = append(parsed.tenantNames, tenant.Name)
	}
	return parsed, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (c Config) classNames() (names []string) {
	for _, class := range c.Settings.Classes {
		names = append(names, class.Name)
	}
	return names
}

// balancerSettings returns the platform's settings, with the optional features that the balancer implements added.
func (c Config) balancerSettings() (balancer.Settings, error) {
	settings := c.Settings
	for _, fault := range c.Features.FaultInjections {
		if !slices.Contains(c.classNames(), fault.Class) {
			return settings, fmt.Errorf("%s: drill %s: class %q is not one of the node's classes", fault.Pos, fault.Name, fault.Class)
		}
		settings.FaultInjections = append(settings.FaultInjections, balancer.FaultInjection{Name: fault.Name, Class: fault.Class,
			Percent: fault.Percent, Delay: fault.Delay, AbortStatus: fault.AbortStatus, Duration: fault.Duration})
	}
	if a := c.Features.AccessList; a != nil {
		settings.AccessList = &balancer.AccessList{Allow: a.Allow, Deny: a.Deny, TrustedProxies: a.TrustedProxies}
	}
	return settings, nil
}
