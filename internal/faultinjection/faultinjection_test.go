package faultinjection

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/settings"
)

func TestMatch(t *testing.T) {
	two := NewKeys([]settings.FaultInjection{{Name: "a", Secret: "one"}, {Name: "b", Secret: "two"}, {Name: "locked"}})
	for _, c := range []struct {
		keys   *Keys
		sent   []string
		name   string
		reason error
	}{
		{two, []string{"one"}, "a", nil}, {two, []string{"two"}, "b", nil},
		{two, nil, "", ErrWrongKey}, {two, []string{""}, "", ErrWrongKey}, {two, []string{"One"}, "", ErrWrongKey},
		{two, []string{"one", "one"}, "", ErrWrongKey}, {two, []string{"", "one"}, "", ErrWrongKey},
		{NewKeys([]settings.FaultInjection{{Name: "locked"}}), []string{""}, "", ErrNotConfigured},
		{NewKeys(nil), []string{"one"}, "", ErrNotConfigured},
	} {
		name, err := c.keys.Match(http.Header{Header: c.sent})
		if name != c.name || !errors.Is(err, c.reason) {
			t.Errorf("%q: %q, %v; want %q, %v", c.sent, name, err, c.name, c.reason)
		}
	}
}

func TestRequested(t *testing.T) {
	off, on := NewKeys(nil), NewKeys([]settings.FaultInjection{{Name: "locked"}})
	for _, c := range []struct {
		method, path, key string
		off, on           bool
	}{
		{"POST", Path, "k", true, true}, {"POST", Path, "", false, true}, {"GET", Path, "k", false, false},
		{"POST", "/api", "k", false, false},
	} {
		r := httptest.NewRequest(c.method, c.path, nil)
		if c.key != "" {
			r.Header.Set(Header, c.key)
		}
		if off.Requested(r) != c.off || on.Requested(r) != c.on {
			t.Errorf("%+v: %v without drills, %v with a drill", c, off.Requested(r), on.Requested(r))
		}
	}
}

// The key is sent only to the node that is called, not to the target of a redirect.
func TestStart(t *testing.T) {
	followed := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != Path:
			followed = true
		case r.Header.Get(Header) == "elsewhere":
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		case r.Method != http.MethodPost || r.Header.Get(Header) != "one":
			http.Error(w, ErrWrongKey.Error(), http.StatusForbidden)
		default:
			w.Write([]byte("drill=a started\n"))
		}
	}))
	defer s.Close()
	addr := s.Listener.Addr().String()
	if answer, err := Start(context.Background(), addr, "one"); err != nil || answer != "drill=a started" {
		t.Errorf("got answer %q, error %v", answer, err)
	}
	if _, err := Start(context.Background(), addr, "two"); err == nil || !strings.Contains(err.Error(), "403 Forbidden: the key is not") {
		t.Errorf("wrong key: error %v, want 403 Forbidden with the reason", err)
	}
	if _, err := Start(context.Background(), addr, "elsewhere"); err == nil || followed {
		t.Errorf("redirect: error %v, followed %v; want an error and no further request", err, followed)
	}
	if _, err := Start(context.Background(), "no address", "one"); err == nil {
		t.Error("no error for an invalid address")
	}
}
