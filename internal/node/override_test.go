package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// changedSettings are the settings of a configuration's file, with some of their text replaced.
func changedSettings(t *testing.T, c Config, change ...string) json.RawMessage {
	t.Helper()
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal([]byte(configText(t, c, change...)), &file); err != nil {
		t.Fatal(err)
	}
	return file.Settings
}

// configWithDiscovery is a configuration whose file names a discovery that answers.
func configWithDiscovery(t *testing.T, backends ...*backend) Config {
	t.Helper()
	return changedConfig(t, configWith(t, backends...), `127.0.0.1:1"`, silentDiscovery(t)+`"`)
}

// statusOfRequest sends a request and returns the status of its response.
func statusOfRequest(t *testing.T, n *testNode, class, id string) int {
	t.Helper()
	s, _, _ := sendRequest(t, newRequest(t, n.url, class, id, "x"))
	return s
}

// An override holds for the requests that come after it, a later one replaces it, and the node's own settings stay.
func TestOverride(t *testing.T) {
	cfg := configWithDiscovery(t, newBackend(t, respondOK))
	n := start(t, cfg)
	first := Override{Settings: changedSettings(t, cfg, `"name":"unsafe"`, `"name":"fresh"`, `"zone":"z"`, `"zone":"elsewhere"`, `"me":0`, `"me":7`)}
	if err := n.Override(t.Context(), first, nil); err != nil {
		t.Fatal(err)
	}
	if got := statusOfRequest(t, n, "fresh", "1"); got != http.StatusOK {
		t.Errorf("a new class is answered %d", got)
	}
	if set := n.currentSettings(); set.Zone != "z" || set.ReplicaIndex != 0 {
		t.Errorf("it is number %d of zone %q now", set.ReplicaIndex, set.Zone)
	}
	moved := silentDiscovery(t)
	second := Override{Settings: changedSettings(t, cfg, `"name":"unsafe"`, `"name":"later"`), Discovery: moved}
	if err := n.Override(t.Context(), second, nil); err != nil {
		t.Fatal(err)
	}
	if got := statusOfRequest(t, n, "later", "2"); got != http.StatusOK || n.discovery.Addr() != moved {
		t.Errorf("the next one: answered %d, discovery %s", got, n.discovery.Addr())
	}
	if err := n.Override(t.Context(), first, nil); err != nil {
		t.Fatal(err)
	}
	if n.discovery.Addr() != cfg.Discovery {
		t.Errorf("without an address discovery is %s, want the file's %s", n.discovery.Addr(), cfg.Discovery)
	}
}

// An override that is rejected changes nothing, and the error says of what kind it is.
func TestOverrideRejected(t *testing.T) {
	cfg := configWithDiscovery(t, newBackend(t, respondOK))
	n := start(t, cfg)
	stays := errors.New("not this one")
	for name, c := range map[string]struct {
		override   Override
		check      OverrideCheck
		unreadable bool
		says       string
	}{
		"no JSON":         {override: Override{Settings: []byte(`{"lanes":`)}, unreadable: true},
		"nothing":         {override: Override{}, unreadable: true},
		"null":            {override: Override{Settings: []byte(`null`)}, unreadable: true},
		"a list":          {override: Override{Settings: []byte(`[]`)}, unreadable: true},
		"another form":    {override: Override{Settings: []byte(`{"lanes":{}}`)}, unreadable: true},
		"no classes":      {override: Override{Settings: changedSettings(t, cfg, `"lanes":`, `"lines":`)}, says: "Classes is empty"},
		"a key out":       {override: Override{Settings: changedSettings(t, cfg, `"blend":`, `"bland":`)}, says: "settings.blend"},
		"no deadline":     {override: Override{Settings: changedSettings(t, cfg, `"deadline-ms":60000`, `"deadline-ms":0`)}, says: "Deadline"},
		"no address":      {override: Override{Settings: changedSettings(t, cfg), Discovery: "nowhere"}, says: "discovery"},
		"the check's own": {override: Override{Settings: changedSettings(t, cfg)}, check: func(_, _ []balancer.Class, _ []balancer.Server) error { return stays }, says: stays.Error()},
	} {
		c.override.Discovery = cmp.Or(c.override.Discovery, "127.0.0.1:9")
		err := n.Override(t.Context(), c.override, c.check)
		if err == nil || errors.As(err, new(*UnreadableOverrideError)) != c.unreadable || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: said %v", name, err)
		}
		if n.discovery.Addr() != cfg.Discovery || n.classes.Load().settingsVersion != 0 || n.current.override != nil {
			t.Fatalf("%s: something of it was applied", name)
		}
	}
}

