// Package configclient is the operators' client of the control service. It publishes versions at the leader and
// collects the status of all controllers. It is used by cmd/hookwalk and by the tests of internal/controller.
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
	// dialTimeout limits the time to connect to a controller.
	dialTimeout = 500 * time.Millisecond
	// maxReplyBytes limits the size of a response. The status may list thousands of nodes, each with a reason for a
	// rejection.
	maxReplyBytes = 64 << 20
)

// Client calls controllers. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
}

// New returns a client for the controllers at the given addresses (HOST:PORT). One address is enough to find the
// others. Each call uses a new connection, so that a response cannot be mistaken for the response to another call.
func New(addresses []string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{addresses: addresses, http: &http.Client{Transport: transport}}
}

// NewID draws the ID (idempotency key) of a publish request.
func NewID() string { return rand.Text() }

// UnreachableError reports that a controller did not respond, or that its address does not belong to a controller.
type UnreachableError struct {
	Address   string // HOST:PORT
	Err       error
	maybeSent bool // the request may have reached the controller
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no valid response from controller %s: %v", e.Address, e.Err)
}

// Unwrap returns the error of the call.
func (e *UnreachableError) Unwrap() error { return e.Err }

// call makes one call and decodes the response into reply. Its error is an *UnreachableError or the *configapi.Error
// from the controller.
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
		return &UnreachableError{Address: address, Err: fmt.Errorf("the response cannot be decoded: %w", err), maybeSent: true}
	}
	return nil
}

// isDialError reports whether a request failed because no connection could be established, so that it was not sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// decodeError decodes the body of a response whose status is not 200.
func decodeError(address, status string, text []byte) error {
	var apiError configapi.Error
	if err := json.Unmarshal(text, &apiError); err != nil || apiError.Kind == "" {
		return &UnreachableError{Address: address, Err: fmt.Errorf("the response %s does not contain a controller's error", status)}
	}
	return &apiError
}
