package balancer

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Checkpoints stand in captures on disk, and an heir's goes from one process of a node to the next, which may be of
// another build. Settings stand beside both. If a key of these forms changed, a new build could not replay an older
// capture, and a node would lose on an upgrade what it has learned, without an error: a key that is not known is passed
// over. So the golden files in testdata must not change. Whoever changes a form on purpose raises the version of what
// holds it (capture.Version, handover.Version) and writes the files anew with -update.

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// golden compares a text with a golden file.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(filepath.Join("testdata", name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	wantBytes(t, name, got)
}

// wantBytes wants a text to be that of a golden file.
func wantBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := goldenFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s has another form:\n got %s\nwant %s", name, got, want)
	}
}

func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// noteFields notes every struct field that is reached from v, and whether it is ever other than zero.
func noteFields(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			noteFields(v.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			noteFields(v.Index(i), set)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				key := v.Type().Name() + "." + f.Name
				set[key] = set[key] || !v.Field(i).IsZero()
				noteFields(v.Field(i), set)
			}
		}
	}
}

// wantEveryField wants each field of a form to be other than zero somewhere in its examples: a golden file that leaves
// a field out would not notice when its key changes.
func wantEveryField(t *testing.T, least int, examples ...any) {
	t.Helper()
	set := map[string]bool{}
	for _, v := range examples {
		noteFields(reflect.ValueOf(v), set)
	}
	for field, ever := range set {
		if !ever {
			t.Errorf("%s is zero in all golden files", field)
		}
	}
	if len(set) < least {
		t.Errorf("the golden files reach %d fields, want at least %d", len(set), least)
	}
}

// goldenSettings have each field, and each effect and scope.
func goldenSettings() Settings {
	aim, deadline := 500*msec, 1500*msec
	prefix := netip.MustParsePrefix
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, DedupScope: ScopeAll, LatencyObjective: aim, Deadline: deadline, LateCredit: 0.25, PriorityWeight: 1},
			{Name: "post", Effect: IdempotentWithKey, DedupScope: ScopeZone, DedupWindow: 900 * msec, LatencyObjective: aim, Deadline: deadline, PriorityWeight: 2},
			{Name: "pay", Effect: NonIdempotent, LatencyObjective: aim, Deadline: deadline, PriorityWeight: 3},
			{Name: "watch", Effect: Idempotent, LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, Stream: true},
			{Name: "order", Effect: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: 900 * msec, OrderedByKey: true, LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1,
				AllowedZones: []string{"z"}, AllowedKinds: []string{"large", "small"}},
			{Name: "remote", Effect: Idempotent, LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, AllowedZones: []string{"far"}},
		},
		Replicas: 2, ReplicaIndex: 1, Zone: "z", TotalValueWeight: 0.6, WorstClassWeight: 0.3, ClientsMarkRetries: true,
		MaxAttempts: 5, PollDiscovery: true, MaxPollInterval: 10 * time.Second, Tick: 2 * msec, MaxRetryAfter: 2 * time.Second,
		KeyQuietPeriod: 30 * msec, SlowStartMinShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3,
		FaultInjections: []FaultInjection{{Name: "refuse", Class: "post", Percent: 50, AbortStatus: 503, Duration: time.Second},
			{Name: "stall", Class: "get", Percent: 30, Delay: 80 * msec, Duration: time.Minute}},
		AccessList: &AccessList{Allow: []netip.Prefix{prefix("10.0.0.0/8"), prefix("2001:db8::/32")},
			Deny: []netip.Prefix{prefix("10.9.0.0/16")}, TrustedProxies: []netip.Prefix{prefix("192.0.2.1/32")}},
	}
}

// goldenRun is a Balancer with its host, which answers what is due.
type goldenSimulation struct {
	*Balancer
	rng    *rand.Rand
	timers []SetTimer
	due    []ending
	n      int
}

