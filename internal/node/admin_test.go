package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/settings"
)

// An operator disables a server before its restart: it must get nothing more, on idle connections neither, until it is
// enabled again. With all servers disabled requests are rejected at once.
func TestDisabledServerGetsNothing(t *testing.T) {
	a, b := newBackend(t, respondOK), newBackend(t, respondOK)
	n := startWith(t, a, b)
	ask := func(id string) int {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", id, "x"))
		return status
	}
	for i := 0; a.requests() == 0 || b.requests() == 0; i++ {
		ask(fmt.Sprint("warm", i))
	}
	o := adminService{n.Node}
	if err := o.SetServerDisabled(t.Context(), "nobody", true); !errors.Is(err, balancer.ErrUnknownServer) {
		t.Errorf("an unknown server: %v", err)
	}
	for range 2 {
		if err := o.SetServerDisabled(t.Context(), "s-0", true); err != nil {
			t.Fatal(err)
		}
	}
	had := a.requests()
	for i := range 30 {
		if ask(fmt.Sprint("out", i)) != http.StatusOK {
			t.Fatal("not served")
		}
	}
	if a.requests() != had {
		t.Error("a disabled server got a request")
	}
	if err := o.SetServerDisabled(t.Context(), "s-1", true); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if got := ask("none"); got != http.StatusServiceUnavailable || time.Since(begin) > 5*time.Second {
		t.Errorf("with all out: %d after %v", got, time.Since(begin))
	}
	if o.CheckReady() != nil {
		t.Error("a process is not ready though all servers are disabled by an operator, not missing")
	}
	for _, id := range []string{"s-0", "s-1"} {
		if err := o.SetServerDisabled(t.Context(), id, false); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "it is used again", func() bool { ask(time.Now().String()); return a.requests() > had })
}

// Out of service, responses end their connections and idle connections are closed; the second call undoes all of it, twice
// in a row, and no listener closes.
func TestOutOfServiceAndBack(t *testing.T) {
	n := startWith(t, newBackend(t, respondOK))
	o := adminService{n.Node}
	for round := range 2 {
		idle, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		if err := o.SetInService(t.Context(), false); err != nil {
			t.Fatal(err)
		}
		if readyStatus(t, n.url) != http.StatusServiceUnavailable {
			t.Error("ready though out of service")
		}
		eventually(t, "answers end their connections", func() bool {
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", time.Now().String(), "x"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("answered %d", resp.StatusCode)
			}
			return resp.Close
		})
		idle.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("round %d: the connection at rest ended with %v", round, err)
		}
		for range 2 {
			if err := o.SetInService(t.Context(), true); err != nil {
				t.Fatal(err)
			}
		}
		if readyStatus(t, n.url) != http.StatusOK {
			t.Error("not ready though in service")
		}
	}
}

func readyStatus(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A request that crosses the close of its connection would run though its client sends it again. So a connection that is
// half closed reads nothing more, and one whose request has begun is not closed.
func TestCloseIdleSparesOpenRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := newClientListener(ln, 4, nil)
	defer in.Close()
	pair := func() (client net.Conn, server *clientConn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		c, err := in.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, c.(*clientConn)
	}
	crossing, c := pair()
	begun, d := pair()
	io.WriteString(begun, "P")
	if _, err := d.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	in.closeIdle(0)
	io.WriteString(crossing, "POST")
	if n, err := c.Read(make([]byte, 9)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, of a connection that is half closed", n, err)
	}
	crossing.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := bufio.NewReader(crossing).ReadByte(); err != io.EOF {
		t.Errorf("its client sees %v, want an end", err)
	}
	io.WriteString(begun, "OST")
	if _, err := io.ReadFull(d, make([]byte, 3)); err != nil {
		t.Errorf("a request that has begun: %v", err)
	}
}

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
	text, err := json.Marshal(c.parsedText)
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
	ask := func(class, id string) int {
		s, _, _ := sendRequest(t, newRequest(t, n.url, class, id, "x"))
		return s
	}
	if err := n.Reload(changedConfig(t, cfg, `"name":"unsafe"`, `"name":"fresh"`, "127.0.0.1:1\"", moved+`"`)); err != nil {
		t.Fatal(err)
	}
	if n.discovery.Addr() != moved {
		t.Error("discovery's address was not taken over")
	}
	if a, b := ask("fresh", "1"), ask("unsafe", "2"); a != http.StatusOK || b != http.StatusOK {
		t.Errorf("a new class is answered %d, one dropped just now %d", a, b)
	}
	late := *n.classes.Load()
	late.previousUntil = 0
	n.classes.Store(&late)
	if got := ask("unsafe", "3"); got != http.StatusBadRequest {
		t.Errorf("a class dropped long ago is answered %d", got)
	}
}

// A file may be read while the platform writes it. One that is cut at any byte is rejected, and so is one that lacks any
// one key.
func TestTruncatedFilesAreRejected(t *testing.T) {
	cfg := testConfig(t, "pushed", inService("s-1", "127.0.0.1:1"))
	text := configText(t, cfg)
	follows := func(s string) error {
		c, err := parseConfig([]byte(s))
		if err == nil {
			err = c.checkCompatible(cfg)
		}
		return err
	}
	if err := follows(text); err != nil {
		t.Fatal(err)
	}
	for i := range text {
		if follows(text[:i]) == nil {
			t.Fatalf("cut at byte %d it was taken", i)
		}
	}
	var without func(v any, path string)
	without = func(v any, path string) {
		switch v := v.(type) {
		case map[string]any:
			for key, was := range v {
				if path+key == "known" {
					continue
				}
				delete(v, key)
				short, _ := json.Marshal(cfg.parsedText)
				v[key] = was
				if follows(string(short)) == nil {
					t.Errorf("without %s%s it was taken", path, key)
				}
				without(was, path+key+".")
			}
		case []any:
			for _, e := range v {
				without(e, path)
			}
		}
	}
	without(cfg.parsedText, "")
}

// Whatever the text, a configuration that may replace another one has a limit of attempts.
func FuzzReload(f *testing.F) {
	f.Add(`{"settings":{"lanes":[{}]}}`)
	cfg, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	 "seed":"8c1f","limits":{},"known":{},"settings":%s}`, fmt.Sprintf(platformSettings, "pushed")))
	if err != nil {
		f.Fatal(err)
	}
	whole, _ := json.Marshal(cfg.parsedText)
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

// Without an admin address no descriptors are reserved for operators; one that can't be had ends the node at its start.
func TestWithoutAdminAddress(t *testing.T) {
	cfg := testConfig(t, "pushed")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	with := cfg
	with.AdminAddress = taken.Addr().String()
	for _, c := range []Config{cfg, with} {
		n, err := New(c, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		if got := n.pool.maxConns + n.maxClientConns; (got == cfg.Sockets-reservedDescriptors) != (c.AdminAddress == "") {
			t.Errorf("admin address %q: %d descriptors", c.AdminAddress, got)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	n, _ := New(with, discardLogger())
	if err := n.Run(ctx); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("an address that can't be had: %v", err)
	}
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
