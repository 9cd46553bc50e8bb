package configclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// fakeResponse is the response of a fake controller to a publish request.
type fakeResponse struct {
	version        configapi.Version // 0: err
	err            *configapi.Error
	dropConnection bool // the connection closes without a response
	hang           bool // no response before the client gives up; fakeTransport alone has it
}

// startFakeController starts a controller that gives its answers one after another, and repeats the last one.
func startFakeController(t *testing.T, requests *atomic.Int32, responses ...fakeResponse) string {
	t.Helper()
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		response := responses[min(int(calls.Add(1)), len(responses))-1]
		switch {
		case response.dropConnection:
			panic(http.ErrAbortHandler)
		case response.err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(response.err)
		default:
			_ = json.NewEncoder(w).Encode(configapi.PublishReply{Cluster: "c", Version: response.version})
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func publishTo(t *testing.T, timeout time.Duration, addresses ...string) (configapi.PublishReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	client := New(addresses)
	return client.Publish(ctx, configapi.PublishRequest{ID: NewID(), Document: json.RawMessage(`{}`)})
}

const testTimeout = 30 * time.Second

func errorResponse(kind configapi.ErrorKind) fakeResponse {
	return fakeResponse{err: &configapi.Error{Kind: kind}}
}

// A follower names the leader. The request goes there at once.
func TestPublishFollowsRedirectToLeader(t *testing.T) {
	var requests atomic.Int32
	leader := startFakeController(t, &requests, fakeResponse{version: 5})
	follower := startFakeController(t, &requests, fakeResponse{err: &configapi.Error{Kind: configapi.ErrorNotLeader, Leader: leader}})
	if reply, err := publishTo(t, testTimeout, follower); err != nil || reply.Version != 5 {
		t.Errorf("%+v, %v", reply, err)
	}
}

// A controller that answers a call twice must not have its second answer taken for that to the next call.
func TestEachCallUsesNewConnection(t *testing.T) {
	connections := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		_ = json.NewEncoder(w).Encode(configapi.PublishReply{Cluster: "c", Version: 1})
	}))
	defer server.Close()
	client := New([]string{strings.TrimPrefix(server.URL, "http://")})
	const calls = 3
	for range calls {
		if _, err := client.Publish(t.Context(), configapi.PublishRequest{ID: NewID(), Document: json.RawMessage(`{}`)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(connections) != calls {
		t.Errorf("%d calls on %d connections", calls, len(connections))
	}
}

// There is no quorum for a moment, or the connection breaks. The request is retried with the same ID.
func TestPublishRetries(t *testing.T) {
	for name, first := range map[string]fakeResponse{
		"there is no quorum for a moment": errorResponse(configapi.ErrorNoQuorum),
		"the result is unknown":           errorResponse(configapi.ErrorOutcomeUnknown),
		"the controller ends meanwhile":   {dropConnection: true},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			address := startFakeController(t, &requests, first, fakeResponse{version: 2})
			if reply, err := publishTo(t, testTimeout, address); err != nil || reply.Version != 2 || requests.Load() != 2 {
				t.Errorf("%+v, %v after %d requests", reply, err, requests.Load())
			}
		})
	}
}

// The first controller is down. The next one is tried.
func TestPublishTriesNextController(t *testing.T) {
	var requests atomic.Int32
	address := startFakeController(t, &requests, fakeResponse{version: 3})
	if reply, err := publishTo(t, testTimeout, "127.0.0.1:1", address); err != nil || reply.Version != 3 {
		t.Errorf("%+v, %v", reply, err)
	}
}

// The document is wrong, or the rate limit is reached. Another attempt would not help, and there is none.
func TestPublishDoesNotRetryFinalErrors(t *testing.T) {
	for _, kind := range []configapi.ErrorKind{configapi.ErrorInvalid, configapi.ErrorTooLarge, configapi.ErrorRateLimited} {
		var requests atomic.Int32
		_, err := publishTo(t, testTimeout, startFakeController(t, &requests, errorResponse(kind)))
		var got *configapi.Error
		if !errors.As(err, &got) || got.Kind != kind || requests.Load() != 1 {
			t.Errorf("%s: %v after %d requests", kind, err, requests.Load())
		}
	}
}

// fakeTransport replies to publish requests without a network, so that a test in virtual time decides when each comes. It
// gives its answers one after another, and repeats the last one.
type fakeTransport struct {
	responses []fakeResponse
	requests  int
}

// RoundTrip implements http.RoundTripper.
func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.requests++
	response := f.responses[min(f.requests, len(f.responses))-1]
	switch {
	case response.hang:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case response.dropConnection:
		return nil, io.ErrUnexpectedEOF
	}
	text, err := json.Marshal(response.err)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(bytes.NewReader(text))}, nil
}

// No attempt gets a reply before the time is up. The outcome is unknown if any of them may have been written; otherwise
// nothing was published, and the operator is told so. An attempt that the end of the time cuts off may have been written
// too: that is why this test decides when attempts are made.
func TestPublishDistinguishesUnknownOutcomeFromFailure(t *testing.T) {
	for name, c := range map[string]struct {
		responses []fakeResponse
		want      configapi.ErrorKind
	}{
		"no quorum all the time":   {[]fakeResponse{errorResponse(configapi.ErrorNoQuorum)}, configapi.ErrorNoQuorum},
		"no quorum behind a cut":   {[]fakeResponse{{dropConnection: true}, errorResponse(configapi.ErrorNoQuorum)}, configapi.ErrorOutcomeUnknown},
		"no quorum behind unknown": {[]fakeResponse{errorResponse(configapi.ErrorOutcomeUnknown), errorResponse(configapi.ErrorNoQuorum)}, configapi.ErrorOutcomeUnknown},
		"too many behind unknown":  {[]fakeResponse{errorResponse(configapi.ErrorOutcomeUnknown), errorResponse(configapi.ErrorRateLimited)}, configapi.ErrorOutcomeUnknown},
		"cut off after no quorum":  {[]fakeResponse{errorResponse(configapi.ErrorNoQuorum), {hang: true}}, configapi.ErrorOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				transport := &fakeTransport{responses: c.responses}
				client := &Client{addresses: []string{"controller:1"}, http: &http.Client{Transport: transport}}
				_, err := client.Publish(ctx, configapi.PublishRequest{ID: NewID(), Document: json.RawMessage(`{}`)})
				var got *configapi.Error
				if !errors.As(err, &got) || got.Kind != c.want || transport.requests < 2 {
					t.Errorf("%v after %d requests", err, transport.requests)
				}
			})
		})
	}
	_, err := publishTo(t, time.Second, "127.0.0.1:1")
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("nobody there: %v", err)
	}
}

// An operator knows the address of one controller. The status of all is collected, and those that are down are listed.
func TestStatusQueriesControllersNamedInResponses(t *testing.T) {
	serve := func(status configapi.ControllerStatus) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(status) }))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	second := serve(configapi.ControllerStatus{Name: "c2"})
	first := serve(configapi.ControllerStatus{Name: "c1", Controllers: []configapi.ControllerAddress{{Address: second}, {Address: "127.0.0.1:1"}}})
	client := New([]string{first})
	got := client.Status(t.Context())
	if len(got.Responses) != 2 || got.Responses[1].Name != "c2" || len(got.Unreachable) != 1 || got.Unreachable[0].Address != "127.0.0.1:1" {
		t.Errorf("%+v", got)
	}
}
