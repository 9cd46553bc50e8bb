package configversion

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const ms = time.Millisecond

// tester is what a driver needs of a test, *rapid.T among them.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// driver runs a session against controllers that a test plays: it moves time on to where the session wants to be
// called, and notes what the session does.
type driver struct {
	t        tester
	session  *Session
	now      time.Duration
	open     map[uint64]OpenWatch
	opened   []OpenWatch
	openedAt []time.Duration
	applying *ApplyConfig
	ack      *SendAck
	acks     []configapi.Acknowledgement
	answers  []VersionDecided
	kept     *LastKnownGood
}

func newDriver(t tester, options SessionOptions) *driver {
	if options.Node == "" {
		options.Node, options.Service, options.StartedMS = "n", "s", 1
	}
	return &driver{t: t, session: NewSession(options, 0), open: map[uint64]OpenWatch{}}
}

// step hands the session an event now.
func (d *driver) step(event SessionEvent) {
	d.t.Helper()
	switch e := event.(type) {
	case WatchEnded:
		delete(d.open, e.Watch)
	case WatchRejected:
		delete(d.open, e.Watch)
	}
	for _, action := range d.session.Step(d.now, event) {
		switch a := action.(type) {
		case OpenWatch:
			d.open[a.Watch] = a
			d.opened = append(d.opened, a)
			d.openedAt = append(d.openedAt, d.now)
		case CloseWatch:
			if _, is := d.open[a.Watch]; !is {
				d.t.Fatalf("it closes watch %d, which is not open", a.Watch)
			}
			delete(d.open, a.Watch)
		case ApplyConfig:
			if d.applying != nil {
				d.t.Fatal("it applies two versions at once")
			}
			d.applying = &a
		case SendAck:
			if d.ack != nil {
				d.t.Fatal("it sends two acknowledgements at once")
			}
			d.ack = &a
			d.acks = append(d.acks, a.Ack)
		case Persist:
			d.kept = &a.LastKnownGood
		case VersionDecided:
			d.answers = append(d.answers, a)
		}
	}
	if next := d.session.Next(); next <= d.now {
		d.t.Fatalf("at %v it wants to be called at %v", d.now, next)
	}
}

// until moves time on, with ticks where the session wants them, until something holds or the time is up.
func (d *driver) until(end time.Duration, holds func() bool) bool {
	d.t.Helper()
	for !holds() {
		if d.session.Next() > end {
			d.now = end
			return false
		}
		d.now = max(d.now, d.session.Next())
		d.step(Tick{})
	}
	return true
}

// pass moves time on, with ticks where the session wants them.
func (d *driver) pass(time time.Duration) {
	d.t.Helper()
	d.until(d.now+time, func() bool { return false })
}

// beat moves time on with heartbeats on a watch.
func (d *driver) beat(watch uint64, time time.Duration) {
	d.t.Helper()
	for end := d.now + time; d.now < end; {
		d.pass(min(configapi.HeartbeatInterval, end-d.now))
		d.step(WatchActivity{Watch: watch})
	}
}

// nextWatch waits for a watch to be opened, and returns it.
func (d *driver) nextWatch(within time.Duration) OpenWatch {
	d.t.Helper()
	had := len(d.opened)
	if !d.until(d.now+within, func() bool { return len(d.opened) > had }) {
		d.t.Fatalf("no watch within %v", within)
	}
	return d.opened[had]
}

func (d *driver) update(watch uint64, u configapi.Update) {
	d.t.Helper()
	d.step(WatchUpdated{watch, u})
}

// tried answers the apply that is under way.
func (d *driver) tried(rejection *configapi.Rejection) {
	d.t.Helper()
	if d.applying == nil {
		d.t.Fatal("nothing is applied")
	}
	d.applying = nil
	d.step(ApplyFinished{Rejection: rejection})
}

// acked answers the acknowledgement that is under way.
func (d *driver) acked(taken bool) {
	d.t.Helper()
	if d.ack == nil {
		d.t.Fatal("nothing is acknowledged")
	}
	d.ack = nil
	d.step(AckFinished{taken})
}

var bad = &configapi.Rejection{Kind: configapi.RejectInvalid, Message: "no"}

func config(n int) *configapi.ServiceConfig {
	return &configapi.ServiceConfig{Settings: json.RawMessage(fmt.Sprint(n))}
}

