package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An operator disables a server. It stays disabled whatever discovery reports, and one call enables it
// however many calls disabled it.
func TestOverridePersistsAcrossEndpointUpdates(t *testing.T) {
	boot := func(s Server, at time.Duration) Server { s.StartTime = at; return s }
	removed, moved := servers(1)[0], servers(1)[0]
	removed.State, moved.Zone = Removed, "elsewhere"
	for name, events := range map[string][]Event{
		"no event":                 nil,
		"complete list":            {completeList(2)},
		"server restarted":         {EndpointUpdate{Servers: []Server{boot(servers(1)[0], 30*time.Second)}}},
		"removed and listed again": {EndpointUpdate{Servers: []Server{removed}}, completeList(2)},
		"omitted and listed again": {EndpointUpdate{Complete: true, Servers: servers(2)[1:]}, completeList(2)},
		"zone changed":             {EndpointUpdate{Servers: []Server{moved}}},
		"settings changed":         {SettingsChanged{Settings: testSettings()}, completeList(2)},
		"disabled again":           {AdminOverride{Server: "s00", Disabled: true}, AdminOverride{Server: "s00", Disabled: true}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, completeList(2))
			b.Handle(time.Second, AdminOverride{Server: "s00", Disabled: true})
			for _, e := range events {
				b.Handle(2*time.Second, e)
			}
			b = restoreFromCheckpoint(t, b.settings, b)
			for i := range 50 {
				id := fmt.Sprint("r", i)
				now := time.Duration(40+i) * time.Second
				for _, s := range sends(b.Handle(now, newRequest(id, "get", now, time.Second))) {
					if s.Server == "s00" {
						t.Fatal("a disabled server got a request")
					}
					endAttempt(b, now+millisecond, id, s, Success)
				}
			}
			b.Handle(100*time.Second, AdminOverride{Server: "s00"})
			if b.IsDisabled("s00") || len(b.pools[0].inService) != 2 {
				t.Error("one call did not enable it")
			}
		})
	}
}

// Only listed and disabled servers can be overridden, and the number of overrides is limited; otherwise
// unknown IDs would fill the memory.
func TestCheckOverride(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, completeList(MaxOverrides+2))
	if err := b.CheckOverride("nobody"); err != ErrUnknownServer {
		t.Errorf("an unknown server: %v", err)
	}
	b.Handle(0, AdminOverride{Server: "nobody", Disabled: true})
	if b.IsDisabled("nobody") {
		t.Error("an unknown server was disabled")
	}
	for i := range MaxOverrides {
		b.Handle(0, AdminOverride{Server: fmt.Sprintf("s%02d", i), Disabled: true})
	}
	over := fmt.Sprintf("s%02d", MaxOverrides)
	if err := b.CheckOverride(over); err != ErrTooManyOverrides {
		t.Errorf("one more than can be remembered: %v", err)
	}
	b.Handle(0, AdminOverride{Server: "s00"})
	if err := b.CheckOverride(over); err != ErrTooManyOverrides { // it is warming up, so its override is remembered
		t.Errorf("just after one was enabled: %v", err)
	}
	b.Handle(b.settings.SlowStartDuration, TimerFired{})
	if err := b.CheckOverride(over); err != nil {
		t.Errorf("with one enabled long ago: %v", err)
	}
	b.Handle(b.settings.SlowStartDuration, EndpointUpdate{Complete: true})
	if err := b.CheckOverride("s01"); err != nil {
		t.Errorf("a disabled server that is not listed any more: %v", err)
	}
}

