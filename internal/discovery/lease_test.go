package discovery

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// What one process hands to the next is as old as it was: a list that was confirmed 4 s ago may be relied on for 2 s more.
// Where it came from an address that is no longer named, its version says nothing.
func TestHandedOverListKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := discoverytest.NewAgent(discoverytest.CompleteList)
		d, heard := watchOn(t, "agent:1", "on_request", piped(t, a), func(d *Source) { d.Subscribe() })
		a.WantCall(t, "watch 1")
		a.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-heard
		<-time.After(4 * time.Second)
		if d.Age() != 4*time.Second || d.ResumeVersion() != 43 {
			t.Errorf("handed over %v old, version %d", d.Age(), d.ResumeVersion())
		}
		d.SetAddress("agent:2")
		if d.ResumeVersion() != 0 {
			t.Errorf("after a move handed over version %d", d.ResumeVersion())
		}
		var lease engine.Lease
		config := testConfig("agent:2", "on_request")
		config.MaxPollInterval = 10 * time.Second
		next := New(config, d.log, nil)
		next.RenewLease = func(l engine.Lease) { lease = l }
		next.InheritAge(d.Age())
		if left := time.Until(lease.Until); lease.Unbounded || left != endpointlease.NotificationDeadline-4*time.Second {
			t.Errorf("the next process may rely on it for %v more", left)
		}
	})
}

// The lease follows what is heard: each line of a watch renews it, and each call that finds
// discovery away.
func TestLeaseFollowsDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := discoverytest.NewAgent(discoverytest.CompleteList)
		leases := make(chan engine.Lease, 100)
		_, heard := watchOn(t, "agent:1", "on_request", piped(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-a.EndWatch: // closed: down
				select {
				case <-time.After(2 * time.Second):
					w.WriteHeader(http.StatusServiceUnavailable)
				case <-r.Context().Done():
				}
			default:
				a.ServeHTTP(w, r)
			}
		})), func(d *Source) {
			d.clock.MaxPollInterval = 10 * time.Second
			d.RenewLease = func(l engine.Lease) { leases <- l }
			d.Subscribe()
		})
		var last engine.Lease
		newest := func() engine.Lease {
			synctest.Wait()
			for len(leases) > 0 {
				last = <-leases
			}
			return last
		}
		a.WantCall(t, "watch 1")
		a.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-heard
		if l := newest(); l.Unbounded || time.Until(l.Until) != endpointlease.NotificationDeadline {
			t.Errorf("after a list: %+v", l)
		}
		<-time.After(2 * time.Second)
		a.Lines <- ""
		if l := newest(); time.Until(l.Until) != endpointlease.NotificationDeadline {
			t.Errorf("after a line: %+v", l)
		}
		close(a.EndWatch)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			select {
			case <-heard: // that all calls have failed
			case <-time.After(100 * time.Millisecond):
			}
			if l := newest(); time.Until(l.Until) <= 0 {
				t.Fatalf("in an outage: %+v", l)
			}
		}
	})
}