// version is an update with a version that sets the service's configuration.
func version(cluster configapi.Cluster, n int) configapi.Update {
	return configapi.Update{Cluster: cluster, Version: configapi.Version(n), ConfigVersion: configapi.Version(n), Config: config(n), Current: true}
}

// empty is an update of a cluster without a version.
func empty(cluster configapi.Cluster) configapi.Update {
	return configapi.Update{Cluster: cluster, Current: true}
}

var three = []configapi.Endpoint{{Address: "a:1", Region: "east", Zone: "a"}, {Address: "b:1", Region: "east", Zone: "b"},
	{Address: "c:1", Region: "west", Zone: "a"}}

func addressesOf(endpoints []configapi.Endpoint) (addresses []string) {
	for _, e := range endpoints {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// connected is a driver whose session has a watch that speaks.
func connected(t testing.TB, options SessionOptions) (*driver, OpenWatch) {
	t.Helper()
	if options.Controllers == nil {
		options.Controllers = addressesOf(three)
	}
	d := newDriver(t, options)
	w := d.nextWatch(InitialConnectJitter)
	d.update(w.Watch, empty("x"))
	return d, w
}

// The first watches of nodes that start at once are spread over a second and over the controllers.
func TestFirstWatchesAreSpread(t *testing.T) {
	const nodes = 700
	perController := map[string]int{}
	perTenth := [10]int{}
	for seed := range uint64(nodes) {
		d := newDriver(t, SessionOptions{Controllers: addressesOf(three), Seed: seed})
		w := d.nextWatch(InitialConnectJitter)
		perController[w.Address]++
		perTenth[d.now*10/InitialConnectJitter]++
	}
	for address, n := range perController {
		if n < nodes/3-60 || n > nodes/3+60 {
			t.Errorf("%d of %d at %s", n, nodes, address)
		}
	}
	for i, n := range perTenth {
		if n < nodes/10-35 || n > nodes/10+35 {
			t.Errorf("%d of %d in tenth %d of the second", n, nodes, i)
		}
	}
}

// A node that knows where controllers stand goes to its own zone, then its own region, then the rest, and to what only
// its settings name last.
func TestNearestFirst(t *testing.T) {
	d := newDriver(t, SessionOptions{Controllers: []string{"old:1"}, Region: "east", Zone: "b", LastKnownGood: LastKnownGood{Cluster: "x", Controllers: three}})
	for _, want := range []string{"b:1", "a:1", "c:1", "old:1"} {
		w := d.nextWatch(3 * time.Second)
		if w.Address != want {
			t.Errorf("it goes to %s, want %s", w.Address, want)
		}
		d.step(WatchEnded{w.Watch})
	}
}

// A watch that falls silent has another beside it after 1.0 to 1.2 s, and ends when that one speaks.
func TestSilenceOpensAnotherWatch(t *testing.T) {
	for seed := range uint64(50) {
		d, first := connected(t, SessionOptions{Seed: seed})
		d.beat(first.Watch, 5*time.Second)
		silent := d.now
		second := d.nextWatch(configapi.SilenceTimeout)
		if wait := d.now - silent; wait < configapi.SilenceTimeout-silenceJitter {
			t.Errorf("a second watch after %v", wait)
		}
		if second.Address == first.Address || len(d.open) != 2 {
			t.Errorf("a second watch at %s beside %s, %d open", second.Address, first.Address, len(d.open))
		}
		d.update(second.Watch, version("x", 1))
		if _, still := d.open[first.Watch]; still || len(d.open) != 1 || d.session.Controller() != second.Address {
			t.Errorf("%d watches open, it goes by %s", len(d.open), d.session.Controller())
		}
		if d.applying == nil {
			t.Error("the version is not tried")
		}
	}
}

// A version that is published as the controller stalls, and the next one asked with it, is tried within 3 s, with time
// left for it to be applied and answered.
func TestTwoStalledControllers(t *testing.T) {
	const most = 2500 * ms
	for seed := range uint64(200) {
		d, first := connected(t, SessionOptions{Seed: seed})
		d.beat(first.Watch, time.Second)
		published := d.now
		d.nextWatch(most)
		third := d.nextWatch(most)
		d.update(third.Watch, version("x", 1))
		if took := d.now - published; d.applying == nil || took > most {
			t.Fatalf("seed %d: tried after %v", seed, took)
		}
	}
}

// A silent controller that speaks again is gone by as before.
func TestSilenceThatEnds(t *testing.T) {
	d, first := connected(t, SessionOptions{})
	second := d.nextWatch(configapi.SilenceTimeout)
	d.step(WatchActivity{Watch: first.Watch})
	if _, still := d.open[second.Watch]; still || d.session.Controller() != first.Address {
		t.Errorf("%d watches open, it goes by %s", len(d.open), d.session.Controller())
	}
}

// An update that begins and is never whole counts as silence, whatever comes of it.
func TestUpdateThatIsNeverWhole(t *testing.T) {
	d, first := connected(t, SessionOptions{})
	begun := d.now
	for range 20 {
		d.step(WatchActivity{Watch: first.Watch, UpdateInProgress: true})
		d.pass(100 * ms)
	}
	if len(d.open) < 2 || d.openedAt[1]-begun > configapi.SilenceTimeout {
		t.Errorf("%d watches open", len(d.open))
	}
}

// A controller that is full says where else to go; that is gone to at once, and the request says so.
func TestRefusedWatchGoesElsewhere(t *testing.T) {
	d := newDriver(t, SessionOptions{Controllers: []string{"a:1"}})
	first := d.nextWatch(InitialConnectJitter)
	refusal := configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: []configapi.Endpoint{{Address: "d:1"}, {Address: "e:1"}}}
	d.step(WatchRejected{first.Watch, refusal})
	second := d.nextWatch(redirectJitter)
	d.step(WatchRejected{second.Watch, configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: []configapi.Endpoint{{Address: "a:1"}, {Address: "e:1"}}}})
	third := d.nextWatch(redirectJitter)
	if second.Address != "d:1" || third.Address != "e:1" || second.Request.WatchRejections != 1 || third.Request.WatchRejections != 2 {
		t.Errorf("it goes to %+v, then %+v", second, third)
	}
	d.update(third.Watch, empty("x"))
	d.step(WatchEnded{third.Watch})
	if w := d.nextWatch(reconnectJitter); w.Request.WatchRejections != 0 {
		t.Errorf("after a watch it says that it was refused %d times", w.Request.WatchRejections)
	}
}

