package scale

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// scriptedController starts a stand-in controller that answers publish requests with one kind of error after another.
// The kind "" accepts the document, and hangUp closes the connection without an answer. The last kind repeats.
func scriptedController(t *testing.T, kinds ...configapi.ErrorKind) (address string) {
	t.Helper()
	answered := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := kinds[min(answered, len(kinds)-1)]
		answered++
		switch kind {
		case "":
			json.NewEncoder(w).Encode(configapi.PublishReply{Cluster: "c", Version: configapi.Version(answered)})
		case hangUp:
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(configapi.Error{Kind: kind})
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// hangUp makes scriptedController close the connection. Real controllers have no such kind of error.
const hangUp configapi.ErrorKind = "hang up"

// After a rejection, an operator publishes another document. If the rejected one had been accepted after all, both
// would come into force. Without an answer the outcome is therefore unknown, and a later rejection by another controller
// does not change that.
func TestPublisherDistinguishesUnknownFromRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		kinds       []configapi.ErrorKind
		maxAttempts int
		want        PublishOutcome
		attempts    int
	}{
		"accepted at once":           {[]configapi.ErrorKind{""}, 0, PublishAccepted, 1},
		"accepted after a rejection": {[]configapi.ErrorKind{configapi.ErrorNoQuorum, ""}, 0, PublishAccepted, 2},
		"accepted after no answer":   {[]configapi.ErrorKind{hangUp, ""}, 0, PublishAccepted, 2},
		"rejected":                   {[]configapi.ErrorKind{configapi.ErrorNoQuorum, configapi.ErrorNotLeader}, 2, PublishRejected, 2},
		"no answer":                  {[]configapi.ErrorKind{hangUp}, 1, PublishUnknown, 1},
		"unknown":                    {[]configapi.ErrorKind{configapi.ErrorOutcomeUnknown}, 1, PublishUnknown, 1},
		"rejected after no answer":   {[]configapi.ErrorKind{hangUp, configapi.ErrorNoQuorum}, 2, PublishUnknown, 2},
	} {
		t.Run(name, func(t *testing.T) {
			publisher := NewPublisher([]string{scriptedController(t, tc.kinds...)})
			got := publisher.Publish(t.Context(), configapi.PublishRequest{ID: "p1", Document: json.RawMessage(`{}`)}, nil, tc.maxAttempts)
			if got.Outcome != tc.want || got.Attempts != tc.attempts || got.ID != "p1" {
				t.Errorf("publication %+v", got)
			}
			if (got.Version > 0) != (tc.want == PublishAccepted) {
				t.Errorf("version %d with outcome %s", got.Version, got.Outcome)
			}
		})
	}
}

func TestPublisherConnectionRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	got := NewPublisher([]string{address}).Publish(t.Context(), configapi.PublishRequest{ID: "p1", Document: json.RawMessage(`{}`)}, nil, 1)
	if got.Outcome != PublishRejected {
		t.Errorf("outcome of a refused connection is %s, want %s", got.Outcome, PublishRejected)
	}
}
