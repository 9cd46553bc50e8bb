// Package configclient is the operators' side of the control service: it publishes a version at whichever controller
// leads, and collects what all controllers know. cmd/hookwalk and the scale rigs are its callers.
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
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	dialTimeout = 500 * time.Millisecond
	// publishTimeout is how long one controller may take to answer a publish; then another one is asked, with the same
	// ID. A quorum's disks take some milliseconds; a leader that is stalled takes for ever.
	publishTimeout = time.Second
	// statusTimeout is how long one controller may take to say what it knows.
	statusTimeout = 2 * time.Second
	// retryDelay is the pause after a controller that could not take the request.
	retryDelay    = 150 * time.Millisecond
	maxReplyBytes = 64 << 20 // bytes: 10,000 nodes of a few hundred bytes, and room
)

// Client asks controllers. It may be used by several goroutines.
type Client struct {
	addresses []string
	http      *http.Client
}

// New makes a client of the controllers at some addresses (HOST:PORT). One is enough to find the others.
func New(addresses []string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}
	return &Client{addresses: addresses, http: &http.Client{Transport: transport}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewID draws the ID of a publish request.
func NewID() string { return rand.Text() }

// UnreachableError says that a controller did not answer.
type UnreachableError struct {
	Address   string
	Err       error
	maybeSent bool // the request may have arrived
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("controller %s does not answer: %v", e.Address, e.Err)
}
func (e *UnreachableError) Unwrap() error { return e.Err }

// Publish publishes a version: it looks for the leader, and repeats the request with the same ID until it is answered or
// ctx ends. An error of kind ErrorOutcomeUnknown says that the version may come into force none the less.
func (c *Client) Publish(ctx context.Context, request configapi.PublishRequest) (configapi.PublishReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return configapi.PublishReply{}, &configapi.Error{Kind: configapi.ErrorInvalid, Message: fmt.Sprintf("the document is not JSON: %v", err)}
	}
	p := publisher{client: c, body: body, targets: slices.Clone(c.addresses)}
	for {
		reply, err := p.attempt(ctx)
		if err == nil {
			return reply, nil
		}
		if final := p.classify(err); final != nil {
			return configapi.PublishReply{}, final
		}
		if !sleep(ctx, p.delay) {
			return configapi.PublishReply{}, p.timeoutError()
		}
	}
}

// publisher is one publish request on its way.
type publisher struct {
	client     *Client
	body       []byte
	targets    []string // the first one is asked next
	lastErr    error
	maybeTaken bool // an earlier try may have been taken
	delay      time.Duration
}

func (p *publisher) attempt(ctx context.Context) (configapi.PublishReply, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var reply configapi.PublishReply
	err := p.client.call(ctx, http.MethodPost, p.targets[0], configapi.PathPublish, p.body, &reply)
	return reply, err
}

// classify draws the conclusions from a try that failed: the error to return, or nil if another try makes sense.
func (p *publisher) classify(err error) (final error) {
	p.lastErr, p.delay = err, retryDelay
	tried := p.targets[0]
	p.targets = append(p.targets[1:], tried)
	var refusal *configapi.Error
	var unreachable *UnreachableError
	switch {
	case errors.As(err, &unreachable):
		p.maybeTaken = p.maybeTaken || unreachable.maybeSent
	case !errors.As(err, &refusal):
		return err
	case refusal.Kind == configapi.ErrorOutcomeUnknown:
		p.maybeTaken = true
	case refusal.Kind == configapi.ErrorNotLeader && refusal.Leader != "":
		p.targets = slices.DeleteFunc(p.targets, func(address string) bool { return address == refusal.Leader })
		p.targets = slices.Insert(p.targets, 0, refusal.Leader)
		p.delay = 0
	case refusal.Kind == configapi.ErrorNotLeader, refusal.Kind == configapi.ErrorNoQuorum:
	case refusal.Kind == configapi.ErrorRateLimited && p.maybeTaken:
	default:
		return err
	}
	return nil
}

// timeoutError is the error when the time is over.
func (p *publisher) timeoutError() error {
	if !p.maybeTaken {
		return p.lastErr
	}
	return &configapi.Error{Kind: configapi.ErrorOutcomeUnknown,
		Message: fmt.Sprintf("the version may or may not come into force; the last answer: %v", p.lastErr)}
}

// sleep waits a moment. It returns false when ctx has ended.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Statuses are what the controllers know, and those that did not answer.
type Statuses struct {
	Answers     []configapi.ControllerStatus
	Unreachable []*UnreachableError
}

// Status asks all controllers, those too that the first ones name.
func (c *Client) Status(ctx context.Context) Statuses {
	var all Statuses
	asked := map[string]bool{}
	for next := slices.Clone(c.addresses); len(next) > 0; {
		round := c.queryAll(ctx, next)
		for _, address := range next {
			asked[address] = true
		}
		all.Answers = append(all.Answers, round.Answers...)
		all.Unreachable = append(all.Unreachable, round.Unreachable...)
		next = nil
		for _, answer := range round.Answers {
			for _, other := range answer.Controllers {
				if !asked[other.Address] && !slices.Contains(next, other.Address) {
					next = append(next, other.Address)
				}
			}
		}
	}
	return all
}

// queryAll asks some controllers side by side.
func (c *Client) queryAll(ctx context.Context, addresses []string) Statuses {
	answers := make([]configapi.ControllerStatus, len(addresses))
	failures := make([]error, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			failures[i] = c.call(ctx, http.MethodGet, address, configapi.PathStatus, nil, &answers[i])
		})
	}
	calls.Wait()
	var all Statuses
	for i, address := range addresses {
		var unreachable *UnreachableError
		switch err := failures[i]; {
		case err == nil:
			all.Answers = append(all.Answers, answers[i])
		case errors.As(err, &unreachable):
			all.Unreachable = append(all.Unreachable, unreachable)
		default:
			all.Unreachable = append(all.Unreachable, &UnreachableError{Address: address, Err: err})
		}
	}
	return all
}

// call makes one call. Its error is an UnreachableError or the controller's configapi.Error.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		var dial *net.OpError
		refused := errors.As(err, &dial) && dial.Op == "dial"
		return &UnreachableError{Address: address, Err: err, maybeSent: !refused}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &UnreachableError{Address: address, Err: err, maybeSent: true}
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(address, response.Status, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &UnreachableError{Address: address, Err: fmt.Errorf("the answer can't be read: %w", err), maybeSent: true}
	}
	return nil
}

// decodeError reads a controller's refusal.
func decodeError(address, status string, text []byte) error {
	var refusal configapi.Error
	if err := json.Unmarshal(text, &refusal); err != nil || refusal.Kind == "" {
		return &UnreachableError{Address: address, Err: fmt.Errorf("it answers %s, as no controller does", status)}
	}
	return &refusal
}
