package configversion

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const ms = time.Millisecond

// testingT is the part of testing.TB that a driver needs. With it, property tests can pass a *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// driver runs a session against controllers that a test simulates. It advances virtual time, sends the session a Tick
// at each wake-up time, and records the session's actions.
type driver struct {
	t            testingT
	session      *Session
	now          time.Duration
	openWatches  map[uint64]OpenWatch        // open now, by their number
	watchHistory []OpenWatch                 // all watches that the session has opened, in order
	openedAt     []time.Duration             // when each watch of watchHistory was opened
	applying     *ApplyConfig                // the version being applied; nil: none
	ackInFlight  *SendAck                    // nil: none
	acks         []configapi.Acknowledgement // all acknowledgements sent, in order
	decisions    []VersionDecided            // all decisions on versions, in order
	persisted    *LastKnownGood              // the version persisted last; nil: none
}

func newDriver(t testingT, options SessionOptions) *driver {
	if options.Node == "" {
		options.Node, options.Service, options.StartedMS = "n", "s", 1
	}
	return &driver{t: t, session: NewSession(options, 0), openWatches: map[uint64]OpenWatch{}}
}

// step passes an event to the session at the current virtual time.
func (d *driver) step(event SessionEvent) {
	d.t.Helper()
	switch e := event.(type) {
	case WatchEnded:
		delete(d.openWatches, e.Watch)
	case WatchRejected:
		delete(d.openWatches, e.Watch)
	}
	for _, action := range d.session.Step(d.now, event) {
		switch a := action.(type) {
		case OpenWatch:
			d.openWatches[a.Watch] = a
			d.watchHistory = append(d.watchHistory, a)
			d.openedAt = append(d.openedAt, d.now)
		case CloseWatch:
			if _, isOpen := d.openWatches[a.Watch]; !isOpen {
				d.t.Fatalf("the session closes watch %d, which is not open", a.Watch)
			}
			delete(d.openWatches, a.Watch)
		case ApplyConfig:
			if d.applying != nil {
				d.t.Fatal("the session applies two versions at once")
			}
			d.applying = &a
		case SendAck:
			if d.ackInFlight != nil {
				d.t.Fatal("the session sends two acknowledgements at once")
			}
			d.ackInFlight = &a
			d.acks = append(d.acks, a.Ack)
		case Persist:
			d.persisted = &a.LastKnownGood
		case VersionDecided:
			d.decisions = append(d.decisions, a)
		}
	}
	if next := d.session.Next(); next <= d.now {
		d.t.Fatalf("the session asks to be woken at %v, which is not after the current time %v", next, d.now)
	}
}

// advanceUntil advances the time until a condition holds or the end is reached. It sends a Tick at each wake-up time of
// the session. It reports whether the condition holds.
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

// advance advances the time by a duration. It sends a Tick at each wake-up time of the session.
func (d *driver) advance(duration time.Duration) {
	d.t.Helper()
	d.advanceUntil(d.now+duration, func() bool { return false })
}

// advanceWithHeartbeats advances the time by a duration. A heartbeat arrives on a watch every HeartbeatInterval
// and at the end.
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
	openedBefore := len(d.watchHistory)
	if !d.advanceUntil(d.now+timeout, func() bool { return len(d.watchHistory) > openedBefore }) {
		d.t.Fatalf("no watch was opened within %v", timeout)
	}
	return d.watchHistory[openedBefore]
}

// deliverUpdate passes an update to the session as if it had arrived on a watch.
func (d *driver) deliverUpdate(watch uint64, u configapi.Update) {
	d.t.Helper()
	d.step(WatchUpdated{watch, u})
}

// finishApply ends the apply in progress. The node has applied the configuration if rejection is nil, and has rejected
// it otherwise.
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
	if d.ackInFlight == nil {
		d.t.Fatal("no acknowledgement is in flight")
	}
	d.ackInFlight = nil
	d.step(AckFinished{accepted})
}

var invalidConfigRejection = &configapi.Rejection{Kind: configapi.RejectInvalid, Message: "no"}

// config returns a service configuration that differs for each n.
func config(n int) *configapi.ServiceConfig {
	return &configapi.ServiceConfig{Settings: json.RawMessage(fmt.Sprint(n))}
}

// versionUpdate returns an update to version n, which sets the service's configuration to config(n).
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

// newConnectedDriver returns a driver and the open watch of its session, on which a first update has arrived.
func newConnectedDriver(t testing.TB, options SessionOptions) (*driver, OpenWatch) {
	t.Helper()
	if options.Controllers == nil {
		options.Controllers = addressesOf(threeControllers)
	}
	d := newDriver(t, options)
	w := d.nextWatch(InitialConnectJitter)
	d.deliverUpdate(w.Watch, emptyUpdate("x"))
	return d, w
}
