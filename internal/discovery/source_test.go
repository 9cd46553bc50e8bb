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

// newAgent starts an agent that answers polls for the complete list with a text.
func newAgent(t *testing.T, completeList string) (*discoverytest.Agent, string) {
	t.Helper()
	agent := discoverytest.NewAgent(completeList)
	return agent, discoverytest.Serve(t, agent)
}

// withPipe has a source poll a handler within a bubble of testing/synctest.
func withPipe(t *testing.T, h http.Handler) func(*Source) {
	t.Helper()
	dial := discoverytest.ServePipe(t, h)
	return func(source *Source) {
		source.Client.Transport.(*http.Transport).DialContext = dial
	}
}

// testConfig is the Config of a node that holds version 1.
func testConfig(addr, mode string) Config {
	return Config{Addr: addr, Polled: mode == "on_request", MaxPollInterval: time.Second, Version: 1}
}

// startSource runs a Source until the test ends. It blocks on each update until the test takes it.
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

// A watch passes each change on, and after its end begins again from the version held.
func TestWatchFollowsAndReconnects(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	_, updates := startSource(t, addr, "pushed")
	agent.WantPoll(t, "watch 1")
	agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
	if u := <-updates; u.Version != 43 || u.WatchFailed {
		t.Fatalf("updated to %+v", u)
	}
	agent.Lines <- ""
	agent.EndWatch <- struct{}{}
	agent.WantPoll(t, "watch 43")
}

// A new configuration names another discovery. It is polled at once, even while the old watch is open or requested. The
// watch begins from version 0, for the new discovery may count its versions in its own way, and needs one poll: all nodes
// change their address at once, and discovery works through their polls in turn.
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
				t.Fatalf("updated to %+v", u)
			}
			agent.Lines <- `{"seq":8,"whole":false,"hosts":[]}`
			if u := <-updates; u.Version != 8 {
				t.Fatalf("updated to %+v", u)
			}
			source.SetAddress(addr) // no change
			agent.Lines <- `{"seq":9,"whole":false,"hosts":[]}`
			if u := <-updates; u.Version != 9 {
				t.Fatalf("updated to %+v", u)
			}
			source.SetAddress(oldAddr)
			old.WantPoll(t, "watch 0")
		})
	}
}

// A machine that is cut off leaves its connections open: only the missing heartbeats show it. The next poll is opened beside
// the silent watch, which may be heard again, and takes its place with its list.
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
		agent.Lines <- `{"seq":44,"whole":false,"hosts":[]}` // on one of the two
		if u := <-updates; u.Version != 44 {
			t.Errorf("updated to %+v", u)
		}
	})
}

// Where lists are polled, the decision module requests the first poll and is told when the last stream has ended. Its later
// requests make no second poll beside the one that the tracker schedules.
func TestPollFailuresReachDecisionModule(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	source, updates := startSource(t, addr, "on_request")
	for range 2 {
		source.RequestPoll()
		agent.WantPoll(t, "watch 1")
		agent.EndWatch <- struct{}{}
		if u := <-updates; !u.WatchFailed {
			t.Fatalf("updated to %+v", u)
		}
	}
	if len(agent.Polls) != 0 {
		t.Error("the node polled by itself")
	}
}

// An agent is silent in an outage, and goes on afterwards on the watch that it has. If the node had closed that watch, it
// would miss the change: polls that were opened meanwhile are never answered here.
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
			t.Errorf("updated to %+v after %v", u, time.Since(begin))
		}
	})
}
