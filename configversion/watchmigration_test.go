package configversion

import (
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A node that is asked to migrate closes its old watch only after the new one has received an update.
func TestMigrationOpensNewWatchBeforeClosingOld(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	move := emptyUpdate("x")
	move.MigrateTo = "m:1"
	d.deliverUpdate(first.Watch, move)
	second := d.watchHistory[len(d.watchHistory)-1]
	if second.Address != "m:1" || len(d.openWatches) != 2 {
		t.Fatalf("%d watches are open, the last one at %s", len(d.openWatches), second.Address)
	}
	d.deliverUpdate(second.Watch, emptyUpdate("x"))
	if _, isOpen := d.openWatches[first.Watch]; isOpen || d.session.Controller() != "m:1" {
		t.Error("the session has not migrated")
	}
}

// The target of a migration ends the watch, rejects it or does not respond. The node keeps its controller, ignores the
// next request, and follows a later one.
func TestFailedMigrationIsNotRetriedImmediately(t *testing.T) {
	for name, fail := range map[string]func(d *driver, w uint64){
		"ended":     func(d *driver, w uint64) { d.step(WatchEnded{w}) },
		"rejected":  func(d *driver, w uint64) { d.step(WatchRejected{w, configapi.Error{Kind: configapi.ErrorNoCapacity}}) },
		"no answer": func(d *driver, _ uint64) { d.advance(openTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			d, first := newConnectedDriver(t, SessionOptions{})
			move := emptyUpdate("x")
			move.MigrateTo = "m:1"
			d.deliverUpdate(first.Watch, move)
			fail(d, d.watchHistory[1].Watch)
			d.deliverUpdate(first.Watch, move)
			if len(d.openWatches) != 1 || len(d.watchHistory) != 2 || d.session.Controller() != first.Address {
				t.Errorf("%d watches are open, %d were opened, the main one is at %s", len(d.openWatches), len(d.watchHistory), d.session.Controller())
			}
			d.advanceWithHeartbeats(first.Watch, migrationRetryDelay)
			d.deliverUpdate(first.Watch, move)
			if len(d.watchHistory) != 3 {
				t.Error("a later request is ignored")
			}
		})
	}
}
