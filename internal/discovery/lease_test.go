package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// A process hands its list over to the next one. If that renewed the lease, a node that is upgraded while discovery is
// slow would keep sending on an expired list. So a list that was confirmed 4 s ago may be relied on for 2 s more. Its
// version is handed over only if it came from the present address.
func TestInheritedListKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := discoverytest.NewAgent(discoverytest.CompleteList)
		source, updates := startSource(t, "agent:1", "on_request", withPipe(t, agent), func(source *Source) { source.RequestPoll() })
		agent.WantPoll(t, "watch 1")
		agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-updates
		<-time.After(4 * time.Second)
		age, evidence := source.Lease()
		if age != 4*time.Second || evidence != endpointlease.NoEvidence || source.ResumeVersion() != 43 {
			t.Errorf("hands over a list of age %v, evidence %q, version %d", age, evidence, source.ResumeVersion())
		}
		source.SetAddress("agent:2")
		if source.ResumeVersion() != 0 {
			t.Errorf("after an address change it hands over version %d", source.ResumeVersion())
		}
		var lease engine.Lease
		config := testConfig("agent:2", "on_request")
		config.MaxPollInterval = 10 * time.Second
		next := New(config, source.log, nil)
		next.RenewLease = func(l engine.Lease) { lease = l }
		next.Inherit(source.Lease())
		if left := time.Until(lease.Until); left != endpointlease.NotificationDeadline-4*time.Second {
			t.Errorf("the next process may use the list for %v more", left)
		}
	})
}

// Each line of a watch renews the lease, and so does each poll that finds discovery down. A node must neither send on a
// list that may be out of date, nor reject requests throughout an outage of discovery.
func TestLeaseIsRenewedByHeartbeatsAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := discoverytest.NewAgent(discoverytest.CompleteList)
		leases := make(chan engine.Lease, 100)
		_, updates := startSource(t, "agent:1", "on_request", withPipe(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-agent.EndWatch: // closed: discovery is down
				select {
				case <-time.After(2 * time.Second):
					w.WriteHeader(http.StatusServiceUnavailable)
				case <-r.Context().Done():
				}
			default:
				agent.ServeHTTP(w, r)
				panic(http.ErrAbortHandler) // connections are reset when discovery goes down
			}
		})), func(source *Source) {
			source.tracker.MaxPollInterval = 10 * time.Second
			source.RenewLease = func(l engine.Lease) { leases <- l }
			source.RequestPoll()
		})
		var last engine.Lease
		newest := func() engine.Lease {
			synctest.Wait()
			for len(leases) > 0 {
				last = <-leases
			}
			return last
		}
		agent.WantPoll(t, "watch 1")
		agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-updates
		if l := newest(); time.Until(l.Until) != endpointlease.NotificationDeadline {
			t.Errorf("lease after a list: %+v", l)
		}
		<-time.After(2 * time.Second)
		agent.Lines <- ""
		if l := newest(); time.Until(l.Until) != endpointlease.NotificationDeadline {
			t.Errorf("lease after a heartbeat: %+v", l)
		}
		close(agent.EndWatch)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			select {
			case <-updates: // reports that all polls have failed
			case <-time.After(100 * time.Millisecond):
			}
			if l := newest(); time.Until(l.Until) <= 0 {
				t.Fatalf("lease during the outage: %+v", l)
			}
		}
	})
}

// A discovery that answered no poll was once considered unable to notify any node 10 s after the lease had ended, and the
// node served again on an expired list. However its polls end, a new process has no lease on the list that it was given.
func TestUnansweredPollsDoNotRenewLease(t *testing.T) {
	reject := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	responses := map[string][]func(http.ResponseWriter){"503": {reject}, "reset": {reset}, "503 and reset": {reject, reset}, "nothing": nil}
	for name, responses := range responses {
		for _, wait := range []time.Duration{1100 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
			for _, mode := range []string{"on_request", "pushed"} {
				t.Run(fmt.Sprintf("%s/%s after %v", mode, name, wait), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var polls atomic.Int64
						discovery := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							select {
							case <-time.After(wait):
							case <-r.Context().Done():
								return
							}
							if len(responses) == 0 {
								<-r.Context().Done()
								return
							}
							responses[int(polls.Add(1))%len(responses)](w)
						})
						if last := lastLeaseEnd(t, mode, withPipe(t, discovery)); last > 0 {
							t.Errorf("the lease was renewed until %v after the start", last)
						}
					})
				})
			}
		}
	}
}

