package balancer

import (
	"testing"
	"time"
)

// Settings change while requests are open. A request keeps the effect and the limit on attempts that were in force when
// it arrived, however its class changes. Otherwise a request that must not run twice might be sent again. The next
// request gets the new effect and limit. A checkpoint in between changes nothing.
func TestOpenRequestsKeepTheirSettings(t *testing.T) {
	nonIdempotent := func(s *Settings) { s.Classes[0].Effect = NonIdempotent }
	for name, c := range map[string]struct {
		change                 func(*Settings)
		settingsVersion        int // that the new request's ingress had seen
		before                 bool
		oldRetried, newRetried bool // whether the request is retried after an attempt that may have run
	}{
		"another effect":                      {nonIdempotent, 1, true, true, false},
		"ingress not notified yet":            {nonIdempotent, 0, true, true, true},
		"fewer attempts":                      {func(s *Settings) { s.MaxAttempts = 1 }, 1, true, true, false},
		"class removed":                       {func(s *Settings) { s.Classes = s.Classes[1:] }, 1, true, true, false},
		"class removed, ingress not notified": {func(s *Settings) { s.Classes = s.Classes[1:] }, 0, true, true, true},
		"invalid settings":                    {func(s *Settings) { s.Classes[0].Deadline = 0 }, 0, false, true, true},
		"unchanged settings":                  {func(*Settings) {}, 1, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, completeList(4))
			first := sends(b.Handle(0, newRequest("old", "get", 0, time.Second)))
			set := testSettings()
			c.change(&set)
			b.Handle(millisecond, SettingsChanged{Settings: set})
			b = restoreFromCheckpoint(t, b.settings, b)
			if got := len(sends(endAttempt(b, 2*millisecond, "old", first[0], Failure))) > 0; got != c.oldRetried {
				t.Errorf("the open request was retried: %v, want %v", got, c.oldRetried)
			}
			r := newRequest("new", "get", 3*millisecond, time.Second)
			r.SettingsVersion = c.settingsVersion
			second := sends(b.Handle(3*millisecond, r))
			if got := len(sends(endAttempt(b, 4*millisecond, "new", second[0], Failure))) > 0; got != c.newRetried {
				t.Errorf("the new request was retried: %v, want %v", got, c.newRetried)
			}
		})
	}
}

// A change of settings must not reset the learned latencies: until they were learned again, the node would time out and
// shed requests wrongly. Unchanged classes keep everything that was learned. A changed class keeps its latency.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, completeList(4))
	b.classes["get"].samples, b.classes["get"].meanLatency = 100, 7
	b.classes["pay"].samples, b.classes["pay"].meanLatency = 100, 9
	b.pools[0].window = 33
	set := testSettings()
	set.Classes[2].Effect = Idempotent
	b.Handle(0, SettingsChanged{Settings: set})
	if b.classes["get"].meanLatency != 7 || b.classes["pay"].meanLatency != 9 || b.pools[0].window != 33 {
		t.Errorf("mean latency of get %v, of pay %v, window %v; want 7, 9, 33", b.classes["get"].meanLatency, b.classes["pay"].meanLatency, b.pools[0].window)
	}
	for range 50 { // neither classes nor pools accumulate
		set.Classes[0].AllowedKinds = nil
		b.Handle(0, SettingsChanged{Settings: set})
		set.Classes[0].AllowedKinds = []string{"k"}
		b.Handle(0, SettingsChanged{Settings: set})
	}
	if len(b.pools) > 3 || len(b.classList) != 4 {
		t.Errorf("%d pools and %d classes, want at most 3 pools and 4 classes", len(b.pools), len(b.classList))
	}
}

// A request is queued in a pool that the new settings no longer have. It must still be sent when the attempt that fills
// the pool's window ends.
func TestRequestQueuedInARemovedPoolIsSent(t *testing.T) {
	bound := func(s *Settings) { s.Classes[0].AllowedZones = []string{"z"} }
	b := newBalancer(t, bound)
	b.Handle(0, completeList(2))
	b.pools[0].window = 1
	first := sends(b.Handle(0, newRequest("first", "get", 0, time.Second)))
	b.Handle(0, newRequest("queued", "get", 0, time.Second))
	b.Handle(millisecond, SettingsChanged{Settings: testSettings()})
	b = restoreFromCheckpoint(t, b.settings, b)
	if got := sends(endAttempt(b, 2*millisecond, "first", first[0], Success)); len(got) != 1 || got[0].ID != "queued" {
		t.Errorf("sent %v, want the queued request", got)
	}
}
