package configversion

import (
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A controller hangs, and its connections stay open. The node opens a second watch beside the silent one after 1.0 to
// 1.2 s, and closes the silent one when the second brings an update.
func TestSilentWatchIsHedged(t *testing.T) {
	for seed := range uint64(50) {
		d, first := newConnectedDriver(t, SessionOptions{Seed: seed})
		d.advanceWithHeartbeats(first.Watch, 5*time.Second)
		silentSince := d.now
		second := d.nextWatch(configapi.SilenceTimeout)
		if delay := d.now - silentSince; delay < configapi.SilenceTimeout-silenceJitter {
			t.Errorf("a second watch after %v", delay)
		}
		if second.Address == first.Address || len(d.open) != 2 {
			t.Errorf("a second watch at %s beside %s, %d open", second.Address, first.Address, len(d.open))
		}
		d.update(second.Watch, versionUpdate("x", 1))
		if _, isOpen := d.open[first.Watch]; isOpen || len(d.open) != 1 || d.session.Controller() != second.Address {
			t.Errorf("%d watches open, the main one at %s", len(d.open), d.session.Controller())
		}
		if d.applying == nil {
			t.Error("the version is not applied")
		}
	}
}

// A version is published just as the controller stalls, and the next controller that the node tries has stalled with
// it. The version still has to be in force within 3 s: the node starts to apply it within 2.5 s.
func TestTwoStalledControllers(t *testing.T) {
	const maxDelay = 2500 * ms
	for seed := range uint64(200) {
		d, first := newConnectedDriver(t, SessionOptions{Seed: seed})
		d.advanceWithHeartbeats(first.Watch, time.Second)
		published := d.now
		d.nextWatch(maxDelay)
		third := d.nextWatch(maxDelay)
		d.update(third.Watch, versionUpdate("x", 1))
		if delay := d.now - published; d.applying == nil || delay > maxDelay {
			t.Fatalf("seed %d: applied after %v", seed, delay)
		}
	}
}

// A controller is silent for a moment and then sends heartbeats again. The node stays with it and closes the watch that
// it has opened beside it.
func TestSilentWatchRecovers(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	second := d.nextWatch(configapi.SilenceTimeout)
	d.step(WatchActivity{Watch: first.Watch})
	if _, isOpen := d.open[second.Watch]; isOpen || d.session.Controller() != first.Address {
		t.Errorf("%d watches open, the main one at %s", len(d.open), d.session.Controller())
	}
}

// A controller begins an update and trickles it for ever. Bytes keep coming, but the watch counts as silent.
func TestIncompleteUpdateCountsAsSilence(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	updateStartedAt := d.now
	for range 20 {
		d.step(WatchActivity{Watch: first.Watch, UpdateInProgress: true})
		d.advance(100 * ms)
	}
	if len(d.open) < 2 || d.openedAt[1]-updateStartedAt > configapi.SilenceTimeout {
		t.Errorf("%d watches open", len(d.open))
	}
}