// The check sees the classes before and after, and the servers in service.
func TestOverrideCheckSeesClassesAndServers(t *testing.T) {
	cfg := configWithDiscovery(t, newBackend(t, respondOK), newBackend(t, respondOK))
	n := start(t, cfg)
	override := Override{Settings: changedSettings(t, cfg, `"name":"unsafe"`, `"name":"fresh","bound-to":["k"]`)}
	seen := ""
	err := n.Override(t.Context(), override, func(now, next []balancer.Class, servers []balancer.Server) error {
		seen = fmt.Sprintf("%s, %s of %v, %d servers, the first in %s", now[1].Name, next[1].Name, next[1].AllowedKinds, len(servers), servers[0].Zone)
		return nil
	})
	if err != nil || seen != "unsafe, fresh of [k], 2 servers, the first in z" {
		t.Errorf("it saw %q, %v", seen, err)
	}
}

// SIGHUP reads the file again under an override: what the override says stays, the rest is the file's, and a file that
// is not complete changes nothing.
func TestReloadWithOverride(t *testing.T) {
	cfg := configWithDiscovery(t, newBackend(t, respondOK))
	n := start(t, cfg)
	override := Override{Settings: changedSettings(t, cfg, `"name":"unsafe"`, `"name":"fresh"`)}
	if err := n.Override(t.Context(), override, nil); err != nil {
		t.Fatal(err)
	}
	if err := n.Reload(changedConfig(t, cfg, `"blend":`, `"bland":`)); err == nil {
		t.Error("a file that lacks a key was taken, under the override's settings")
	}
	moved := silentDiscovery(t)
	file := changedConfig(t, cfg, `"name":"unsafe"`, `"name":"filed"`, `"lanes":`, `"added":1,"lanes":`, cfg.Discovery, moved)
	if err := n.Reload(file); err != nil {
		t.Fatal(err)
	}
	if got := statusOfRequest(t, n, "fresh", "1"); got != http.StatusOK || n.discovery.Addr() != moved {
		t.Errorf("the override's class is answered %d, discovery is %s", got, n.discovery.Addr())
	}
	if got := statusOfRequest(t, n, "filed", "2"); got != http.StatusBadRequest {
		t.Errorf("the file's class is answered %d", got)
	}
}

// A node can start with an override, whatever the file has come to have since, and keeps it at SIGHUP.
func TestStartWithOverride(t *testing.T) {
	cfg := configWithDiscovery(t, newBackend(t, respondOK))
	override := Override{Settings: changedSettings(t, cfg, `"name":"unsafe"`, `"name":"fresh"`)}
	with, err := changedConfig(t, cfg, `"lanes":`, `"added":1,"lanes":`).WithOverride(override)
	if err != nil {
		t.Fatal(err)
	}
	n := start(t, with)
	if got := statusOfRequest(t, n, "fresh", "1"); got != http.StatusOK {
		t.Errorf("its class is answered %d", got)
	}
	if err := n.Reload(cfg); err == nil {
		t.Error("a file that lacks what the one before had was taken")
	}
	if err := n.Reload(changedConfig(t, cfg, `"lanes":`, `"added":2,"lanes":`)); err != nil {
		t.Error(err)
	}
	if got := statusOfRequest(t, n, "fresh", "2"); got != http.StatusOK {
		t.Errorf("after SIGHUP its class is answered %d", got)
	}
	if _, err := cfg.WithOverride(Override{Settings: []byte(`{}`)}); err == nil {
		t.Error("settings that no node can have were taken")
	}
	if got := len(cfg.BootstrapServers()); got != 1 {
		t.Errorf("%d known servers", got)
	}
}

// Before the node runs an override waits, as long as its caller does; after its end it is refused.
func TestOverrideOfStoppedNode(t *testing.T) {
	cfg := testConfig(t, "pushed")
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	override := Override{Settings: changedSettings(t, cfg)}
	if err := n.Override(ctx, override, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("not yet: %v", err)
	}
	n.engine.Stop()
	if err := n.Override(t.Context(), override, nil); !errors.Is(err, engine.ErrStopped) {
		t.Errorf("not any more: %v", err)
	}
}
