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

// A watch sends a change that cannot be read, or one with an older version. Later changes cannot be applied to it, so the
// complete list is polled, and the next watch begins from there.
func TestMalformedChangeIsFollowedByTheCompleteList(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable":     `{"seq":44,}`,
		"null value":     `null`,
		"never complete": `{"seq":44,`,
		"older version":  `{"seq":0,"whole":false,"hosts":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent := discoverytest.NewAgent(discoverytest.CompleteList)
				_, updates := startSource(t, "agent:1", "pushed", withPipe(t, agent))
				agent.WantPoll(t, "watch 1")
				agent.Lines <- line
				agent.WantPoll(t, "list")
				if u := <-updates; u.Version != 50 || !u.Complete || len(u.Endpoints) != 1 {
					t.Fatalf("got the update %+v", u)
				}
				agent.WantPoll(t, "watch 50")
			})
		})
	}
}

// A connection ends within a list, at any byte. A truncated list must change nothing, or a node would drop the endpoints
// that were cut off. The node keeps its list, and the next watch begins from the same version, without polling the
// complete list in between. A complete list without the key for its endpoints is rejected as well.
func TestTruncatedListChangesNothing(t *testing.T) {
	complete := `{"seq":42,"whole":true,"hosts":[{"host":"s-2","dial":"127.0.0.1:2","health":"in_service"}]}`
	for cut := 1; cut < len(complete); cut += 7 {
		if cut+7 >= len(complete) {
			cut = len(complete) - 1 // everything but the last brace
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
			t.Fatalf("cut at %d: got the update %+v", cut, u)
		}
		if a, b := <-from, <-from; a != b || a == "" {
			t.Errorf("cut at %d: polled with %q, then with %q", cut, a, b)
		}
	}
	agent, addr := newAgent(t, complete)
	_, updates := startSource(t, addr, "pushed")
	<-agent.Polls
	agent.Lines <- `{"seq":44,"whole":true}`
	if u := <-updates; u.Version != 42 || len(u.Endpoints) != 1 {
		t.Errorf("got the update %+v", u)
	}
}

// Discovery may write a list on several lines. A reader that treated each line as a list would fail at the first one, and
// every node would poll again and again. Such a list is read as one, and the watch stays open.
func TestIndentedLists(t *testing.T) {
	agent, addr := newAgent(t, discoverytest.CompleteList)
	_, updates := startSource(t, addr, "pushed")
	agent.WantPoll(t, "watch 1")
	for seq := 43; seq < 46; seq++ {
		for _, line := range []string{"{", fmt.Sprintf(`  "seq": %d,`, seq), "", `  "hosts": [`, `    {"host": "s-9",`, `     "health": "terminating"}`, "  ]", "}", ""} {
			agent.Lines <- line
		}
		if u := <-updates; u.Version != int64(seq) || len(u.Endpoints) != 1 || u.Complete {
			t.Fatalf("got the update %+v", u)
		}
	}
	if len(agent.Polls) != 0 {
		t.Errorf("extra poll %q", <-agent.Polls)
	}
}

// A discovery writes changes that cannot be read. If 300 nodes each polled the complete list thirteen times a second,
// after every such change, discovery would go down. So after the first complete list it is polled at increasing
// intervals.
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

// A complete list arrives that is older than the held one. It would bring back endpoints that have drained, so it is
// ignored, and the complete list is polled again. A discovery that has lost its state restarts its version numbers, so
// three such lists in a row are accepted.
func TestOlderListIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		seqs []int // versions of the answers, in order
		want int64
	}{
		"one delayed answer":        {[]int{40, 70}, 70},
		"two delayed answers":       {[]int{40, 41, 70}, 70},
		"version numbers restarted": {[]int{3, 3, 3}, 3},
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
						t.Errorf("got version %d", u.Version)
					}
					return
				}
			})
		})
	}
}