// refuseConnections is a DialContext that fails as if nothing listened at discovery's address.
func refuseConnections(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// A discovery that refuses connections cannot notify any node: a process that had confirmed its list until then, or took it
// over from one that had, keeps serving while this lasts. A process that did not must not use its list: refused connections do
// not say what discovery had before.
func TestRefusedConnectionsRenewTheLeaseOfAConfirmedList(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		for evidence, renewed := range map[endpointlease.Evidence]bool{"": false, endpointlease.WatchEvidence: true, endpointlease.UnreachableEvidence: true} {
			synctest.Test(t, func(t *testing.T) {
				last := lastLeaseEnd(t, mode, func(source *Source) {
					source.Client.Transport.(*http.Transport).DialContext = refuseConnections
					if evidence != "" {
						source.Inherit(0, evidence)
					}
				})
				if renewed && last <= timeWithoutList || !renewed && last > time.Nanosecond {
					t.Errorf("%s, evidence %q: the lease ended %v after the start", mode, evidence, last)
				}
			})
		}
	}
}

// A watch that ends as discovery goes down was current until then: the node keeps serving.
func TestRefusedConnectionsRenewTheLeaseAfterAWatch(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		synctest.Test(t, func(t *testing.T) {
			var down atomic.Bool
			connect := discoverytest.ServePipe(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintln(w, discoverytest.CompleteList)
				w.(http.Flusher).Flush()
				<-time.After(time.Second)
				down.Store(true)
				panic(http.ErrAbortHandler)
			}))
			last := lastLeaseEnd(t, mode, func(source *Source) {
				source.Client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if down.Load() {
						return refuseConnections(ctx, network, addr)
					}
					return connect(ctx, network, addr)
				}
			})
			if last <= timeWithoutList {
				t.Errorf("%s: the lease ended %v after the start", mode, last)
			}
		})
	}
}

// A discovery that closes its watches is up, and may close one instead of sending a change. The fault guarded against:
// polls that such a discovery rejected after a wait were treated as an outage, and renewed the lease without end.
func TestClosedWatchIsNotAnOutage(t *testing.T) {
	const watchTime = time.Second
	for _, mode := range []string{"on_request", "pushed"} {
		synctest.Test(t, func(t *testing.T) {
			var polls atomic.Int64
			discovery := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				wait := 2 * time.Second
				if polls.Add(1) == 1 {
					wait = watchTime
					fmt.Fprintln(w, discoverytest.CompleteList)
					w.(http.Flusher).Flush()
				} else {
					defer w.WriteHeader(http.StatusServiceUnavailable)
				}
				select {
				case <-time.After(wait):
				case <-r.Context().Done():
				}
			})
			if last := lastLeaseEnd(t, mode, withPipe(t, discovery)); last > watchTime+endpointlease.NotificationDeadline {
				t.Errorf("%s: the lease was renewed until %v after the start", mode, last)
			}
		})
	}
}

// timeWithoutList is how long lastLeaseEnd runs a process.
const timeWithoutList = 5 * time.Minute

// lastLeaseEnd runs a new process for a while during which discovery sends no list. It returns the latest end of the
// lease, counted from the start of the process.
func lastLeaseEnd(t *testing.T, mode string, discovery func(*Source)) (last time.Duration) {
	t.Helper()
	began := time.Now()
	source, _ := startSource(t, "agent:1", mode, discovery, func(source *Source) {
		source.tracker.MaxPollInterval = 10 * time.Second
		source.ApplyUpdate = func(context.Context, engine.Update) error { return nil }
		source.RenewLease = func(l engine.Lease) { last = max(last, l.Until.Sub(began)) }
		source.RequestPoll()
	})
	<-time.After(timeWithoutList)
	source.mu.Lock() // RenewLease is called with the lock held
	defer source.mu.Unlock()
	return last
}
