package configversion

import (
	"testing"
	"time"
)

// A partition cuts a controller off from the leader, but the controller still sends heartbeats. After a delay, its
// nodes search for a current controller with a bounded number of probes. They stay while there is none, and switch when
// they find one.
func TestSearchForCurrentController(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	stale := emptyUpdate("x")
	stale.HasLeaderContact = false
	d.deliverUpdate(first.Watch, stale)
	staleSince := d.now
	advanceMinuteWithoutLeader := func() {
		for end := d.now + time.Minute; d.now < end; {
			d.advance(100 * ms)
			d.step(WatchActivity{Watch: first.Watch})
			for id, w := range d.openWatches {
				if w.Address != first.Address {
					d.deliverUpdate(id, stale)
				}
			}
		}
	}
	advanceMinuteWithoutLeader()
	if d.openedAt[1]-staleSince < searchDelay || d.openedAt[1]-staleSince > searchDelay+searchJitter+100*ms {
		t.Errorf("the first probe started after %v", d.openedAt[1]-staleSince)
	}
	if n := len(d.watchHistory) - 1; n < 6 || n > 2*12 {
		t.Errorf("%d probes in a minute", n)
	}
	if d.session.Controller() != first.Address || len(d.openWatches) > 2 {
		t.Errorf("%d watches are open, the main one at %s", len(d.openWatches), d.session.Controller())
	}
	for id, w := range d.openWatches { // a probe may still be open
		if w.Address != first.Address {
			d.step(WatchEnded{id})
		}
	}
	second := OpenWatch{}
	for second.Watch == 0 {
		d.advanceWithHeartbeats(first.Watch, 100*ms)
		for id, w := range d.openWatches {
			if id != first.Watch {
				second = w
			}
		}
	}
	d.deliverUpdate(second.Watch, versionUpdate("x", 1))
	if d.session.Controller() != second.Address || len(d.openWatches) != 1 {
		t.Errorf("%d watches are open, the main one at %s", len(d.openWatches), d.session.Controller())
	}
}

// A leader election ends within half a second, as most do. No node opens a second watch.
func TestShortElectionStartsNoSearch(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	stale := emptyUpdate("x")
	stale.HasLeaderContact = false
	d.deliverUpdate(first.Watch, stale)
	d.advance(searchDelay - ms)
	d.deliverUpdate(first.Watch, emptyUpdate("x"))
	d.advanceWithHeartbeats(first.Watch, 10*time.Second)
	if len(d.watchHistory) != 1 {
		t.Errorf("%d watches were opened", len(d.watchHistory))
	}
}
