package configclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// publishTimeout is how long the client waits for a controller's reply to a publish request before it tries another
	// controller with the same ID. A quorum writes to disk within milliseconds; a stalled leader never replies.
	publishTimeout = time.Second
	// publishRetryDelay is the pause before another attempt. It gives an election time to end.
	publishRetryDelay = 150 * time.Millisecond
)

// Publish publishes a version. It finds the leader, and retries with the same ID until it receives a reply or an error
// that another attempt cannot change, or until ctx ends.
//
// Its error is a *configapi.Error, or an *UnreachableError if the last controller could not be reached. An error of
// kind ErrorOutcomeUnknown means that the version may still come into force; any other error means that it will not.
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
		delay, retry := p.planRetry(err)
		if !retry {
			return configapi.PublishReply{}, err
		}
		if !sleep(ctx, delay) {
			return configapi.PublishReply{}, p.timeoutError()
		}
	}
}

// publisher is one publish request with the state of its attempts.
type publisher struct {
	client       *Client
	body         []byte
	targets      []string // addresses; the first one is tried next
	lastErr      error
	maybeWritten bool // an attempt may have been written to the log
}

func (p *publisher) attempt(ctx context.Context) (configapi.PublishReply, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var reply configapi.PublishReply
	err := p.client.call(ctx, http.MethodPost, p.targets[0], configapi.PathPublish, p.body, &reply)
	return reply, err
}

// planRetry decides after a failed attempt whether to make another one, after which delay, and at which controller
// (targets[0]): the leader if the error names it, otherwise the next controller in turn.
//
// It prevents two mistakes. If an operator is told that nothing was published although a version was, the operator
// publishes it twice; maybeWritten prevents this. Furthermore, a rate limit error after an attempt that may have been
// written is not final, because the version of that attempt may itself count towards the limit.
func (p *publisher) planRetry(err error) (delay time.Duration, retry bool) {
	p.lastErr = err
	failed := p.targets[0]
	p.targets = append(p.targets[1:], failed)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		p.maybeWritten = p.maybeWritten || unreachable.maybeSent
		return publishRetryDelay, true
	}
	var apiError *configapi.Error
	if !errors.As(err, &apiError) {
		return 0, false
	}
	switch apiError.Kind {
	case configapi.ErrorOutcomeUnknown:
		p.maybeWritten = true
		return publishRetryDelay, true
	case configapi.ErrorNotLeader:
		if apiError.Leader == "" {
			return publishRetryDelay, true
		}
		p.tryFirst(apiError.Leader)
		return 0, true
	case configapi.ErrorNoQuorum:
		return publishRetryDelay, true
	case configapi.ErrorRateLimited:
		return publishRetryDelay, p.maybeWritten
	}
	return 0, false
}

// tryFirst makes an address the next target.
func (p *publisher) tryFirst(address string) {
	p.targets = slices.DeleteFunc(p.targets, func(other string) bool { return other == address })
	p.targets = slices.Insert(p.targets, 0, address)
}

// timeoutError returns the error for a context that ended before a reply arrived.
func (p *publisher) timeoutError() error {
	if !p.maybeWritten {
		return p.lastErr
	}
	return &configapi.Error{Kind: configapi.ErrorOutcomeUnknown,
		Message: fmt.Sprintf("the version may or may not come into force; last error: %v", p.lastErr)}
}

// sleep waits for a delay. It returns false if ctx ends first.
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
