// Package faultinjection says who may start a drill, and starts one at a node. What a drill does to requests is decided
// by the module.
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

// Where a drill is started: a POST with the drill's secret in a header.
const (
	Path   = "/drills"
	Header = "X-Drill-Key"
)

// Why a drill can't be started.
var (
	ErrNotConfigured = errors.New("no drill can be started here")
	ErrWrongKey      = errors.New("the key is not that of a drill")
)

// Keys knows the secrets of the drills that can be started.
type Keys struct {
	configured bool
	names      []string
	sums       [][sha256.Size]byte // alike in length, so comparing them tells nothing of a secret's
}

// NewKeys takes the drills of the settings, of which some may have no secret.
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

// Requested says that a request asks for a drill. Where no drill is configured only the header tells: one without
// it is any other request.
func (k *Keys) Requested(r *http.Request) bool {
	return r.URL.Path == Path && r.Method == http.MethodPost && (k.configured || len(r.Header[Header]) > 0)
}

// Match finds the drill that a request's key starts, in a time that tells nothing of the secrets.
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

// Start asks the node at an address to start a drill and returns what it said.
func Start(ctx context.Context, addr, secret string) (said string, err error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return "", fmt.Errorf("answer: %w", err)
	}
	said = strings.TrimSpace(string(body))
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("the node answered %s: %s", resp.Status, said)
	}
	return said, nil
}
