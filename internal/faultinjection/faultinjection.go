// Package faultinjection authorizes requests that start a drill on a node, and sends such requests for operators. A drill
// injects a fault into a share of one class's requests; package balancer decides what happens to each request. Drill is the
// operators' name for fault injection in settings, paths and messages.
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

// The path and the header of the POST request that starts a drill.
const (
	Path   = "/drills"     // on the node's listener
	Header = "X-Drill-Key" // contains the secret of the drill
)

// maxAnswerBytes limits how much of a node's response is read. The response is one line.
const maxAnswerBytes = 1 << 10

// Reasons why a node does not start a drill. It responds with 404 for ErrNotConfigured and 403 for ErrWrongKey.
var (
	ErrNotConfigured = errors.New("no drill can be started here")
	ErrWrongKey      = errors.New("the key is not that of a drill")
)

// StatusError is returned if a node refuses to start a drill.
type StatusError struct {
	Status  string // HTTP status of the response
	Message string // the node's reason
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the node answered %s: %s", e.Status, e.Message)
}

// Keys contains the hashed secrets of the drills that can be started. It is immutable.
type Keys struct {
	configured bool                // the settings have drills, with or without secrets
	names      []string            // of the drills with a secret
	sums       [][sha256.Size]byte // hashes of the secrets: equal length hides that of the secrets
}

// NewKeys returns the keys of the drills in the settings. Drills without a secret can't be started.
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

// Requested reports whether a request asks to start a drill. If no drill is configured, a POST to the path without the
// header is an ordinary request.
func (k *Keys) Requested(r *http.Request) bool {
	return r.URL.Path == Path && r.Method == http.MethodPost && (k.configured || len(r.Header[Header]) > 0)
}

// Match returns the name of the drill that the key in a request starts. The error is ErrNotConfigured or ErrWrongKey. Match
// compares in constant time, so that the response time reveals nothing about the secrets.
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

// Start requests a drill from the node at an address (HOST:PORT) and returns the text of its response. If the node refuses,
// the error is a *StatusError.
func Start(ctx context.Context, addr, secret string) (answer string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, nil)
	if err != nil {
		return "", fmt.Errorf("address: %w", err)
	}
	r.Header.Set(Header, secret)
	// The key must not be sent to anyone but the node: no proxy, no redirect.
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
