package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/settings"
	"hookwalk.example/hookwalk/internal/simwire"
)

// Config is what the platform tells a node at its start.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	AdminAddress  string // where operators call; "": nowhere
	Seed          uint64
	Cores         float64
	MemoryMB      int
	Sockets       int
	BootstrapList discoveryapi.List // the servers as this node last had them
	Settings      balancer.Settings
	Features      settings.File // what the project's own settings file switches on

	text                []byte        // the file as it was read, without an override
	override            *Override     // what stands over the file; nil: nothing
	parsedText          any           // the file as it was read, the override in it, for what it has
	tenants             []string      // by name
	connectTimeout      time.Duration // a connection not up by then is given up
	upstreamIdleTimeout time.Duration // a server closes a connection idle for this long
}

// LoadConfig reads the configuration file. The error says in one line what is wrong with it.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("configuration: no file is named (ROUTER_CONFIG is empty)")
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
		c.AdminAddress = os.Getenv("ROUTER_CONTROL")
	}
	return c, nil
}

func parseConfig(text []byte) (Config, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Control   string `json:"control"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    discoveryapi.List `json:"known"`
		Settings json.RawMessage   `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	c := Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, AdminAddress: raw.Control, BootstrapList: raw.Known, text: text,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return Config{}, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	if c.AdminAddress != "" {
		if _, _, err := net.SplitHostPort(c.AdminAddress); err != nil {
			return Config{}, fmt.Errorf("control: %w", err)
		}
	}
	err := json.Unmarshal(text, &c.parsedText)
	if err != nil {
		return Config{}, err
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < 4*reservedDescriptors {
		return Config{}, errors.New("limits: out of range")
	}
	if len(raw.Settings) == 0 {
		return Config{}, errors.New("settings are missing")
	}
	settings, err := parseSettings(raw.Settings)
	if err != nil {
		return Config{}, err
	}
	c.Settings, c.tenants = settings.balancer, settings.tenants
	c.connectTimeout, c.upstreamIdleTimeout = settings.connectTimeout, settings.upstreamIdleTimeout
	if c.connectTimeout <= 0 || c.upstreamIdleTimeout <= 0 {
		return Config{}, errors.New("settings: limits.connect-timeout-ms and limits.conn-idle-ms must be above 0")
	}
	return c, nil
}

// parsedSettings are the module's settings, and those that the module has no use for: they are the node's.
type parsedSettings struct {
	balancer            balancer.Settings
	tenants             []string
	connectTimeout      time.Duration
	upstreamIdleTimeout time.Duration
}

// parseSettings reads settings and says whether they are of the form of settings, not whether they are sound.
func parseSettings(text []byte) (parsedSettings, error) {
	module, err := simwire.ParseSettings(text)
	if err != nil {
		return parsedSettings{}, err
	}
	var own struct {
		Tenants []struct {
			Name string `json:"name"`
		} `json:"tenants"`
		Limits struct {
			ConnectTimeout float64 `json:"connect-timeout-ms"`
			ConnIdle       float64 `json:"conn-idle-ms"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(text, &own); err != nil {
		return parsedSettings{}, fmt.Errorf("settings: %w", err)
	}
	parsed := parsedSettings{balancer: module, connectTimeout: milliseconds(own.Limits.ConnectTimeout), upstreamIdleTimeout: milliseconds(own.Limits.ConnIdle)}
	for _, t := range own.Tenants {
		parsed.tenants = append(parsed.tenants, t.Name)
	}
	return parsed, nil
}

func (c Config) classNames() (names []string) {
	for _, k := range c.Settings.Classes {
		names = append(names, k.Name)
	}
	return names
}

// moduleSettings are the platform's settings with what the features have the module decide.
func (c Config) balancerSettings() (balancer.Settings, error) {
	set := c.Settings
	for _, d := range c.Features.FaultInjections {
		if !slices.ContainsFunc(set.Classes, func(k balancer.Class) bool { return k.Name == d.Class }) {
			return set, fmt.Errorf("%s: drill %s: class %q is not one of the node's classes", d.Pos, d.Name, d.Class)
		}
		set.FaultInjections = append(set.FaultInjections, balancer.FaultInjection{Name: d.Name, Class: d.Class, Percent: d.Percent,
			Delay: d.Delay, AbortStatus: d.AbortStatus, Duration: d.Duration})
	}
	if a := c.Features.AccessList; a != nil {
		set.AccessList = &balancer.AccessList{Allow: a.Allow, Deny: a.Deny, TrustedProxies: a.TrustedProxies}
	}
	return set, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// optional are keys that the platform may leave out of one file and not of the next.
var optionalKeys = map[string]bool{"aim-stretch": true, "by-arrival": true, "bound-to": true, "confined-to": true}

// lacks names what of one JSON text another has not: a key, or a value of the same kind. Of a list of objects, each
// must have the keys that all of the other's have. "": nothing.
func missingKey(old, now any, at string) string {
	switch old := old.(type) {
	case map[string]any:
		have, ok := now.(map[string]any)
		if !ok {
			return at
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			path := strings.TrimPrefix(at+"."+key, ".")
			if path == "known" || path == "settings.family-info" || optionalKeys[key] {
				continue
			}
			if missing := missingKey(old[key], have[key], path); missing != "" {
				return missing
			}
		}
	case []any:
		list, ok := now.([]any)
		if !ok {
			return at
		}
		for i, v := range list {
			if missing := missingKey(commonKeys(old), v, fmt.Sprintf("%s[%d]", at, i)); missing != "" {
				return missing
			}
		}
	case nil:
	default:
		if reflect.TypeOf(old) != reflect.TypeOf(now) {
			return at
		}
	}
	return ""
}

// shared is an object with the keys that all objects of a list have, nil if they are no objects.
func commonKeys(list []any) any {
	var common map[string]any
	for i, v := range list {
		object, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, has := object[key]
			return !has
		})
	}
	if common == nil {
		return nil
	}
	return common
}