// A node that is asked to move has its next watch before it ends the one it has.
func TestMove(t *testing.T) {
	d, first := connected(t, SessionOptions{})
	move := empty("x")
	move.MigrateTo = "m:1"
	d.update(first.Watch, move)
	second := d.opened[len(d.opened)-1]
	if second.Address != "m:1" || len(d.open) != 2 {
		t.Fatalf("%d open, the last at %s", len(d.open), second.Address)
	}
	d.update(second.Watch, empty("x"))
	if _, still := d.open[first.Watch]; still || d.session.Controller() != "m:1" {
		t.Error("it has not moved")
	}
}

// A move that fails, is refused or takes too long leaves the node where it is, and is not tried again at once.
func TestMoveThatFails(t *testing.T) {
	for name, fails := range map[string]func(d *driver, w uint64){
		"ended":     func(d *driver, w uint64) { d.step(WatchEnded{w}) },
		"refused":   func(d *driver, w uint64) { d.step(WatchRejected{w, configapi.Error{Kind: configapi.ErrorNoCapacity}}) },
		"no answer": func(d *driver, _ uint64) { d.pass(openTimeout) },
	} {
		d, first := connected(t, SessionOptions{})
		move := empty("x")
		move.MigrateTo = "m:1"
		d.update(first.Watch, move)
		fails(d, d.opened[1].Watch)
		d.update(first.Watch, move)
		if len(d.open) != 1 || len(d.opened) != 2 || d.session.Controller() != first.Address {
			t.Errorf("%s: %d open, %d opened, at %s", name, len(d.open), len(d.opened), d.session.Controller())
		}
		d.beat(first.Watch, migrationRetryDelay)
		d.update(first.Watch, move)
		if len(d.opened) != 3 {
			t.Errorf("%s: later it is asked again, and does not try", name)
		}
	}
}

