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
	version        configapi.Version // of the reply; ignored if err is set
	err            *configapi.Error
	dropConnection bool // the connection closes without a response
	hang           bool // no response before the client gives up; supported by fakeTransport only
}

// startFakeController starts a controller that sends its responses in order, and repeats the last one.
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

// A follower names the leader. The client sends the request to the leader immediately.
func TestPublishFollowsRedirectToLeader(t *testing.T) {
	var requests atomic.Int32
	leader := startFakeController(t, &requests, fakeResponse{version: 5})
	follower := startFakeController(t, &requests, fakeResponse{err: &configapi.Error{Kind: configapi.ErrorNotLeader, Leader: leader}})
	if reply, err := publishTo(t, testTimeout, follower); err != nil || reply.Version != 5 {
		t.Errorf("%+v, %v", reply, err)
	}
}

// If a controller responds twice to a call, the second response must not be mistaken for that to the next call. Each
// call therefore uses a new connection.
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
		t.Errorf("%d calls used %d connections", calls, len(connections))
	}
}

// There is temporarily no quorum, or the connection breaks. The client retries the request with the same ID.
func TestPublishRetries(t *testing.T) {
	for name, first := range map[string]fakeResponse{
		"no quorum temporarily": errorResponse(configapi.ErrorNoQuorum),
		"outcome unknown":       errorResponse(configapi.ErrorOutcomeUnknown),
		"connection dropped":    {dropConnection: true},
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

// The first controller is down. The client tries the next one.
func TestPublishTriesNextController(t *testing.T) {
	var requests atomic.Int32
	address := startFakeController(t, &requests, fakeResponse{version: 3})
	if reply, err := publishTo(t, testTimeout, "127.0.0.1:1", address); err != nil || reply.Version != 3 {
		t.Errorf("%+v, %v", reply, err)
	}
}

// The document is invalid, or the rate limit is reached. The client makes no second attempt, because it would not help.
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

// fakeTransport responds to publish requests without a network, so that a test in virtual time controls the time of
// each response. It sends its responses in order, and repeats the last one.
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

// No attempt receives a reply before the context ends. If any attempt may have been written, the error reports an
// unknown outcome; otherwise it reports that nothing was published. An attempt that is cut off by the end of the
// context may have been written, too. The test therefore runs in virtual time, to control when attempts are made.
func TestPublishDistinguishesUnknownOutcomeFromFailure(t *testing.T) {
	for name, c := range map[string]struct {
		responses []fakeResponse
		want      configapi.ErrorKind
	}{
		"no quorum in every attempt":           {[]fakeResponse{errorResponse(configapi.ErrorNoQuorum)}, configapi.ErrorNoQuorum},
		"no quorum after a dropped connection": {[]fakeResponse{{dropConnection: true}, errorResponse(configapi.ErrorNoQuorum)}, configapi.ErrorOutcomeUnknown},
		"no quorum after unknown outcome":      {[]fakeResponse{errorResponse(configapi.ErrorOutcomeUnknown), errorResponse(configapi.ErrorNoQuorum)}, configapi.ErrorOutcomeUnknown},
		"rate limited after unknown outcome":   {[]fakeResponse{errorResponse(configapi.ErrorOutcomeUnknown), errorResponse(configapi.ErrorRateLimited)}, configapi.ErrorOutcomeUnknown},
		"cut off after no quorum":              {[]fakeResponse{errorResponse(configapi.ErrorNoQuorum), {hang: true}}, configapi.ErrorOutcomeUnknown},
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
		t.Errorf("without a controller at the address, the error is %v", err)
	}
}

// An operator knows the address of one controller. The client collects the status of all controllers, and lists those
// that are down.
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
