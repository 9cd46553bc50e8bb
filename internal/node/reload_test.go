package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// changedConfig is a configuration that a platform could write, with some of its text replaced.
func changedConfig(t *testing.T, c Config, change ...string) Config {
	t.Helper()
	got, err := parseConfig([]byte(configText(t, c, change...)))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// configText is the text of a configuration with pairs of strings replaced: each first by the second.
func configText(t *testing.T, c Config, change ...string) string {
	t.Helper()
	text, err := json.Marshal(c.parsedJSON)
	if err != nil {
		t.Fatal(err)
	}
	s := string(text)
	for i := 0; i < len(change); i += 2 {
		if !strings.Contains(s, change[i]) {
			t.Fatalf("no %s in %s", change[i], s)
		}
		s = strings.Replace(s, change[i], change[i+1], 1)
	}
	return s
}

// New settings hold for the requests that come after them. A file that is not sound changes nothing: not even discovery's
// address, which is sound.
func TestReload(t *testing.T) {
	b := newBackend(t, respondOK)
	cfg := configWith(t, b)
	n := start(t, cfg)
	moved := silentDiscovery(t)
	for name, change := range map[string][]string{
		"no attempts":             {`"max-attempts":6`, `"max-attempts":0`},
		"attempts below 0":        {`"max-attempts":6`, `"max-attempts":-1`},
		"no deadline":             {`"deadline-ms":60000`, `"deadline-ms":0`},
		"deadline of a class out": {`"deadline-ms":60000,`, ``},
		"no classes":              {`"lanes":`, `"lines":`},
		"key out that none reads": {`"blend":`, `"bland":`},
		"attempts out":            {`"max-attempts":6,`, ``},
		"another kind of value":   {`"rules":{`, `"rules":7,"other":{`},
		"a name out":              {`"name":"n0",`, ``},
	} {
		c, err := parseConfig([]byte(configText(t, cfg, append(change, "127.0.0.1:1\"", moved+`"`)...)))
		if err == nil {
			err = n.Reload(c)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: said %v", name, err)
		}
		if n.discovery.Addr() != cfg.Discovery || n.classes.Load().settingsVersion != 0 {
			t.Fatalf("%s: something of it was taken over", name)
		}
	}
	sendAndGetStatus := func(class, id string) int {
		s, _, _ := sendRequest(t, newRequest(t, n.url, class, id, "x"))
		return s
	}
	if err := n.Reload(changedConfig(t, cfg, `"name":"unsafe"`, `"name":"fresh"`, "127.0.0.1:1\"", moved+`"`)); err != nil {
		t.Fatal(err)
	}
	if n.discovery.Addr() != moved {
		t.Error("discovery's address was not taken over")
	}
	if a, b := sendAndGetStatus("fresh", "1"), sendAndGetStatus("unsafe", "2"); a != http.StatusOK || b != http.StatusOK {
		t.Errorf("a new class is answered %d, one dropped just now %d", a, b)
	}
	expired := *n.classes.Load()
	expired.previousUntil = 0
	n.classes.Store(&expired)
	if got := sendAndGetStatus("unsafe", "3"); got != http.StatusBadRequest {
		t.Errorf("a class dropped long ago is answered %d", got)
	}
}

// A file may be read while the platform writes it. One that is cut at any byte is rejected, and so is one that lacks any
// one key.
func TestTruncatedFilesAreRejected(t *testing.T) {
	cfg := testConfig(t, "pushed", inService("s-1", "127.0.0.1:1"))
	text := configText(t, cfg)
	check := func(s string) error {
		c, err := parseConfig([]byte(s))
		if err == nil {
			err = c.checkCompatible(cfg)
		}
		return err
	}
	if err := check(text); err != nil {
		t.Fatal(err)
	}
	for i := range text {
		if check(text[:i]) == nil {
			t.Fatalf("cut at byte %d it was taken", i)
		}
	}
	var checkWithoutEachKey func(v any, path string)
	checkWithoutEachKey = func(v any, path string) {
		switch v := v.(type) {
		case map[string]any:
			for key, was := range v {
				if path+key == "known" {
					continue
				}
				delete(v, key)
				short, _ := json.Marshal(cfg.parsedJSON)
				v[key] = was
				if check(string(short)) == nil {
					t.Errorf("without %s%s it was taken", path, key)
				}
				checkWithoutEachKey(was, path+key+".")
			}
		case []any:
			for _, e := range v {
				checkWithoutEachKey(e, path)
			}
		}
	}
	checkWithoutEachKey(cfg.parsedJSON, "")
}

// Whatever the text, a configuration that may replace another one has a limit of attempts.
func FuzzReload(f *testing.F) {
	f.Add(`{"settings":{"lanes":[{}]}}`)
	cfg, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	 "seed":"8c1f","limits":{},"known":{},"settings":%s}`, fmt.Sprintf(platformSettings, "pushed")))
	if err != nil {
		f.Fatal(err)
	}
	whole, _ := json.Marshal(cfg.parsedJSON)
	f.Add(string(whole))
	f.Fuzz(func(t *testing.T, text string) {
		c, err := parseConfig([]byte(text))
		if err != nil || c.checkCompatible(cfg) != nil {
			return
		}
		if set, err := c.balancerSettings(); err == nil && set.Validate() == nil && set.MaxAttempts <= 0 {
			t.Error("no attempts")
		}
	})
}

// SIGHUP may come while the node is about to serve. The reload waits for the engine, and the node must not wait for the
// reload: with the capture on both once hung for good. The settings are applied once the engine runs.
func TestReloadBeforeServing(t *testing.T) {
	cfg := configWith(t, newBackend(t, respondOK))
	cfg.Features.Capture = &settings.Capture{FileBytes: 64 << 10}
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	reloaded := make(chan error, 1)
	go func() { reloaded <- n.Reload(changedConfig(t, cfg, `"name":"unsafe"`, `"name":"fresh"`)) }()
	for n.reloadMu.TryLock() { // until the reload has begun
		n.reloadMu.Unlock()
	}
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan error, 1)
	go func() { ran <- n.Run(ctx) }()
	select {
	case err := <-reloaded:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the node hangs at its start")
	}
	stop()
	if err := <-ran; err != nil {
		t.Error(err)
	}
}
