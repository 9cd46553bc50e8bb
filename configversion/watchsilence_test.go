package configversion

import (
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A controller hangs, and its connections stay open. The node opens a second watch after 1.0 to 1.2 s of silence, and
// closes the silent one when the second watch receives an update.
func TestSilentWatchIsHedged(t *testing.T) {
	for seed := range uint64(50) {
		d, first := newConnectedDriver(t, SessionOptions{Seed: seed})
		d.advanceWithHeartbeats(first.Watch, 5*time.Second)
		silentSince := d.now
		second := d.nextWatch(configapi.SilenceTimeout)
		if delay := d.now - silentSince; delay < configapi.SilenceTimeout-silenceJitter {
			t.Errorf("the second watch opened after %v of silence", delay)
		}
		if second.Address == first.Address || len(d.openWatches) != 2 {
			t.Errorf("the second watch is at %s, the first at %s, and %d are open", second.Address, first.Address, len(d.openWatches))
		}
		d.deliverUpdate(second.Watch, versionUpdate("x", 1))
		if _, isOpen := d.openWatches[first.Watch]; isOpen || len(d.openWatches) != 1 || d.session.Controller() != second.Address {
			t.Errorf("%d watches are open, the main one at %s", len(d.openWatches), d.session.Controller())
		}
		if d.applying == nil {
			t.Error("the version is not applied")
		}
	}
}

// A version is published just as the node's controller and the next one that it tries stall. The version still has to
// be in force within 3 s, so the node starts to apply it within 2.5 s.
func TestTwoStalledControllers(t *testing.T) {
	const maxDelay = 2500 * ms
	for seed := range uint64(200) {
		d, first := newConnectedDriver(t, SessionOptions{Seed: seed})
		d.advanceWithHeartbeats(first.Watch, time.Second)
		published := d.now
		d.nextWatch(maxDelay)
		third := d.nextWatch(maxDelay)
		d.deliverUpdate(third.Watch, versionUpdate("x", 1))
		if delay := d.now - published; d.applying == nil || delay > maxDelay {
			t.Fatalf("seed %d: the version arrived after %v, being applied: %v", seed, delay, d.applying != nil)
		}
	}
}

// A controller is silent for a moment and then sends heartbeats again. The node stays with it, and closes the second
// watch that it has opened in the meantime.
func TestSilentWatchRecovers(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	second := d.nextWatch(configapi.SilenceTimeout)
	d.step(WatchActivity{Watch: first.Watch})
	if _, isOpen := d.openWatches[second.Watch]; isOpen || d.session.Controller() != first.Address {
		t.Errorf("%d watches are open, the main one at %s", len(d.openWatches), d.session.Controller())
	}
}

// A controller starts an update and sends it byte by byte without ever completing it. The watch counts as silent,
// although bytes keep arriving.
func TestIncompleteUpdateCountsAsSilence(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	updateStartedAt := d.now
	for range 20 {
		d.step(WatchActivity{Watch: first.Watch, UpdateInProgress: true})
		d.advance(100 * ms)
	}
	if len(d.openWatches) < 2 || d.openedAt[1]-updateStartedAt > configapi.SilenceTimeout {
		t.Errorf("%d watches are open", len(d.openWatches))
	}
}
