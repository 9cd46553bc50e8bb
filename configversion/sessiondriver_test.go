package configversion

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const ms = time.Millisecond

// tester is the part of testing.TB that a driver needs. *rapid.T implements it, too.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// driver runs a session against controllers that a test simulates. It advances virtual time, calls the session when it
// is due, and records the session's actions.
type driver struct {
	t         tester
	session   *Session
	now       time.Duration
	open      map[uint64]OpenWatch
	opened    []OpenWatch
	openedAt  []time.Duration
	applying  *ApplyConfig
	ack       *SendAck
	acks      []configapi.Acknowledgement
	decisions []VersionDecided
	persisted *LastKnownGood
}

func newDriver(t tester, options SessionOptions) *driver {
	if options.Node == "" {
		options.Node, options.Service, options.StartedMS = "n", "s", 1
	}
	return &driver{t: t, session: NewSession(options, 0), open: map[uint64]OpenWatch{}}
}

// step passes an event to the session at the current virtual time.
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
			if _, isOpen := d.open[a.Watch]; !isOpen {
				d.t.Fatalf("the session closes watch %d, which is not open", a.Watch)
			}
			delete(d.open, a.Watch)
		case ApplyConfig:
			if d.applying != nil {
				d.t.Fatal("the session applies two versions at once")
			}
			d.applying = &a
		case SendAck:
			if d.ack != nil {
				d.t.Fatal("the session sends two acknowledgements at once")
			}
			d.ack = &a
			d.acks = append(d.acks, a.Ack)
		case Persist:
			d.persisted = &a.LastKnownGood
		case VersionDecided:
			d.decisions = append(d.decisions, a)
		}
	}
	if next := d.session.Next(); next <= d.now {
		d.t.Fatalf("at %v, the session's next wake-up is already due at %v", d.now, next)
	}
}

// advanceUntil advances the time, with a Tick whenever the session is due, until a condition holds or the end is
// reached. It reports whether the condition holds.
func (d *driver) advanceUntil(end time.Duration, condition func() bool) bool {
	d.t.Helper()
	for !condition() {
		if d.session.Next() > end {
			d.now = end
			return false
		}
		d.now = max(d.now, d.session.Next())
		d.step(Tick{})
	}
	return true
}

// advance advances the time by a duration, with a Tick whenever the session is due.
func (d *driver) advance(duration time.Duration) {
	d.t.Helper()
	d.advanceUntil(d.now+duration, func() bool { return false })
}

// advanceWithHeartbeats advances the time by a duration, with heartbeats on a watch.
func (d *driver) advanceWithHeartbeats(watch uint64, duration time.Duration) {
	d.t.Helper()
	for end := d.now + duration; d.now < end; {
		d.advance(min(configapi.HeartbeatInterval, end-d.now))
		d.step(WatchActivity{Watch: watch})
	}
}

// nextWatch advances the time until a watch is opened, and returns it.
func (d *driver) nextWatch(timeout time.Duration) OpenWatch {
	d.t.Helper()
	openedBefore := len(d.opened)
	if !d.advanceUntil(d.now+timeout, func() bool { return len(d.opened) > openedBefore }) {
		d.t.Fatalf("no watch was opened within %v", timeout)
	}
	return d.opened[openedBefore]
}

func (d *driver) update(watch uint64, u configapi.Update) {
	d.t.Helper()
	d.step(WatchUpdated{watch, u})
}

// finishApply ends the apply in progress; rejection nil: the configuration is applied.
func (d *driver) finishApply(rejection *configapi.Rejection) {
	d.t.Helper()
	if d.applying == nil {
		d.t.Fatal("no version is being applied")
	}
	d.applying = nil
	d.step(ApplyFinished{Rejection: rejection})
}

// finishAck ends the acknowledgement in flight.
func (d *driver) finishAck(accepted bool) {
	d.t.Helper()
	if d.ack == nil {
		d.t.Fatal("no acknowledgement is in flight")
	}
	d.ack = nil
	d.step(AckFinished{accepted})
}

var invalidRejection = &configapi.Rejection{Kind: configapi.RejectInvalid, Message: "no"}

func config(n int) *configapi.ServiceConfig {
	return &configapi.ServiceConfig{Settings: json.RawMessage(fmt.Sprint(n))}
}

// versionUpdate returns an update with a version that sets the service's configuration.
func versionUpdate(cluster configapi.Cluster, n int) configapi.Update {
	return configapi.Update{Cluster: cluster, Version: configapi.Version(n), ConfigVersion: configapi.Version(n), Config: config(n), HasLeaderContact: true}
}

// emptyUpdate returns an update of a cluster that has no version yet.
func emptyUpdate(cluster configapi.Cluster) configapi.Update {
	return configapi.Update{Cluster: cluster, HasLeaderContact: true}
}

var threeControllers = []configapi.ControllerAddress{{Address: "a:1", Region: "east", Zone: "a"}, {Address: "b:1", Region: "east", Zone: "b"},
	{Address: "c:1", Region: "west", Zone: "a"}}

func addressesOf(controllers []configapi.ControllerAddress) (addresses []string) {
	for _, controller := range controllers {
		addresses = append(addresses, controller.Address)
	}
	return addresses
}

// newConnectedDriver returns a driver whose session has a live watch, and that watch.
func newConnectedDriver(t testing.TB, options SessionOptions) (*driver, OpenWatch) {
	t.Helper()
	if options.Controllers == nil {
		options.Controllers = addressesOf(threeControllers)
	}
	d := newDriver(t, options)
	w := d.nextWatch(InitialConnectJitter)
	d.update(w.Watch, emptyUpdate("x"))
	return d, w
}