// A node whose controller has lost its leader looks for another one after a while, in bounded tries, and stays while
// there is none.
func TestSearchForACurrentController(t *testing.T) {
	d, first := connected(t, SessionOptions{})
	stale := empty("x")
	stale.Current = false
	d.update(first.Watch, stale)
	began := d.now
	elections := func() {
		for end := d.now + time.Minute; d.now < end; {
			d.pass(100 * ms)
			d.step(WatchActivity{Watch: first.Watch})
			for id, w := range d.open {
				if w.Address != first.Address {
					d.update(id, stale)
				}
			}
		}
	}
	elections()
	if d.openedAt[1]-began < searchDelay || d.openedAt[1]-began > searchDelay+searchJitter+100*ms {
		t.Errorf("it first looks after %v", d.openedAt[1]-began)
	}
	if n := len(d.opened) - 1; n < 6 || n > 2*12 {
		t.Errorf("%d tries in a minute", n)
	}
	if d.session.Controller() != first.Address || len(d.open) > 2 {
		t.Errorf("%d watches, at %s", len(d.open), d.session.Controller())
	}
	for id, w := range d.open { // one that it tried may be open
		if w.Address != first.Address {
			d.step(WatchEnded{id})
		}
	}
	second := OpenWatch{}
	for second.Watch == 0 {
		d.beat(first.Watch, 100*ms)
		for id, w := range d.open {
			if id != first.Watch {
				second = w
			}
		}
	}
	d.update(second.Watch, version("x", 1))
	if d.session.Controller() != second.Address || len(d.open) != 1 {
		t.Errorf("%d watches, at %s", len(d.open), d.session.Controller())
	}
}

// An election that is over soon sends nobody elsewhere.
func TestShortElection(t *testing.T) {
	d, first := connected(t, SessionOptions{})
	stale := empty("x")
	stale.Current = false
	d.update(first.Watch, stale)
	d.pass(searchDelay - ms)
	d.update(first.Watch, empty("x"))
	d.beat(first.Watch, 10*time.Second)
	if len(d.opened) != 1 {
		t.Errorf("%d watches were opened", len(d.opened))
	}
}

// While no controller is there a node tries at least every 1.5 s, and not much more often.
func TestBackoff(t *testing.T) {
	for name, ends := range map[string]func(d *driver){
		"refused at once": func(d *driver) {
			for id := range d.open {
				d.step(WatchEnded{id})
			}
		},
		"no answer at all": func(*driver) {},
		"all are full": func(d *driver) {
			for id := range d.open {
				d.step(WatchRejected{id, configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: three}})
			}
		},
	} {
		d := newDriver(t, SessionOptions{Controllers: addressesOf(three)})
		for d.now < time.Minute {
			d.nextWatch(openMaxBackoff + InitialConnectJitter)
			ends(d)
			if len(d.open) > maxOpening {
				t.Fatalf("%s: %d watches are open", name, len(d.open))
			}
		}
		if n := len(d.opened); n < 40 || n > 100 {
			t.Errorf("%s: %d tries in a minute", name, n)
		}
	}
}

// After a lost session the next watch comes within 400 ms, elsewhere.
func TestLostSession(t *testing.T) {
	d, first := connected(t, SessionOptions{})
	d.step(WatchEnded{first.Watch})
	if w := d.nextWatch(reconnectJitter); w.Address == first.Address {
		t.Error("it goes to the controller that it has just lost")
	}
}

// Versions are tried one at a time, the newest first, and answered; what is older or known is passed over.
func TestVersions(t *testing.T) {
	d, w := connected(t, SessionOptions{})
	d.update(w.Watch, version("x", 3))
	for _, n := range []int{4, 6, 5, 3, 1, 6} {
		d.update(w.Watch, version("x", n))
	}
	d.tried(nil)
	if d.applying == nil || d.applying.Version != 6 || string(d.applying.Config.Settings) != "6" {
		t.Fatalf("next it tries %+v", d.applying)
	}
	d.tried(bad)
	for _, n := range []int{3, 5, 6} {
		d.update(w.Watch, version("x", n))
	}
	if d.applying != nil {
		t.Errorf("it tries %+v", d.applying)
	}
	d.acked(true)
	d.acked(true)
	want := []configapi.Acknowledgement{
		{Node: "n", StartedMS: 1, Session: w.Watch, Cluster: "x", Version: 3, Outcome: configapi.Applied, Applied: 3},
		{Node: "n", StartedMS: 1, Session: w.Watch, Cluster: "x", Version: 6, Outcome: configapi.Rejected, Rejection: bad, Applied: 3},
	}
	if !slices.Equal(d.acks, want) {
		t.Errorf("it acknowledged %+v", d.acks)
	}
	if d.kept == nil || d.kept.Version != 3 || string(d.kept.Config.Settings) != "3" {
		t.Errorf("it keeps %+v", d.kept)
	}
	d.step(WatchEnded{w.Watch})
	next := d.nextWatch(reconnectJitter).Request
	if next.LastDecided != 6 || next.Applied != 3 || !next.LastRejected || next.RejectionReason != bad.Error() || next.Cluster != "x" || next.Session <= w.Watch {
		t.Errorf("it asks with %+v", next)
	}
}

