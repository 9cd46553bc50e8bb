package peers

import (
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/members"
)

// kept is a number that is on no disk.
type kept struct {
	mu   sync.Mutex
	last uint64
	err  error
}

func (k *kept) Next() (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last++
	return k.last, k.err
}

func (k *kept) Raise(n uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last = max(k.last, n)
	return k.err
}

func keyFile(t *testing.T, keys ...string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "key")
	writeKeys(t, name, keys...)
	return name
}

func writeKeys(t *testing.T, name string, keys ...string) {
	t.Helper()
	text := "# keys\n"
	for _, k := range keys {
		text += base64.StdEncoding.EncodeToString([]byte(k)) + "\n"
	}
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const key = "0123456789abcdef"

var tree = members.Tree{"dc": "", "okanagan": "dc"}

// port is a free address.
func port(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

type place struct {
	cfg  Config
	kept *kept
	*Room
}

func (p *place) begin(t *testing.T) {
	t.Helper()
	var err error
	if p.Room, err = Join(p.cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
}

// until waits for something to hold of a view.
func until(t *testing.T, r *Room, what string, holds func(View) bool) View {
	t.Helper()
	for end := time.After(30 * time.Second); ; {
		changed := r.Changed()
		v := r.View()
		if holds(v) {
			return v
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-end:
			t.Fatalf("%s: not %s: %+v", v.Me.Name, what, v)
		}
	}
}

func agreed(n int) func(View) bool {
	return func(v View) bool {
		there := 1
		for _, m := range v.Members {
			if m.State == "here" {
				there++
			}
		}
		return v.Self == "agreed" && there == n
	}
}

func gather(t *testing.T, keys string) []*place {
	var all []*place
	names := []string{"r1", "r2", "r3", "a1", "a2", "a3"}
	first := port(t)
	for n, name := range names {
		site, listen := "dc", port(t)
		if name[0] == 'a' {
			site = "okanagan"
		}
		if n == 0 {
			listen = first
		}
		p := &place{kept: &kept{last: 5}}
		p.cfg = Config{Name: name, Site: site, Tree: tree, Listen: listen, Seeds: []string{first}, KeyFile: keys, Label: "benchland",
			Starts: p.kept}
		p.begin(t)
		t.Cleanup(func() { p.Close() })
		all = append(all, p)
	}
	for _, p := range all {
		until(t, p.Room, "agreed", agreed(len(all)))
	}
	return all
}

// A key is replaced while all run: the old one and the new one are valid side by side, then the old one no longer.
func TestKeysAreReplaced(t *testing.T) {
	const fresh = "fresh-key-fresh-"
	keys := keyFile(t, key)
	all := gather(t, keys)
	for _, list := range [][]string{{key, fresh}, {fresh, key}, {fresh}} {
		writeKeys(t, keys, list...)
		for _, p := range all {
			if err := p.Rekey(); err != nil {
				t.Fatal(err)
			}
		}
	}
	late := &place{cfg: all[1].cfg, kept: &kept{}}
	late.cfg.Name, late.cfg.Listen, late.cfg.Starts = "late", port(t), late.kept
	late.begin(t)
	defer late.Close()
	until(t, late.Room, "agreed", agreed(len(all)+1))
	if err := os.WriteFile(keys, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var wrong *KeyError
	if err := late.Rekey(); !errors.As(err, &wrong) {
		t.Errorf("a broken key file: %v", err)
	}
	until(t, all[0].Room, "agreed", agreed(len(all)+1))
}

// A stranger with another key, or of another installation, gets in nowhere.
func TestStrangers(t *testing.T) {
	all := gather(t, keyFile(t, key))
	for what, change := range map[string]func(*Config){
		"another key":          func(c *Config) { c.KeyFile = keyFile(t, "fedcba9876543210") },
		"another installation": func(c *Config) { c.Label = "elsewhere" },
	} {
		p := &place{cfg: all[1].cfg, kept: &kept{}}
		p.cfg.Name, p.cfg.Listen, p.cfg.Starts = "stranger", port(t), p.kept
		change(&p.cfg)
		p.begin(t)
		if n, err := p.list.Join([]string{all[0].cfg.Listen}); n > 0 || err == nil {
			t.Errorf("with %s it got in", what)
		}
		p.Close()
	}
	if v := all[0].View(); len(v.Members) != len(all)-1 {
		t.Errorf("%d members are known", len(v.Members))
	}
}

// Errors have types and say what to do.
func TestWhatCantBeUsed(t *testing.T) {
	good := Config{Name: "n", Site: "dc", Tree: tree, Listen: "127.0.0.1:0", KeyFile: keyFile(t, key), Starts: &kept{}}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for what, tc := range map[string]struct {
		change func(*Config)
		as     any
		says   string
	}{
		"no port":       {func(c *Config) { c.Listen = "127.0.0.1" }, new(*JoinError), "name an address"},
		"a taken port":  {func(c *Config) { c.Listen = taken.Addr().String() }, new(*JoinError), "name an address"},
		"no key file":   {func(c *Config) { c.KeyFile = "/nowhere/key" }, new(*KeyError), "one key of"},
		"a short key":   {func(c *Config) { c.KeyFile = keyFile(t, "short") }, new(*KeyError), "line 2"},
		"an empty file": {func(c *Config) { c.KeyFile = keyFile(t) }, new(*KeyError), "0 keys"},
	} {
		c := good
		tc.change(&c)
		r, err := Join(c, slog.New(slog.DiscardHandler))
		if err == nil {
			r.Close()
			t.Errorf("%s: no error", what)
		} else if !errors.As(fmt.Errorf("x: %w", err), tc.as) || !strings.Contains(err.Error(), tc.says) {
			t.Errorf("%s: %T: %v", what, err, err)
		}
	}
}

// Whatever a peer sends is read or counted, and what is read is within bounds.
func FuzzNote(f *testing.F) {
	f.Add([]byte(`{"V":1,"Seq":1,"Word":{"From":{"Name":"a","Start":1,"Nonce":2},"Site":"dc","Views":{"dc":7},"Claims":[{"Name":"b"}]}}`))
	f.Add([]byte(`{"V":2}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := parseNote(b); err == nil && (n.V != noteVersion || !sane(n.Word.From.Name) || len(n.Word.Claims) > members.MostClaims) {
			t.Errorf("%+v", n)
		}
		if m, err := parseMeta(b); err == nil && !sane(m.Site) {
			t.Errorf("%+v", m)
		}
	})
}

// A name that two machines use: the others go on with the younger life, as with a node that moved; the one before grants
// nothing while that lasts, and is itself again when the other is gone.
func TestNameOfTwo(t *testing.T) {
	all := gather(t, keyFile(t, key))
	first := all[3]
	second := &place{cfg: first.cfg, kept: &kept{last: 5}}
	second.cfg.Listen, second.cfg.Starts = port(t), second.kept
	second.begin(t)
	until(t, first.Room, "in doubt", func(v View) bool { return v.Self == "disputed" })
	if first.May(members.Grant) {
		t.Error("the older of two nodes of a name may grant")
	}
	for _, p := range all[:3] {
		until(t, p.Room, "agreed", func(v View) bool { return v.Self == "agreed" })
	}
	second.Close()
	until(t, first.Room, "agreed", agreed(len(all)))
}
