// Package configclient is the operators' client of the control service: it publishes a version at the controller that
// leads, and collects the status of all controllers. cmd/hookwalk and the scale rigs are its callers.
package configclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// dialTimeout is how long a connection to a controller may take.
	dialTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds a response: the status of thousands of nodes, each with a reason for a rejection.
	maxReplyBytes = 64 << 20
)

// Client calls controllers. It may be used by several goroutines.
type Client struct {
	addresses []string
	http      *http.Client
}

// New makes a client of the controllers at some addresses (HOST:PORT). One address is enough to find the others. Each call
// has a connection of its own, so that what comes back on it is the answer to that call.
func New(addresses []string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{addresses: addresses, http: &http.Client{Transport: transport}}
}

// NewID draws the ID (idempotency key) of a publish request.
func NewID() string { return rand.Text() }

// UnreachableError reports that a controller did not respond, or that what is at its address is no controller.
type UnreachableError struct {
	Address   string // HOST:PORT
	Err       error
	maybeSent bool // the request may have arrived
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("controller %s does not answer: %v", e.Address, e.Err)
}

// Unwrap returns what went wrong.
func (e *UnreachableError) Unwrap() error { return e.Err }

// call makes one call, and decodes its response into reply. Its error is an *UnreachableError or the controller's
// *configapi.Error.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{Address: address, Err: err, maybeSent: !isDialError(err)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &UnreachableError{Address: address, Err: err, maybeSent: true}
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(address, response.Status, text)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return &UnreachableError{Address: address, Err: fmt.Errorf("the answer can't be read: %w", err), maybeSent: true}
	}
	return nil
}

// isDialError reports whether a request failed before there was a connection to send it on.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// decodeError decodes the body of a response that is not 200.
func decodeError(address, status string, text []byte) error {
	var apiError configapi.Error
	if err := json.Unmarshal(text, &apiError); err != nil || apiError.Kind == "" {
		return &UnreachableError{Address: address, Err: fmt.Errorf("it answers %s, as no controller does", status)}
	}
	return &apiError
}
