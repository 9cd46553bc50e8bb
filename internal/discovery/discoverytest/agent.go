// Package discoverytest provides stand-ins for discovery, as net/http/httptest does for servers: an agent that a test
// scripts, and a network without sockets for tests in a testing/synctest bubble. Only tests import it.
package discoverytest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// CompleteList is a complete list of one endpoint in discovery's format.
const CompleteList = `{"seq":50,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`

// Agent is a discovery that is controlled by a test.
type Agent struct {
	Polls    chan string   // receives "watch FROM" or "list" for each poll
	Lines    chan string   // each line is written to the one watch that receives it
	EndWatch chan struct{} // ends the one watch that receives from it

	completeList string
}

// maxBufferedPolls is how many polls Polls can hold before the test receives them.
const maxBufferedPolls = 100

// NewAgent returns an Agent that answers a poll without a watch with the given complete list.
func NewAgent(completeList string) *Agent {
	return &Agent{completeList: completeList, Polls: make(chan string, maxBufferedPolls), Lines: make(chan string), EndWatch: make(chan struct{})}
}

// ServeHTTP answers one poll. A watch sends the lines received from Lines until EndWatch or the client ends it.
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

// WantPoll waits for the next poll, and fails the test if it differs from want, which has the form of an element of
// Polls.
func (a *Agent) WantPoll(t testing.TB, want string) {
	t.Helper()
	if got := <-a.Polls; got != want {
		t.Fatalf("discovery received the poll %q, want %q", got, want)
	}
}

// Serve serves a handler on the loopback interface until the test ends, and returns its address.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}