func (g *goldenSimulation) handle(e Event) {
	for _, a := range g.Handle(g.now, e) {
		switch a := a.(type) {
		case SetTimer:
			g.timers = append(g.timers, a)
		case Send:
			o := AttemptEnded{ID: a.ID, Attempt: len(g.requests[a.ID].attempts) - 1, Server: a.Server}
			took := time.Duration(60+g.rng.IntN(250)) * msec
			if g.servers[a.Server].Zone == g.settings.Zone {
				took *= 3 // the nearest are the slowest, so that some requests leave them
			}
			switch {
			case a.Server == "s1":
				o.Outcome = ConnectionLost
			case a.Server == "s5" && g.rng.IntN(3) == 0:
				o.Outcome = Overloaded
			case g.rng.IntN(20) == 0:
				took = time.Minute // its server hangs
			}
			if took > a.Timeout {
				took, o.Outcome = a.Timeout, TimedOut
			}
			o.RequestDone, o.Latency = o.Outcome == Success, took
			g.due = append(g.due, ending{g.now + took, o})
		}
	}
}

// pass lets time go by, in which what comes due happens.
func (g *goldenSimulation) advance(step time.Duration) {
	g.now += step
	for _, w := range takeDue(&g.timers, func(w SetTimer) bool { return w.At <= g.now }) {
		g.handle(TimerFired{Token: w.Token})
	}
	for _, d := range takeDue(&g.due, func(d ending) bool { return d.at <= g.now }) {
		g.handle(d.e)
	}
}

// end gives those attempts that are out an ending before their time.
func (g *goldenSimulation) endAttempts(how Outcome, which func(*attempt) bool) {
	for _, d := range takeDue(&g.due, func(d ending) bool { return which(g.requests[d.e.ID].attempts[d.e.Attempt]) }) {
		d.e.Outcome, d.e.RequestDone = how, false
		g.handle(d.e)
	}
}

// ask has a request come, each fifth with bytes in its id that are no UTF-8.
func (g *goldenSimulation) request(class string, r Request) {
	g.n++
	r.ID, r.Class, r.SettingsVersion = fmt.Sprint("r", g.n), class, g.settingsVersion
	if g.n%5 == 0 {
		r.ID += "\xff"
	}
	r.Deadline, r.Client = g.now+1500*msec, netip.MustParseAddr("10.1.2.3")
	g.handle(r)
	if class == "watch" && g.requests[r.ID] != nil {
		g.handle(ResponseStarted{ID: r.ID})
	}
}

// crowd has so many requests of all classes come, more than the servers take.
func (g *goldenSimulation) overload(n int, every time.Duration) {
	for range n {
		g.advance(every)
		class := g.settings.Classes[g.rng.IntN(len(g.settings.Classes))].Name
		g.request(class, Request{Key: 1 + g.rng.Uint64N(3), HasKey: true, ClientRetry: g.rng.IntN(6) == 0, StreamedBody: g.rng.IntN(8) == 0})
	}
}

// goldenBusy is a Balancer in the middle of everything that a checkpoint can hold, but for the two things of
// goldenEnding.
func goldenBusy(t *testing.T) *goldenSimulation {
	t.Helper()
	b, err := New(goldenSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &goldenSimulation{Balancer: b, rng: rand.New(rand.NewPCG(7, 1))}
	g.now = time.Hour
	var list []Server
	for i := range 9 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Zone: []string{"z", "y"}[i/6], Kind: []string{"large", "small"}[i%2],
			Cell: i % 3, StartTime: time.Duration(i%2) * 59 * time.Minute})
	}
	list = append(list, Server{ID: "far", Zone: "far", Kind: "large"}, Server{ID: "old", Zone: "z", Kind: "old", State: Draining})
	g.handle(EndpointUpdate{Complete: true, Cached: true, Servers: list})
	g.handle(EndpointUpdate{Complete: true, Servers: list})
	g.overload(600, 4*msec)
	g.handle(AdminOverride{Server: "far", Disabled: true}) // the only one of its zone
	g.handle(AdminOverride{Server: "s3", Disabled: true})
	g.handle(AdminOverride{Server: "s4", Disabled: true})
	g.overload(200, 4*msec)
	g.handle(AdminOverride{Server: "s4"})
	set := goldenSettings()
	set.Classes[0].PriorityWeight, set.Classes[3].PriorityWeight, set.Classes[4].AllowedZones = 4, 2, []string{"z", "y"}
	g.handle(SettingsChanged{Settings: set})
	g.handle(StartFaultInjection{Name: "stall"})
	g.overload(30, 4*msec)
	gone := list[2]
	gone.State = Removed
	g.overload(100, msec)
	g.handle(EndpointUpdate{Servers: []Server{gone}})
	g.endAttempts(Overloaded, func(a *attempt) bool { return a.server.ID == gone.ID })
	g.endAttempts(Overloaded, func(a *attempt) bool { return a.server.ID == "s5" })
	first := true // its key rests after it
	g.endAttempts(TimedOut, func(a *attempt) bool {
		ends := first && a.request.keyQueue != nil
		first = first && !ends
		return ends
	})
	g.handle(WatchFailed{})
	g.handle(WatchFailed{})
	for _, id := range slices.Sorted(maps.Keys(g.requests)) { // the first client that waits for an attempt leaves
		if r := g.requests[id]; r.hasAttemptOut() && !r.streaming {
			g.handle(ClientGone{ID: id})
			break
		}
	}
	return g
}

