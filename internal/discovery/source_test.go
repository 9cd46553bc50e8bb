package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
	"hookwalk.example/hookwalk/internal/engine"
)

// newAgent starts an agent that answers a poll without a watch with the given complete list.
func newAgent(t *testing.T, completeList string) (*discoverytest.Agent, string) {
	t.Helper()
	agent := discoverytest.NewAgent(completeList)
	return agent, discoverytest.Serve(t, agent)
}

// withPipe returns an option that makes a source poll a handler in a testing/synctest bubble.
func withPipe(t *testing.T, h http.Handler) func(*Source) {
	t.Helper()
	dial := discoverytest.ServePipe(t, h)
	return func(source *Source) {
		source.Client.Transport.(*http.Transport).DialContext = dial
	}
}

// testConfig returns the Config of a node that holds version 1.
func testConfig(addr, mode string) Config {
	return Config{Addr: addr, Polled: mode == "on_request", MaxPollInterval: time.Second, Version: 1}
}

// startSource runs a Source until the test ends. The Source blocks on each update until the test receives it.
func startSource(t *testing.T, addr, mode string, options ...func(*Source)) (*Source, <-chan engine.Update) {
	t.Helper()
	updates := make(chan engine.Update)
	source := New(testConfig(addr, mode), slog.New(slog.DiscardHandler), func(ctx context.Context, update engine.Update) error {
		select {
		case updates <- update:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	for _, option := range options {
		option(source)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		source.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return source, updates
}

// A watch passes on each change, and after it ends the next one resumes from the version held.
func TestWatchFollowsAndReconnects(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	_, updates := startSource(t, addr, "pushed")
	agent.WantPoll(t, "watch 1")
	agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
	if u := <-updates; u.Version != 43 || u.WatchFailed {
		t.Fatalf("got the update %+v", u)
	}
	agent.Lines <- ""
	agent.EndWatch <- struct{}{}
	agent.WantPoll(t, "watch 43")
}

// A new configuration names another discovery. It is polled immediately, even while the old watch is open or requested.
// The watch begins from version 0, because the new discovery may number its versions independently. It needs only one
// poll, because all nodes change their address at once and discovery handles their polls one after another.
func TestAddressChange(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			old, oldAddr := newAgent(t, discoverytest.CompleteList)
			agent, addr := newAgent(t, discoverytest.CompleteList)
			source, updates := startSource(t, oldAddr, mode)
			source.RequestPoll()
			old.WantPoll(t, "watch 1")
			source.SetAddress(addr)
			agent.WantPoll(t, "watch 0")
			agent.Lines <- `{"seq":7,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`
			if u := <-updates; u.Version != 7 || !u.Complete || u.WatchFailed {
				t.Fatalf("got the update %+v", u)
			}
			agent.Lines <- `{"seq":8,"whole":false,"hosts":[]}`
			if u := <-updates; u.Version != 8 {
				t.Fatalf("got the update %+v", u)
			}
			source.SetAddress(addr) // the same address has no effect
			agent.Lines <- `{"seq":9,"whole":false,"hosts":[]}`
			if u := <-updates; u.Version != 9 {
				t.Fatalf("got the update %+v", u)
			}
			source.SetAddress(oldAddr)
			old.WantPoll(t, "watch 0")
		})
	}
}

// The connections of a machine that is cut off stay open, so only missing heartbeats show that it is gone. The next poll
// is opened beside the silent watch, which may resume, and replaces it once its list arrives.
func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent, begin := discoverytest.NewAgent(discoverytest.CompleteList), time.Now()
		_, updates := startSource(t, "agent:1", "pushed", withPipe(t, agent))
		agent.WantPoll(t, "watch 1")
		agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-updates
		agent.WantPoll(t, "watch 43")
		if at := time.Since(begin); at < 2*time.Second || at > 3*time.Second {
			t.Errorf("polled again after %v", at)
		}
		agent.Lines <- `{"seq":44,"whole":false,"hosts":[]}` // on either of the two
		if u := <-updates; u.Version != 44 {
			t.Errorf("got the update %+v", u)
		}
	})
}

// Where lists are polled, the decision module requests the first poll and is notified when the last stream has ended. Its
// later requests do not cause polls in addition to those that the tracker schedules.
func TestPollFailuresReachDecisionModule(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	source, updates := startSource(t, addr, "on_request")
	for range 2 {
		source.RequestPoll()
		agent.WantPoll(t, "watch 1")
		agent.EndWatch <- struct{}{}
		if u := <-updates; !u.WatchFailed {
			t.Fatalf("got the update %+v", u)
		}
	}
	if len(agent.Polls) != 0 {
		t.Error("the node made a poll in addition to the scheduled ones")
	}
}

// An agent is silent during an outage, and then resumes on the watch that is already open. A node that had closed this
// watch would miss the change, because here the polls that were opened meanwhile are never answered.
func TestSilentWatchResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, polls := make(chan string), atomic.Int32{}
		_, updates := startSource(t, "agent:1", "pushed", withPipe(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if polls.Add(1) > 1 {
				<-r.Context().Done()
				return
			}
			for {
				select {
				case line := <-lines:
					fmt.Fprintln(w, line)
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})))
		lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-updates
		time.Sleep(8 * time.Second)
		begin := time.Now()
		lines <- `{"seq":44,"whole":false,"hosts":[]}`
		if u := <-updates; u.Version != 44 || time.Since(begin) > 0 {
			t.Errorf("got the update %+v after %v", u, time.Since(begin))
		}
	})
}
