package node

import (
	"errors"
	"strings"
	"testing"
)

// The error for an invalid configuration names the key that is wrong, so that an operator can correct it.
func TestConfigErrorsNameTheirKey(t *testing.T) {
	cfg := testConfig(t, "pushed")
	for name, tc := range map[string]struct {
		change []string
		key    string
	}{
		"listen address without a port": {[]string{`"listen":"127.0.0.1:0"`, `"listen":"127.0.0.1"`}, "listen"},
		"empty discovery address":       {[]string{`"discovery":"127.0.0.1:1"`, `"discovery":""`}, "discovery"},
		"admin address without a port":  {[]string{`"name":"n0"`, `"name":"n0","control":"127.0.0.1"`}, "control"},
		"seed is not a number":          {[]string{`"seed":"8c1f30d27a5be964"`, `"seed":"seed"`}, "seed"},
		"too few descriptors":           {[]string{`"sockets":1024`, `"sockets":127`}, "limits"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseConfig([]byte(configText(t, cfg, tc.change...)))
			var keyError *ConfigKeyError
			if !errors.As(err, &keyError) || keyError.Key != tc.key || !strings.HasPrefix(err.Error(), tc.key+": ") {
				t.Errorf("got %v, want a ConfigKeyError for the key %s", err, tc.key)
			}
		})
	}
}

// A changed file that lacks a key is rejected while the node runs, and the error gives the path of the missing key.
func TestIncompatibleConfigNamesItsKey(t *testing.T) {
	cfg := testConfig(t, "pushed")
	for key, change := range map[string][]string{
		"name":                          {`"name":"n0",`, ``},
		"settings.blend":                {`"blend":`, `"bland":`},
		"settings.callers":              {`"callers":`, `"called":`},
		"settings.lanes[0].deadline-ms": {`"deadline-ms":60000,`, ``},
	} {
		var incompatible *IncompatibleConfigError
		err := changedConfig(t, cfg, change...).checkCompatible(cfg)
		if !errors.As(err, &incompatible) || incompatible.Key != key {
			t.Errorf("got %v, want an IncompatibleConfigError for %s", err, key)
		}
	}
}
