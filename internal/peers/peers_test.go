package peers

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/membership"
)

// memoryStore is a StartStore in memory.
type memoryStore struct {
	mu   sync.Mutex
	last uint64
	err  error
}

func (s *memoryStore) Next() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return s.last, s.err
}

func (s *memoryStore) Save(n uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = max(s.last, n)
	return s.err
}

// keyFile writes a new key file and returns its name.
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

var tree = membership.Tree{"dc": "", "okanagan": "dc"}

// freeAddress returns an unused address on loopback.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// testNode is a node of a test cluster.
type testNode struct {
	cfg   Config
	store *memoryStore
	*Cluster
}

func (n *testNode) join(t *testing.T) {
	t.Helper()
	var err error
	if n.Cluster, err = Join(n.cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
}

// waitForView waits until the view of a node satisfies a condition.
func waitForView(t *testing.T, cluster *Cluster, what string, holds func(View) bool) View {
	t.Helper()
	for end := time.After(30 * time.Second); ; {
		changed := cluster.Changed()
		v := cluster.View()
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

// agreedWith returns the condition that a node agrees, and that n nodes including itself are alive in its view.
func agreedWith(n int) func(View) bool {
	return func(v View) bool {
		alive := 1
		for _, m := range v.Members {
			if m.State == "here" {
				alive++
			}
		}
		return v.Self == "agreed" && alive == n
	}
}

// startNodes starts six nodes in two sites and waits until all agree.
func startNodes(t *testing.T, keys string) []*testNode {
	t.Helper()
	var all []*testNode
	names := []string{"r1", "r2", "r3", "a1", "a2", "a3"}
	first := freeAddress(t)
	for n, name := range names {
		site, listen := "dc", freeAddress(t)
		if name[0] == 'a' {
			site = "okanagan"
		}
		if n == 0 {
			listen = first
		}
		p := &testNode{store: &memoryStore{last: 5}}
		p.cfg = Config{Name: name, Site: site, Tree: tree, Listen: listen, Seeds: []string{first}, KeyFile: keys, Label: "benchland",
			StartStore: p.store}
		p.join(t)
		t.Cleanup(func() { p.Close() })
		all = append(all, p)
	}
	for _, p := range all {
		waitForView(t, p.Cluster, "agreed", agreedWith(len(all)))
	}
	return all
}

// A key is replaced while all nodes run: first the old and the new key are both valid, then only the new one. A node that
// could not decrypt the others' messages in between would be declared failed.
func TestKeyRotation(t *testing.T) {
	const newKey = "fresh-key-fresh-"
	keys := keyFile(t, key)
	all := startNodes(t, keys)
	for _, list := range [][]string{{key, newKey}, {newKey, key}, {newKey}} {
		writeKeys(t, keys, list...)
		for _, p := range all {
			if err := p.ReloadKeys(); err != nil {
				t.Fatal(err)
			}
		}
	}
	late := &testNode{cfg: all[1].cfg, store: &memoryStore{}}
	late.cfg.Name, late.cfg.Listen, late.cfg.StartStore = "late", freeAddress(t), late.store
	late.join(t)
	defer late.Close()
	waitForView(t, late.Cluster, "agreed", agreedWith(len(all)+1))
	if err := os.WriteFile(keys, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var wrong *KeyError
	if err := late.ReloadKeys(); !errors.As(err, &wrong) {
		t.Errorf("reload of an invalid key file: %v", err)
	}
	waitForView(t, all[0].Cluster, "agreed", agreedWith(len(all)+1))
}

// A node of another installation that dials an address of this one must not join. It has another key or another label.
func TestOtherKeyOrLabelIsRejected(t *testing.T) {
	all := startNodes(t, keyFile(t, key))
	for what, change := range map[string]func(*Config){
		"another key":   func(c *Config) { c.KeyFile = keyFile(t, "fedcba9876543210") },
		"another label": func(c *Config) { c.Label = "elsewhere" },
	} {
		p := &testNode{cfg: all[1].cfg, store: &memoryStore{}}
		p.cfg.Name, p.cfg.Listen, p.cfg.StartStore = "outsider", freeAddress(t), p.store
		change(&p.cfg)
		p.join(t)
		if n, err := p.detector.Join([]string{all[0].cfg.Listen}); n > 0 || err == nil {
			t.Errorf("node with %s has joined", what)
		}
		p.Close()
	}
	if v := all[0].View(); len(v.Members) != len(all)-1 {
		t.Errorf("%d members are known, want those of the cluster", len(v.Members))
	}
}

// Join with an invalid address or key file returns a typed error that says what to change.
func TestInvalidConfig(t *testing.T) {
	good := Config{Name: "n", Site: "dc", Tree: tree, Listen: "127.0.0.1:0", KeyFile: keyFile(t, key), StartStore: &memoryStore{}}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for what, tc := range map[string]struct {
		change func(*Config)
		as     any
		says   string // part of the error text
	}{
		"no port":       {func(c *Config) { c.Listen = "127.0.0.1" }, new(*JoinError), "choose an address"},
		"a port in use": {func(c *Config) { c.Listen = taken.Addr().String() }, new(*JoinError), "choose an address"},
		"no key file":   {func(c *Config) { c.KeyFile = "/nowhere/key" }, new(*KeyError), "one base64 key of"},
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

// Nodes of an earlier build decode the messages of this one, so the JSON names are part of the protocol.
func TestProtocolNames(t *testing.T) {
	sent := message{Version: messageVersion, Sequence: 3, Leaving: true, Announcement: membership.Announcement{
		From:    membership.Incarnation{Name: "a", Start: 1, Nonce: 2},
		Site:    "dc",
		Digests: map[string]uint64{"dc": 7},
		Newer:   []membership.Incarnation{{Name: "b", Start: 4}},
		Request: true,
	}}
	const want = `{"V":1,"Seq":3,"Bye":true,"Word":{"From":{"Name":"a","Start":1,"Nonce":2},"Site":"dc",` +
		`"Views":{"dc":7},"Claims":[{"Name":"b","Start":4,"Nonce":0}],"Wants":true}}`
	got, err := encode(sent)
	if err != nil || string(got) != want {
		t.Errorf("%s, %v; want %s", got, err, want)
	}
	read, err := parseMessage([]byte(want))
	if err != nil || !reflect.DeepEqual(read, sent) {
		t.Errorf("decoded %+v, %v; want %+v", read, err, sent)
	}
	meta, err := json.Marshal(nodeMeta{1, 2, "dc"})
	if err != nil || string(meta) != `{"s":1,"n":2,"w":"dc"}` {
		t.Errorf("%s, %v", meta, err)
	}
	view, err := json.Marshal(View{Sites: map[string]membership.Count{"dc": {Running: 1, Known: 2}}})
	if err != nil || !strings.Contains(string(view), `"Sites":{"dc":{"There":1,"Known":2}}`) {
		t.Errorf("%s, %v", view, err)
	}
}

// A faulty or hostile peer may send anything. A message that is accepted must be within the bounds.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"V":1,"Seq":1,"Word":{"From":{"Name":"a","Start":1,"Nonce":2},"Site":"dc","Views":{"dc":7},"Claims":[{"Name":"b"}]}}`))
	f.Add([]byte(`{"V":2}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := parseMessage(b); err == nil && (n.Version != messageVersion || !validName(n.Announcement.From.Name) || len(n.Announcement.Newer) > membership.MaxNewer) {
			t.Errorf("%+v", n)
		}
		if m, err := parseMeta(b); err == nil && !validName(m.Site) {
			t.Errorf("%+v", m)
		}
	})
}

// Two machines are configured with the same name. The other nodes continue with the newer incarnation, as if the node had been
// moved. The older one must not grant anything in the meantime, or both could hold the same lease. It agrees again after the
// newer one has ended.
func TestTwoNodesWithOneName(t *testing.T) {
	all := startNodes(t, keyFile(t, key))
	first := all[3]
	second := &testNode{cfg: first.cfg, store: &memoryStore{last: 5}}
	second.cfg.Listen, second.cfg.StartStore = freeAddress(t), second.store
	second.join(t)
	waitForView(t, first.Cluster, "disputed", func(v View) bool { return v.Self == "disputed" })
	if first.May(membership.Grant) {
		t.Error("the older of two nodes with the same name may grant")
	}
	for _, p := range all[:3] {
		waitForView(t, p.Cluster, "agreed", func(v View) bool { return v.Self == "agreed" })
	}
	second.Close()
	waitForView(t, first.Cluster, "agreed", agreedWith(len(all)))
}

// Nothing may replace a leave message in the queue. When a later announcement replaced it, the other nodes declared the node
// failed.
func TestLeaveMessageStaysQueued(t *testing.T) {
	c, err := Join(Config{Name: "a", Site: "dc", Tree: tree, Listen: "127.0.0.1:0", KeyFile: keyFile(t, key),
		StartStore: &memoryStore{}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.enqueueLeaveMessage()
	before := c.View().Digest
	c.step(membership.NodeAlive{Incarnation: membership.Incarnation{Name: "b", Start: 1, Nonce: 2}, Site: "dc"})
	if c.View().Digest == before {
		t.Fatal("the view has not changed, so no announcement was attempted")
	}
	const packetBytes = 1400
	queued := c.queue.GetBroadcasts(0, packetBytes)
	if len(queued) != 1 {
		t.Fatalf("%d messages are queued, want 1", len(queued))
	}
	if m, err := parseMessage(queued[0]); err != nil || !m.Leaving {
		t.Errorf("%+v, %v is queued instead of the leave message", m, err)
	}
}
