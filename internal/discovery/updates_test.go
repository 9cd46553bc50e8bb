package discovery

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
)

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
				_, updates := startSource(t, "agent:1", "pushed", withPipe(t, agent))
				agent.WantPoll(t, "watch 1")
				agent.Lines <- line
				agent.WantPoll(t, "list")
				if u := <-updates; u.Version != 50 || !u.Complete || len(u.Endpoints) != 1 {
					t.Fatalf("updated to %+v", u)
				}
				agent.WantPoll(t, "watch 50")
			})
		})
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
	<-agent.Polls
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
	agent.WantPoll(t, "watch 1")
	for seq := 43; seq < 46; seq++ {
		for _, line := range []string{"{", fmt.Sprintf(`  "seq": %d,`, seq), "", `  "hosts": [`, `    {"host": "s-9",`, `     "health": "terminating"}`, "  ]", "}", ""} {
			agent.Lines <- line
		}
		if u := <-updates; u.Version != int64(seq) || len(u.Endpoints) != 1 || u.Complete {
			t.Fatalf("updated to %+v", u)
		}
	}
	if len(agent.Polls) != 0 {
		t.Errorf("polled for %q besides", <-agent.Polls)
	}
}

// A discovery writes changes that can't be read. Polled for the complete list each time, thirteen times a second by each of
// 300 nodes, it would go down. So after the first complete list it is polled ever more slowly.
func TestPollsBackOffAfterMalformedLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 20 * time.Second
		polls := make(chan struct{}, 1000)
		_, updates := startSource(t, "agent:1", "pushed", withPipe(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

// A complete list comes that is older than the one held. Applied, it would bring endpoints back that have drained: it is
// ignored, and the complete list is polled again. A discovery that has lost its state counts anew: three such lists in a
// row are believed.
func TestOlderListIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		seqs []int // of the answers, one after another
		want int64
	}{
		"a late answer":         {[]int{40, 70}, 70},
		"two late answers":      {[]int{40, 41, 70}, 70},
		"versions counted anew": {[]int{3, 3, 3}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				polls := atomic.Int32{}
				_, updates := startSource(t, "agent:1", "on_request", withPipe(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					seq := c.seqs[min(int(polls.Add(1)), len(c.seqs))-1]
					fmt.Fprintf(w, `{"seq":%d,"whole":true,"hosts":[]}`+"\n", seq)
					w.(http.Flusher).Flush()
					if r.URL.Query().Get("watch") != "" {
						<-r.Context().Done()
					}
				})), func(source *Source) { source.ResumeFrom(50); source.RequestPoll() })
				for u := range updates {
					if u.WatchFailed {
						continue
					}
					if u.Version != c.want {
						t.Errorf("updated to version %d", u.Version)
					}
					return
				}
			})
		})
	}
}
