// Package discoverytest has stand-ins for discovery, as net/http/httptest has for servers: an agent that answers from a
// script, and a network without sockets for tests within a bubble of testing/synctest. Only tests import it.
package discoverytest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// CompleteList is a complete list of one endpoint, as discovery writes it.
const CompleteList = `{"seq":50,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`

// Agent is a discovery that answers from a script.
type Agent struct {
	Polls    chan string   // of each poll that came, "watch FROM" or "list"
	Lines    chan string   // each is written to the one watch that takes it
	EndWatch chan struct{} // ends the one watch that takes it

	completeList string
}

// maxBufferedPolls is how many polls may come before the test looks at them.
const maxBufferedPolls = 100

// NewAgent makes an Agent that answers a poll without a watch with the complete list.
func NewAgent(completeList string) *Agent {
	return &Agent{completeList: completeList, Polls: make(chan string, maxBufferedPolls), Lines: make(chan string), EndWatch: make(chan struct{})}
}

// ServeHTTP answers one poll. A watch brings what Lines has, until EndWatch or the client ends it.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		a.Polls <- "list"
		fmt.Fprintln(w, a.completeList)
		return
	}
	a.Polls <- "watch " + r.URL.Query().Get("from")
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-a.Lines:
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		case <-a.EndWatch:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// WantPoll waits for the next poll, and fails the test if it is not as wanted, in the form of Calls.
func (a *Agent) WantPoll(t testing.TB, want string) {
	t.Helper()
	if got := <-a.Polls; got != want {
		t.Fatalf("discovery was polled for %q, want %q", got, want)
	}
}

// Serve serves a handler on loopback until the test ends, and returns its address.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}