// goldenEnding is that Balancer when its list has expired and its node is about to stop. Then neither is a request held
// nor does a drill delay one.
func goldenEnding(t *testing.T) *goldenSimulation {
	t.Helper()
	g := goldenBusy(t)
	g.handle(EndpointLease{Expired: true})
	g.handle(ShuttingDown{})
	return g
}

var goldenCheckpoints = map[string]func(*testing.T) *goldenSimulation{"checkpoint.json": goldenBusy, "checkpoint_ending.json": goldenEnding}

// The same events lead to the same bytes. The golden files are of amd64: other machines may round sums of products
// otherwise.
func TestGoldenCheckpointsAreWritten(t *testing.T) {
	for name, run := range goldenCheckpoints {
		text, err := run(t).Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		golden(t, name, text)
	}
	text, err := goldenBusy(t).SuccessorState()
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "heir.json", text)
}

// A checkpoint of before is read whole: what is made of it writes the same bytes.
func TestGoldenCheckpointsAreRead(t *testing.T) {
	for name, run := range goldenCheckpoints {
		b, err := Restore(run(t).settings, goldenFile(t, name))
		if err != nil {
			t.Fatal(err)
		}
		text, err := b.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		wantBytes(t, name, text)
	}
}

// An heir's knowledge of before is read whole, but for its own draws.
func TestGoldenSuccessorStateIsRead(t *testing.T) {
	set, heir := goldenBusy(t).settings, goldenFile(t, "heir.json")
	var s savedBalancer
	if err := json.Unmarshal(heir, &s); err != nil {
		t.Fatal(err)
	}
	b, err := RestoreSuccessor(set, heir, 9)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := b.SuccessorState(); err != nil || bytes.Equal(text, heir) {
		t.Errorf("the heir draws as the one before it, %v", err)
	}
	if err := b.rngSource.UnmarshalBinary(s.RNGState); err != nil {
		t.Fatal(err)
	}
	text, err := b.SuccessorState()
	if err != nil {
		t.Fatal(err)
	}
	wantBytes(t, "heir.json", text)
}

func TestGoldenCheckpointsHaveEveryField(t *testing.T) {
	var all []any
	for name := range goldenCheckpoints {
		var s savedBalancer
		if err := json.Unmarshal(goldenFile(t, name), &s); err != nil {
			t.Fatal(err)
		}
		all = append(all, &s)
		if s.KnownServers == len(s.Servers) {
			t.Errorf("%s: no attempt was at a server that has left", name)
		}
	}
	wantEveryField(t, 100, all...)
}

// Settings are compared as bytes by the process that takes over, and stand in the heads of captures.
func TestGoldenSettings(t *testing.T) {
	set := goldenSettings()
	set.Tier = 1
	text, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "settings.json", text)
	var read Settings
	if err := json.Unmarshal(goldenFile(t, "settings.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, set) {
		t.Errorf("read as %+v", read)
	}
	wantEveryField(t, 40, &read)
	// Constants are stored as numbers.
	if got := []int{int(NonIdempotent), int(IdempotentWithKey), int(Idempotent), int(ScopeCell), int(ScopeZone), int(ScopeAll), int(Ready), int(Draining),
		int(Removed)}; !slices.Equal(got, []int{0, 1, 2, 0, 1, 2, 0, 1, 2}) {
		t.Errorf("effects, scopes and states are %v", got)
	}
}
