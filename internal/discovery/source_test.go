package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
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

// piped has a source poll a handler within a bubble of testing/synctest.
func piped(t *testing.T, h http.Handler) func(*Source) {
	t.Helper()
	dial := discoverytest.Pipe(t, h)
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
	agent.WantCall(t, "watch 1")
	agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
	if u := <-updates; u.Version != 43 || u.Failed {
		t.Fatalf("updated to %+v", u)
	}
	agent.Lines <- ""
	agent.EndWatch <- struct{}{}
	agent.WantCall(t, "watch 43")
}

// A watch brings a change that can't be read, or one whose version goes back. What comes after it can't be built on, so the
// complete list is polled, and the watch begins again from there.
func TestMalformedChangeIsFollowedByTheCompleteList(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable":     `{"seq":44,}`,
		"no list":        `null`,
		"never complete": `{"seq":44,`,
		"gone back":      `{"seq":0,"whole":false,"hosts":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent := discoverytest.NewAgent(discoverytest.CompleteList)
				_, updates := startSource(t, "agent:1", "pushed", piped(t, agent))
				agent.WantCall(t, "watch 1")
				agent.Lines <- line
				agent.WantCall(t, "list")
				if u := <-updates; u.Version != 50 || !u.Complete || len(u.Endpoints) != 1 {
					t.Fatalf("updated to %+v", u)
				}
				agent.WantCall(t, "watch 50")
			})
		})
	}
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
			source.Subscribe()
			old.WantCall(t, "watch 1")
			source.SetAddress(addr)
			agent.WantCall(t, "watch 0")
			agent.Lines <- `{"seq":7,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`
			if u := <-updates; u.Version != 7 || !u.Complete || u.Failed {
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
			old.WantCall(t, "watch 0")
		})
	}
}

// A machine that is cut off leaves its connections open: only the missing heartbeats show it. The next poll is opened beside
// the silent watch, which may be heard again, and takes its place with its list.
func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent, begin := discoverytest.NewAgent(discoverytest.CompleteList), time.Now()
		_, updates := startSource(t, "agent:1", "pushed", piped(t, agent))
		agent.WantCall(t, "watch 1")
		agent.Lines <- `{"seq":43,"whole":false,"hosts":[]}`
		<-updates
		agent.WantCall(t, "watch 43")
		if at := time.Since(begin); at < 2*time.Second || at > 3*time.Second {
			t.Errorf("polled again after %v", at)
		}
		agent.Lines <- `{"seq":44,"whole":false,"hosts":[]}` // on one of the two
		if u := <-updates; u.Version != 44 {
			t.Errorf("updated to %+v", u)
		}
	})
}

// Where lists are polled, the module requests the first poll and is told of failures: the node polls nothing by itself.
func TestPolledMode(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	source, updates := startSource(t, addr, "on_request")
	for range 2 {
		source.Subscribe()
		agent.WantCall(t, "watch 1")
		agent.EndWatch <- struct{}{}
		if u := <-updates; !u.Failed {
			t.Fatalf("updated to %+v", u)
		}
	}
	if len(agent.Calls) != 0 {
		t.Error("the node polled by itself")
	}
}

// A connection ends within a list, at any byte. A truncated list must change nothing, or a node would drop the endpoints
// that were cut off: what is held stays, and the next watch begins from the same version, without a complete list in
// between. A list that is complete but has no hosts is not believed either.
func TestTruncatedListChangesNothing(t *testing.T) {
	complete := `{"seq":42,"whole":true,"hosts":[{"host":"s-2","dial":"127.0.0.1:2","health":"in_service"}]}`
	for cut := 1; cut < len(complete); cut += 7 {
		if cut+7 >= len(complete) {
			cut = len(complete) - 1 // all but the last brace
		}
		from := make(chan string, 100)
		addr := discoverytest.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			from <- r.URL.RawQuery
			if len(from) == 1 {
				fmt.Fprint(w, complete[:cut])
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintln(w, `{"seq":43,"whole":false,"hosts":[]}`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		_, updates := startSource(t, addr, "pushed")
		if u := <-updates; u.Version != 43 || u.Complete {
			t.Fatalf("cut at %d: updated to %+v", cut, u)
		}
		if a, b := <-from, <-from; a != b || a == "" {
			t.Errorf("cut at %d: asked for %q, then for %q", cut, a, b)
		}
	}
	agent, addr := newAgent(t, complete)
	_, updates := startSource(t, addr, "pushed")
	<-agent.Calls
	agent.Lines <- `{"seq":44,"whole":true}`
	if u := <-updates; u.Version != 42 || len(u.Endpoints) != 1 {
		t.Errorf("updated to %+v", u)
	}
}

// Discovery may write a list on many lines. A reader that takes each line for a list would fail at the first one, and every
// node would poll again and again. So such a list is read as it comes, on one watch.
func TestIndentedLists(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	_, updates := startSource(t, addr, "pushed")
	agent.WantCall(t, "watch 1")
	for seq := 43; seq < 46; seq++ {
		for _, line := range []string{"{", fmt.Sprintf(`  "seq": %d,`, seq), "", `  "hosts": [`, `    {"host": "s-9",`, `     "health": "terminating"}`, "  ]", "}", ""} {
			agent.Lines <- line
		}
		if u := <-updates; u.Version != int64(seq) || len(u.Endpoints) != 1 || u.Complete {
			t.Fatalf("updated to %+v", u)
		}
	}
	if len(agent.Calls) != 0 {
		t.Errorf("polled for %q besides", <-agent.Calls)
	}
}

// A discovery writes changes that can't be read. Polled for the complete list each time, thirteen times a second by each of
// 300 nodes, it would go down. So after the first complete list it is polled ever more slowly.
func TestMalformedListsAreBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 20 * time.Second
		polls := make(chan struct{}, 1000)
		_, updates := startSource(t, "agent:1", "pushed", piped(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			polls <- struct{}{}
			if r.URL.Query().Get("watch") == "" {
				fmt.Fprintln(w, discoverytest.CompleteList)
				return
			}
			fmt.Fprintln(w, `{"seq":,}`)
		})))
		over := time.After(span)
		for lists := 0; ; {
			select {
			case <-updates:
				lists++
				continue
			case <-over:
			}
			if n := len(polls); lists == 0 || n > 2*int(span/time.Second) {
				t.Errorf("%d polls and %d lists in %v", n, lists, span)
			}
			return
		}
	})
}
