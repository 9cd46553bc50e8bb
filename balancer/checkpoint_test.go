package balancer

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A capture begins with a checkpoint, and its replay starts with a restored Balancer. A Balancer that is
// restored from a checkpoint again and again in the middle of random events must make the same decisions as
// one that is never restored.
func TestRestoredBalancerMakesTheSameDecisions(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		set := randomTestSettings()
		set.Tier, set.PollDiscovery = int(seed%2), seed%3 == 0
		if seed%2 == 0 {
			set.FaultInjections = randomTestFaultInjections
		}
		c := newChecker(set)
		c.keepEvents = true
		want, _ := runRandomEvents(t, set, seed, 3000, c)
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for i, s := range c.events {
			if i%37 == 0 {
				b = restoreFromCheckpoint(t, set, b)
			}
			for _, a := range b.Handle(s.at, s.event) {
				got = append(got, fmt.Sprintf("%v %T%v", s.at, a, a))
			}
		}
		if !reflect.DeepEqual(got, want) {
			for i := range want {
				if i >= len(got) || got[i] != want[i] {
					t.Errorf("seed %d: action %d of %d differs, want %s", seed, i, len(want), want[i])
					break
				}
			}
		}
	}
}

// restoreFromCheckpoint restores a Balancer from its checkpoint, and requires the checkpoint of the restored
// one to be identical.
func restoreFromCheckpoint(t *testing.T, set Settings, b *Balancer) *Balancer {
	t.Helper()
	text, err := b.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	n, err := Restore(set, text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := n.Checkpoint()
	if err != nil || !bytes.Equal(again, text) {
		t.Fatalf("the checkpoint of the restored Balancer differs, error %v", err)
	}
	return n
}

// A field that is missing from the checkpoint is lost without an error. Whoever adds a field must change the
// number here after adding it to the checkpoint, unless it need not be stored.
func TestCheckpointCoversEveryField(t *testing.T) {
	for v, want := range map[any]int{&Balancer{}: 23, &pool{}: 19, &keyQueue{}: 3, &class{}: 8, &server{}: 13,
		&request{}: 15, &attempt{}: 10, &faultInjector{}: 4} {
		if n := reflect.TypeOf(v).Elem().NumField(); n != want {
			t.Errorf("%T has %d fields, but the checkpoint was written for %d", v, n, want)
		}
	}
}

// A damaged checkpoint, or one taken with other settings, must lead to an error that the caller can identify,
// never to a Balancer in an inconsistent state.
func TestInvalidCheckpointsAreRejected(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	b.Handle(0, Request{ID: "r", Class: "pay", Deadline: time.Second})
	text, err := b.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{{"{", "["}, {`"Random":"`, `"Random":"AAAA`}, {`"Ready":[0`, `"Ready":[7`},
		{`"Class":2`, `"Class":9`}, {`"Server":`, `"Server":9`}, {`"Mapped":2`, `"Mapped":3`}} {
		broken := strings.Replace(string(text), change[0], change[1], 1)
		if broken == string(text) {
			t.Errorf("no %s in %s", change[0], text)
		}
		if _, err := Restore(testSettings(), []byte(broken)); !errors.Is(err, ErrInvalidCheckpoint) {
			t.Errorf("%s in place of %s: error %v", change[1], change[0], err)
		}
	}
	set := testSettings()
	set.Classes = set.Classes[:1]
	if _, err := Restore(set, text); !errors.Is(err, ErrInvalidCheckpoint) {
		t.Errorf("other settings: error %v", err)
	}
}
