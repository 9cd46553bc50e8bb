package scale

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// scripted is a controller that answers publishes with one kind of refusal after another, "": yes, and hangs up where
// the kind is hangUp.
func scripted(t *testing.T, kinds ...configapi.ErrorKind) (address string) {
	t.Helper()
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := kinds[min(asked, len(kinds)-1)]
		asked++
		switch kind {
		case "":
			json.NewEncoder(w).Encode(configapi.PublishReply{Cluster: "c", Version: configapi.Version(asked)})
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

const hangUp configapi.ErrorKind = "hang up"

func TestPublisherTellsUnknownFromRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		kinds    []configapi.ErrorKind
		most     int
		want     PublishOutcome
		attempts int
	}{
		"accepted at once":         {[]configapi.ErrorKind{""}, 0, PublishAccepted, 1},
		"accepted after a refusal": {[]configapi.ErrorKind{configapi.ErrorNoQuorum, ""}, 0, PublishAccepted, 2},
		"accepted after no answer": {[]configapi.ErrorKind{hangUp, ""}, 0, PublishAccepted, 2},
		"refused":                  {[]configapi.ErrorKind{configapi.ErrorNoQuorum, configapi.ErrorNotLeader}, 2, PublishRefused, 2},
		"no answer":                {[]configapi.ErrorKind{hangUp}, 1, PublishUnknown, 1},
		"unknown":                  {[]configapi.ErrorKind{configapi.ErrorOutcomeUnknown}, 1, PublishUnknown, 1},
		"refused after no answer":  {[]configapi.ErrorKind{hangUp, configapi.ErrorNoQuorum}, 2, PublishUnknown, 2},
	} {
		t.Run(name, func(t *testing.T) {
			publisher := NewPublisher([]string{scripted(t, tc.kinds...)})
			got := publisher.Publish(t.Context(), configapi.PublishRequest{ID: "p1", Document: json.RawMessage(`{}`)}, nil, tc.most)
			if got.Outcome != tc.want || got.Attempts != tc.attempts || got.ID != "p1" {
				t.Errorf("publication %+v", got)
			}
			if (got.Version > 0) != (tc.want == PublishAccepted) {
				t.Errorf("version %d with outcome %s", got.Version, got.Outcome)
			}
		})
	}
}

func TestPublisherWhereNobodyListens(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	got := NewPublisher([]string{address}).Publish(t.Context(), configapi.PublishRequest{ID: "p1", Document: json.RawMessage(`{}`)}, nil, 1)
	if got.Outcome != PublishRefused {
		t.Errorf("a connection that was refused is %s", got.Outcome)
	}
}
