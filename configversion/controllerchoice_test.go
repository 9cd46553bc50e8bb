package configversion

import (
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A node that knows the locations of controllers tries those in its zone first, then those in its region, then the
// others, and finally those that only its settings name.
func TestNearestControllerIsTriedFirst(t *testing.T) {
	d := newDriver(t, SessionOptions{Controllers: []string{"old:1"}, Region: "east", Zone: "b", LastKnownGood: LastKnownGood{Cluster: "x", Controllers: threeControllers}})
	for _, want := range []string{"b:1", "a:1", "c:1", "old:1"} {
		w := d.nextWatch(3 * time.Second)
		if w.Address != want {
			t.Errorf("the watch is at %s, want %s", w.Address, want)
		}
		d.step(WatchEnded{w.Watch})
	}
}

// A controller has no capacity and names alternatives. The node tries them immediately. Each request contains the
// number of rejections so far, so that the node is not redirected forever.
func TestRejectedWatchFollowsRedirects(t *testing.T) {
	d := newDriver(t, SessionOptions{Controllers: []string{"a:1"}})
	first := d.nextWatch(InitialConnectJitter)
	noCapacity := configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: []configapi.ControllerAddress{{Address: "d:1"}, {Address: "e:1"}}}
	d.step(WatchRejected{first.Watch, noCapacity})
	second := d.nextWatch(redirectJitter)
	d.step(WatchRejected{second.Watch, configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: []configapi.ControllerAddress{{Address: "a:1"}, {Address: "e:1"}}}})
	third := d.nextWatch(redirectJitter)
	if second.Address != "d:1" || third.Address != "e:1" || second.Request.WatchRejections != 1 || third.Request.WatchRejections != 2 {
		t.Errorf("the second watch is %+v, the third %+v", second, third)
	}
	d.deliverUpdate(third.Watch, emptyUpdate("x"))
	d.step(WatchEnded{third.Watch})
	if w := d.nextWatch(reconnectJitter); w.Request.WatchRejections != 0 {
		t.Errorf("after a session, the request reports %d rejections", w.Request.WatchRejections)
	}
}
