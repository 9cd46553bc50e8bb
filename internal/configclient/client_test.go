package configclient

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// answer is what a stand-in for a controller says to a publish request.
type answer struct {
	version configapi.Version // 0: err
	err     *configapi.Error
	cut     bool // the connection ends without an answer
}

// newStandIn plays a controller that gives its answers one after another, the last one again and again.
func newStandIn(t *testing.T, asked *atomic.Int32, answers ...answer) string {
	t.Helper()
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		a := answers[min(int(calls.Add(1)), len(answers))-1]
		switch {
		case a.cut:
			panic(http.ErrAbortHandler)
		case a.err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(a.err)
		default:
			_ = json.NewEncoder(w).Encode(configapi.PublishReply{Cluster: "c", Version: a.version})
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func publishAt(t *testing.T, limit time.Duration, addresses ...string) (configapi.PublishReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	client := New(addresses)
	defer client.Close()
	return client.Publish(ctx, configapi.PublishRequest{ID: NewID(), Document: json.RawMessage(`{}`)})
}

const longEnough = 30 * time.Second

func refusal(kind configapi.ErrorKind) answer { return answer{err: &configapi.Error{Kind: kind}} }

func TestPublishFollowsTheLeader(t *testing.T) {
	var asked atomic.Int32
	leader := newStandIn(t, &asked, answer{version: 5})
	follower := newStandIn(t, &asked, answer{err: &configapi.Error{Kind: configapi.ErrorNotLeader, Leader: leader}})
	if reply, err := publishAt(t, longEnough, follower); err != nil || reply.Version != 5 {
		t.Errorf("%+v, %v", reply, err)
	}
}

func TestPublishRepeats(t *testing.T) {
	for name, first := range map[string]answer{
		"there is no quorum for a moment": refusal(configapi.ErrorNoQuorum),
		"the result is unknown":           refusal(configapi.ErrorOutcomeUnknown),
		"the controller ends meanwhile":   {cut: true},
	} {
		var asked atomic.Int32
		address := newStandIn(t, &asked, first, answer{version: 2})
		if reply, err := publishAt(t, longEnough, address); err != nil || reply.Version != 2 || asked.Load() != 2 {
			t.Errorf("%s: %+v, %v after %d requests", name, reply, err, asked.Load())
		}
	}
}

func TestPublishTriesTheNextController(t *testing.T) {
	var asked atomic.Int32
	address := newStandIn(t, &asked, answer{version: 3})
	if reply, err := publishAt(t, longEnough, "127.0.0.1:1", address); err != nil || reply.Version != 3 {
		t.Errorf("%+v, %v", reply, err)
	}
}

func TestPublishRefusedForGood(t *testing.T) {
	for _, kind := range []configapi.ErrorKind{configapi.ErrorInvalid, configapi.ErrorTooLarge, configapi.ErrorRateLimited} {
		var asked atomic.Int32
		_, err := publishAt(t, longEnough, newStandIn(t, &asked, refusal(kind)))
		var got *configapi.Error
		if !errors.As(err, &got) || got.Kind != kind || asked.Load() != 1 {
			t.Errorf("%s: %v after %d requests", kind, err, asked.Load())
		}
	}
}

// A publish that ends without an answer is unknown if any try may have arrived, and refused otherwise.
func TestPublishTellsUnknownFromRefused(t *testing.T) {
	for name, c := range map[string]struct {
		answers []answer
		want    configapi.ErrorKind
	}{
		"no quorum all the time":   {[]answer{refusal(configapi.ErrorNoQuorum)}, configapi.ErrorNoQuorum},
		"no quorum behind a cut":   {[]answer{{cut: true}, refusal(configapi.ErrorNoQuorum)}, configapi.ErrorOutcomeUnknown},
		"no quorum behind unknown": {[]answer{refusal(configapi.ErrorOutcomeUnknown), refusal(configapi.ErrorNoQuorum)}, configapi.ErrorOutcomeUnknown},
		"too many behind unknown":  {[]answer{refusal(configapi.ErrorOutcomeUnknown), refusal(configapi.ErrorRateLimited)}, configapi.ErrorOutcomeUnknown},
	} {
		var asked atomic.Int32
		_, err := publishAt(t, time.Second, newStandIn(t, &asked, c.answers...))
		var got *configapi.Error
		if !errors.As(err, &got) || got.Kind != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, err := publishAt(t, time.Second, "127.0.0.1:1")
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("nobody there: %v", err)
	}
}

func TestStatusAsksThoseThatAnswersName(t *testing.T) {
	serve := func(status configapi.ControllerStatus) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(status) }))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	second := serve(configapi.ControllerStatus{Name: "c2"})
	first := serve(configapi.ControllerStatus{Name: "c1", Controllers: []configapi.Endpoint{{Address: second}, {Address: "127.0.0.1:1"}}})
	client := New([]string{first})
	defer client.Close()
	got := client.Status(t.Context())
	if len(got.Answers) != 2 || got.Answers[1].Name != "c2" || len(got.Unreachable) != 1 || got.Unreachable[0].Address != "127.0.0.1:1" {
		t.Errorf("%+v", got)
	}
}