// A version that changes nothing for the service is in force at once; one that names it again after a rejection is tried
// again with what it brings, also if that came before.
func TestVersionsOfOtherServices(t *testing.T) {
	d, w := connected(t, SessionOptions{})
	d.update(w.Watch, configapi.Update{Cluster: "x", Version: 1, Current: true})
	if d.applying != nil || d.session.Applied() != 1 {
		t.Errorf("%d is in force", d.session.Applied())
	}
	d.update(w.Watch, version("x", 2))
	d.tried(nil)
	d.update(w.Watch, configapi.Update{Cluster: "x", Version: 3, ConfigVersion: 2, Current: true})
	if d.applying != nil || d.session.Applied() != 3 || string(d.kept.Config.Settings) != "2" || d.kept.Version != 3 {
		t.Errorf("%d is in force, kept %+v", d.session.Applied(), d.kept)
	}
	d.update(w.Watch, version("x", 4))
	d.tried(bad)
	d.update(w.Watch, configapi.Update{Cluster: "x", Version: 5, ConfigVersion: 4, Current: true})
	if d.applying == nil || d.applying.Version != 5 || string(d.applying.Config.Settings) != "4" {
		t.Errorf("it tries %+v", d.applying)
	}
	d.tried(bad)
	if d.session.LastDecided() != 5 || d.session.Applied() != 3 {
		t.Errorf("held %d, in force %d", d.session.LastDecided(), d.session.Applied())
	}
}

// A controller that takes a configuration for known that the node has not is asked anew, ever more slowly.
func TestMissingConfiguration(t *testing.T) {
	d, w := connected(t, SessionOptions{})
	for range 100 {
		d.update(w.Watch, configapi.Update{Cluster: "x", Version: 7, ConfigVersion: 7, Current: true})
		if _, still := d.open[w.Watch]; still || d.session.Applied() != 0 {
			t.Fatal("the watch stays open")
		}
		w = d.nextWatch(openMaxBackoff)
	}
	if d.now < 60*time.Second {
		t.Errorf("100 watches in %v", d.now)
	}
	d.update(w.Watch, version("x", 7))
	d.tried(nil)
	if d.session.Applied() != 7 {
		t.Errorf("%d is in force", d.session.Applied())
	}
}

// An apply that could not be tried is not answered, and the version is tried when it comes again.
func TestInterruptedApply(t *testing.T) {
	d, w := connected(t, SessionOptions{})
	d.update(w.Watch, version("x", 1))
	d.applying = nil
	d.step(ApplyFinished{Interrupted: true})
	if len(d.answers) != 0 || d.session.LastDecided() != 0 {
		t.Errorf("it answered %+v", d.answers)
	}
	d.update(w.Watch, version("x", 1))
	d.tried(nil)
	if d.session.Applied() != 1 {
		t.Errorf("%d is in force", d.session.Applied())
	}
}

// Acknowledgements are repeated until they are answered, ever more slowly, and go on at the next controller.
func TestAcknowledgementsAreRepeated(t *testing.T) {
	d, w := connected(t, SessionOptions{})
	d.update(w.Watch, version("x", 1))
	d.tried(nil)
	for range 5 {
		d.acked(false)
		if !d.until(d.now+ackMaxBackoff, func() bool { return d.ack != nil }) {
			t.Fatal("it is not repeated")
		}
		d.step(WatchActivity{Watch: w.Watch})
	}
	d.acked(false)
	d.step(WatchEnded{w.Watch})
	next := d.nextWatch(reconnectJitter)
	if d.ack != nil {
		t.Error("an acknowledgement goes to nobody")
	}
	d.update(next.Watch, version("x", 1))
	if d.ack == nil || d.ack.Address != next.Address || d.ack.Ack.Session != next.Watch || d.ack.Ack.Version != 1 {
		t.Errorf("at the next controller: %+v", d.ack)
	}
	d.acked(true)
	d.beat(next.Watch, 10*time.Second)
	if d.ack != nil {
		t.Error("it is repeated after its answer")
	}
}

