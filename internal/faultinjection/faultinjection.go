// Package faultinjection checks who may start a drill at a node, and starts one at a running node for an operator. A drill
// injects a fault into a share of one class's requests; what it does to a request is decided by package balancer. Drill is
// the operators' word, which stays in settings, paths and messages.
package faultinjection

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hookwalk.example/hookwalk/internal/settings"
)

// A drill is started by a POST with its secret in a header.
const (
	Path   = "/drills"     // of the request, at the node's listener
	Header = "X-Drill-Key" // has the secret
)

// maxAnswerBytes is how much of a node's answer is read, in bytes. It is one line.
const maxAnswerBytes = 1 << 10

// Why a node starts no drill. Its answer is 404 for the first, 403 for the second.
var (
	ErrNotConfigured = errors.New("no drill can be started here")
	ErrWrongKey      = errors.New("the key is not that of a drill")
)

// StatusError says that a node has answered that it starts no drill.
type StatusError struct {
	Status  string // of the HTTP answer
	Message string // the node's reason
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the node answered %s: %s", e.Status, e.Message)
}

// Keys has the secrets of the drills that can be started. It is immutable.
type Keys struct {
	configured bool                // there are drills, be it without secrets
	names      []string            // of the drills with a secret
	sums       [][sha256.Size]byte // of their secrets: of one length, so that comparing reveals nothing of a secret's
}

// NewKeys returns the keys of the drills of the settings. Those without a secret can't be started.
func NewKeys(list []settings.FaultInjection) *Keys {
	k := &Keys{configured: len(list) > 0}
	for _, d := range list {
		if d.Secret != "" {
			k.names = append(k.names, d.Name)
			k.sums = append(k.sums, sha256.Sum256([]byte(d.Secret)))
		}
	}
	return k
}

// Requested reports whether a request asks for a drill. Where no drill is configured, only the header distinguishes it
// from any other request to the path.
func (k *Keys) Requested(r *http.Request) bool {
	return r.URL.Path == Path && r.Method == http.MethodPost && (k.configured || len(r.Header[Header]) > 0)
}

// Match returns the drill that a request's key starts, or ErrNotConfigured or ErrWrongKey. It compares in constant time, so
// that answers reveal nothing of the secrets.
func (k *Keys) Match(h http.Header) (name string, err error) {
	if len(k.names) == 0 {
		return "", ErrNotConfigured
	}
	var sum [sha256.Size]byte
	keys := h[Header]
	if len(keys) == 1 {
		sum = sha256.Sum256([]byte(keys[0]))
	}
	for i := range k.sums {
		if subtle.ConstantTimeCompare(sum[:], k.sums[i][:]) == 1 {
			name = k.names[i]
		}
	}
	if name == "" || len(keys) != 1 {
		return "", ErrWrongKey
	}
	return name, nil
}

// Start asks the node at an address (HOST:PORT) to start a drill, and returns its answer. A refusal is a *StatusError.
func Start(ctx context.Context, addr, secret string) (answer string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, nil)
	if err != nil {
		return "", fmt.Errorf("address: %w", err)
	}
	r.Header.Set(Header, secret)
	// The key goes to the node and nowhere else: no proxy, no redirect.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", fmt.Errorf("answer: %w", err)
	}
	answer = strings.TrimSpace(string(body))
	if resp.StatusCode != http.StatusOK {
		return "", &StatusError{resp.Status, answer}
	}
	return answer, nil
}