// A server is enabled after repair, often right after its restart. It is warming up from the call on. A start
// before the call that is reported later changes nothing; a start after the call begins slow start again.
func TestEnabledServerIsInSlowStart(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, completeList(2))
	b.Handle(time.Second, AdminOverride{Server: "s00", Disabled: true})
	call := 20 * time.Second
	b.Handle(call, AdminOverride{Server: "s00"})
	s := b.servers["s00"]
	s.consecutiveFailures = 2
	for _, c := range []struct {
		boot, wantStart time.Duration
		wantFailures    int
	}{{0, call, 2}, {15 * time.Second, call, 2}, {15 * time.Second, call, 2}, {25 * time.Second, 25 * time.Second, 0}} {
		n := servers(1)[0]
		n.StartTime = c.boot
		b.Handle(26*time.Second, EndpointUpdate{Servers: []Server{n}})
		if s.startedAt() != c.wantStart || s.consecutiveFailures != c.wantFailures {
			t.Errorf("notified of a start at %v: start %v, %d failures, want %v, %d", c.boot, s.startedAt(), s.consecutiveFailures, c.wantStart, c.wantFailures)
		}
	}
	b.Handle(27*time.Second, EndpointUpdate{Complete: true})
	b.Handle(28*time.Second, completeList(2))
	if got := b.servers["s00"].startedAt(); got != call {
		t.Errorf("after it was left out of a list its start is %v, want %v", got, call)
	}
}

// Operators who enable a server wait to see it work. It gets a request within 5 s even if only one request a
// second arrives and none may be sent twice, and it never gets two at once.
func TestEnabledServerGetsARequestSoonInLightTraffic(t *testing.T) {
	for seed := range uint64(40) {
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, completeList(8))
		b.Handle(0, AdminOverride{Server: "s03", Disabled: true})
		b.Handle(50*time.Second, AdminOverride{Server: "s03"})
		used := time.Duration(0)
		for now := 50 * time.Second; now < 60*time.Second; now += time.Second {
			id := now.String()
			for _, s := range sends(b.Handle(now, newRequest(id, "pay", now, time.Second))) {
				if s.Server == "s03" && used == 0 {
					used = now - 50*time.Second
				}
				endAttempt(b, now+10*millisecond, id, s, Success)
			}
		}
		if used == 0 || used > 3*time.Second {
			t.Errorf("seed %d: used after %v", seed, used)
		}
	}
}

// While all servers are disabled, requests are rejected immediately with a Retry-After, including those that
// are queued: nothing that they could wait for will happen in time.
func TestRequestsAreRejectedWhenAllServersAreDisabled(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, completeList(2))
	b.Handle(0, AdminOverride{Server: "s00", Disabled: true})
	b.pools[0].window, b.pools[0].inFlight = 1, 5 // so that the request is queued
	if acts := b.Handle(0, newRequest("queued", "pay", 0, time.Second)); len(sends(acts)) > 0 {
		t.Fatal("the request is not queued")
	}
	acts := b.Handle(millisecond, AdminOverride{Server: "s01", Disabled: true})
	if len(acts) != 1 || acts[0].(Reject).ID != "queued" || acts[0].(Reject).RetryAfter <= 0 {
		t.Errorf("the queued request: %v", acts)
	}
	acts = b.Handle(2*millisecond, newRequest("r", "pay", 2*millisecond, time.Second))
	if len(acts) != 1 || acts[0].(Reject).RetryAfter <= 0 {
		t.Errorf("the next request: %v", acts)
	}
}

// In whatever order operators and discovery change servers, no request is sent to a disabled one, and a
// checkpoint in between changes nothing.
func TestDisabledServersGetNoRequestsInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, completeList(4))
		disabled := map[string]bool{}
		for i := range 60 {
			now := time.Duration(i) * 200 * millisecond
			id := fmt.Sprintf("s%02d", rapid.IntRange(0, 3).Draw(t, "server"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if known := b.CheckOverride(id) == nil; known {
					disabled[id] = true
				}
				b.Handle(now, AdminOverride{Server: id, Disabled: true})
			case 1:
				delete(disabled, id)
				b.Handle(now, AdminOverride{Server: id})
			case 2:
				b.Handle(now, completeList(rapid.IntRange(0, 4).Draw(t, "listed")))
			case 3:
				text, err := b.Checkpoint()
				if err != nil {
					t.Fatal(err)
				}
				if b, err = Restore(b.settings, text); err != nil {
					t.Fatal(err)
				}
			default:
				for _, s := range sends(b.Handle(now, newRequest(now.String(), "get", now, time.Second))) {
					if disabled[s.Server] {
						t.Fatalf("a request was sent to %s, which is disabled", s.Server)
					}
				}
			}
		}
	})
}