// Versions of another cluster are rejected, each once, until an operator hands the node's cluster over; then they are
// taken, and the old cluster's are rejected.
func TestAnotherCluster(t *testing.T) {
	d, w := connected(t, SessionOptions{})
	d.update(w.Watch, version("x", 5))
	d.tried(nil)
	d.acked(true)
	for range 3 {
		d.update(w.Watch, version("y", 9))
	}
	if d.applying != nil || d.session.Applied() != 5 || d.session.Cluster() != "x" {
		t.Errorf("it tries %+v, %d of %s is in force", d.applying, d.session.Applied(), d.session.Cluster())
	}
	if len(d.acks) != 2 || d.ack.Ack.Cluster != "y" || d.ack.Ack.Rejection.Kind != configapi.RejectForeign || d.ack.Ack.Applied != 0 {
		t.Errorf("it acknowledged %+v", d.acks)
	}
	d.acked(true)
	handed := version("y", 10)
	handed.Replaces = []configapi.Cluster{"x"}
	d.update(w.Watch, handed)
	d.tried(nil)
	if d.session.Applied() != 10 || d.session.Cluster() != "y" || d.kept.Former["x"] != 5 {
		t.Errorf("%d of %s is in force, kept %+v", d.session.Applied(), d.session.Cluster(), d.kept)
	}
	d.acked(true)
	back := version("x", 5)
	back.Replaces = []configapi.Cluster{"y"}
	d.update(w.Watch, back)
	if d.applying != nil || d.session.Cluster() != "y" {
		t.Error("a version of the cluster that it has left brings it back")
	}
	back = version("x", 6)
	back.Replaces = []configapi.Cluster{"y"}
	d.update(w.Watch, back)
	d.tried(nil)
	if d.session.Cluster() != "x" || d.session.Applied() != 6 {
		t.Errorf("a new version there that an operator confirms: %d of %s", d.session.Applied(), d.session.Cluster())
	}
}

// A node that was kept at a version starts there.
func TestStartFromWhatWasKept(t *testing.T) {
	d := newDriver(t, SessionOptions{Controllers: []string{"a:1"}, LastKnownGood: LastKnownGood{Cluster: "x", Version: 8, Config: config(8)}})
	w := d.nextWatch(InitialConnectJitter)
	if r := w.Request; r.Cluster != "x" || r.LastDecided != 8 || r.Applied != 8 || r.LastRejected {
		t.Errorf("it asks with %+v", r)
	}
	d.update(w.Watch, version("x", 7))
	d.update(w.Watch, version("y", 9))
	if d.applying != nil {
		t.Errorf("it tries %+v", d.applying)
	}
}

func TestKeptSupersedes(t *testing.T) {
	former := func(c configapi.Cluster, v configapi.Version) map[configapi.Cluster]configapi.Version {
		return map[configapi.Cluster]configapi.Version{c: v}
	}
	for name, c := range map[string]struct {
		k, other LastKnownGood
		want     bool
	}{
		"newer":                   {LastKnownGood{Cluster: "x", Version: 2}, LastKnownGood{Cluster: "x", Version: 1}, true},
		"same":                    {LastKnownGood{Cluster: "x", Version: 2}, LastKnownGood{Cluster: "x", Version: 2}, false},
		"older":                   {LastKnownGood{Cluster: "x", Version: 1}, LastKnownGood{Cluster: "x", Version: 2}, false},
		"of another cluster":      {LastKnownGood{Cluster: "y", Version: 9}, LastKnownGood{Cluster: "x", Version: 2}, false},
		"of one that took over":   {LastKnownGood{Cluster: "y", Version: 1, Former: former("x", 2)}, LastKnownGood{Cluster: "x", Version: 2}, true},
		"of the one that is left": {LastKnownGood{Cluster: "x", Version: 2}, LastKnownGood{Cluster: "y", Version: 1, Former: former("x", 2)}, false},
		"taken over and back": {LastKnownGood{Cluster: "x", Version: 3, Former: former("y", 1)},
			LastKnownGood{Cluster: "y", Version: 1, Former: former("x", 2)}, true},
		"before it came back": {LastKnownGood{Cluster: "y", Version: 1, Former: former("x", 2)},
			LastKnownGood{Cluster: "x", Version: 3, Former: former("y", 1)}, false},
	} {
		if got := c.k.Supersedes(c.other); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
