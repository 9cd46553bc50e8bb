package configversion

import (
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A whole fleet is restarted at once. If all nodes connected to the same controller at the same moment, it would reject
// most of them. Their first watches are therefore spread over a second and over the controllers.
func TestFirstWatchesAreJittered(t *testing.T) {
	const nodes = 700
	perController := map[string]int{}
	perTenth := [10]int{}
	for seed := range uint64(nodes) {
		d := newDriver(t, SessionOptions{Controllers: addressesOf(threeControllers), Seed: seed})
		w := d.nextWatch(InitialConnectJitter)
		perController[w.Address]++
		perTenth[d.now*10/InitialConnectJitter]++
	}
	for address, n := range perController {
		if n < nodes/3-60 || n > nodes/3+60 {
			t.Errorf("%d of %d first watches are at %s", n, nodes, address)
		}
	}
	for i, n := range perTenth {
		if n < nodes/10-35 || n > nodes/10+35 {
			t.Errorf("%d of %d first watches are in tenth %d of the interval", n, nodes, i)
		}
	}
}

// No controller can be reached for a minute. The node must not overload the controllers with watches, and must notice
// soon when one recovers: it opens a watch at least every 1.5 s, and not much more often.
func TestOpenBackoffIsBounded(t *testing.T) {
	for name, fail := range map[string]func(d *driver){
		"ended immediately": func(d *driver) {
			for id := range d.openWatches {
				d.step(WatchEnded{id})
			}
		},
		"no response": func(*driver) {},
		"no capacity": func(d *driver) {
			for id := range d.openWatches {
				d.step(WatchRejected{id, configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: threeControllers}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, SessionOptions{Controllers: addressesOf(threeControllers)})
			for d.now < time.Minute {
				d.nextWatch(openMaxBackoff + InitialConnectJitter)
				fail(d)
				if len(d.openWatches) > maxOpening {
					t.Fatalf("%d watches are open", len(d.openWatches))
				}
			}
			if n := len(d.watchHistory); n < 40 || n > 100 {
				t.Errorf("%d watches in a minute", n)
			}
		})
	}
}

// A controller crashes, and its watches end. The next watch opens within 400 ms, at another controller.
func TestLostWatchReopensElsewhere(t *testing.T) {
	d, first := newConnectedDriver(t, SessionOptions{})
	d.step(WatchEnded{first.Watch})
	if w := d.nextWatch(reconnectJitter); w.Address == first.Address {
		t.Error("the next watch is at the controller that was just lost")
	}
}

// A controller omits a configuration because it assumes that the node has applied it, but the node does not have it.
// The node opens a new watch, whose request contains the applied version, and backs off if the configuration still does
// not arrive.
func TestMissingConfigurationReopensWithBackoff(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	for range 100 {
		d.deliverUpdate(w.Watch, configapi.Update{Cluster: "x", Version: 7, ConfigVersion: 7, HasLeaderContact: true})
		if _, isOpen := d.openWatches[w.Watch]; isOpen || d.session.Applied() != 0 {
			t.Fatalf("watch open: %v, version in force: %d; want a closed watch and no version", isOpen, d.session.Applied())
		}
		w = d.nextWatch(openMaxBackoff)
	}
	if d.now < 60*time.Second {
		t.Errorf("100 watches were opened within %v", d.now)
	}
	d.deliverUpdate(w.Watch, versionUpdate("x", 7))
	d.finishApply(nil)
	if d.session.Applied() != 7 {
		t.Errorf("version %d is in force", d.session.Applied())
	}
}
