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

// Config is what the platform tells a node at its start.
type Config struct {
	Name          string
	Listen        string // HOST:PORT for clients
	Discovery     string // HOST:PORT of discovery
	AdminAddress  string // HOST:PORT for operators; "": they can't call
	Seed          uint64 // of the balancer's random choices
	Cores         float64
	MemoryMB      int               // 0: no limit is set
	Sockets       int               // descriptors; 0: no limit is set
	BootstrapList discoveryapi.List // the servers as this node last had them
	Settings      balancer.Settings
	Features      settings.File // what the project's own settings file switches on

	fileText            []byte        // the file as it was read, without an override
	override            *Override     // in force over the file; nil: none
	parsedJSON          any           // the file as JSON, with the override, for checkCompatible
	tenantNames         []string      // by name
	connectTimeout      time.Duration // a connection to a server that is not up by then is given up
	upstreamIdleTimeout time.Duration // a server closes a connection that is idle for this long
}

// Names of the environment variables that a node reads.
const (
	configPathVariable   = "ROUTER_CONFIG"  // path of the configuration file
	adminAddressVariable = "ROUTER_CONTROL" // HOST:PORT for operators, if the file has none
)

// ConfigKeyError says which key of a configuration has a value that no node can start with.
type ConfigKeyError struct {
	Key string
	Err error
}

func (e *ConfigKeyError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the value.
func (e *ConfigKeyError) Unwrap() error { return e.Err }

// What can be wrong with a configuration as a whole.
var (
	errNoConfigPath    = errors.New("configuration: no file is named (" + configPathVariable + " is empty)")
	errOutOfRange      = errors.New("out of range")
	errNoSettings      = errors.New("settings are missing")
	errUpstreamTimeout = errors.New("settings: limits.connect-timeout-ms and limits.conn-idle-ms must be above 0")
)

// configDocument is the configuration file as the platform writes it. Its names are mapped to Config here and nowhere else.
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

// LoadConfig reads the configuration file. The error says in one line what is wrong with it.
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
		return Config{}, &ConfigKeyError{"limits", errOutOfRange}
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

// checkAddresses checks the form of the addresses.
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

// parsedSettings are the balancer's settings, and those that are the node's own.
type parsedSettings struct {
	balancer            balancer.Settings
	tenantNames         []string
	connectTimeout      time.Duration
	upstreamIdleTimeout time.Duration
}

// nodeSettings are the settings that the balancer has no use for, as the platform writes them.
type nodeSettings struct {
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	Limits struct {
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		ConnIdle       float64 `json:"conn-idle-ms"`
	} `json:"limits"`
}

// parseSettings reads settings. It checks their form only, not whether the balancer accepts their values.
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

// balancerSettings are the platform's settings with the features that the balancer decides on.
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
