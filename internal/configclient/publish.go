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
	// publishTimeout is how long one controller may take to reply to a publish request; then another one is tried, with
	// the same ID. A quorum's disks take milliseconds; a stalled leader never replies.
	publishTimeout = time.Second
	// publishRetryDelay is the pause before another attempt, for an election to end.
	publishRetryDelay = 150 * time.Millisecond
)

// Publish publishes a version. It looks for the leader, and retries with the same ID until there is a reply, an error
// that another attempt can't change, or the end of ctx.
//
// Its error is a *configapi.Error, or an *UnreachableError if no controller could be reached. An error of kind
// ErrorOutcomeUnknown reports that the version may still come into force; with any other, it does not.
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

// publisher is one publish request with its attempts.
type publisher struct {
	client       *Client
	body         []byte
	targets      []string // addresses; the first one is tried next
	lastErr      error
	maybeWritten bool // an earlier attempt may have been written to the log
}

func (p *publisher) attempt(ctx context.Context) (configapi.PublishReply, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var reply configapi.PublishReply
	err := p.client.call(ctx, http.MethodPost, p.targets[0], configapi.PathPublish, p.body, &reply)
	return reply, err
}

// planRetry decides after an attempt that failed whether there is another one, after which delay, and at which
// controller (the first of targets): the leader if the error names it, else the next one in turn.
//
// It guards against two mistakes. An operator who is told that nothing was published, although it was, publishes twice:
// hence maybeTaken. And a rate limit after an attempt that may have been written is no final answer: it may count that
// very version.
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

// timeoutError is the error when ctx has ended before there was a reply.
func (p *publisher) timeoutError() error {
	if !p.maybeWritten {
		return p.lastErr
	}
	return &configapi.Error{Kind: configapi.ErrorOutcomeUnknown,
		Message: fmt.Sprintf("the version may or may not come into force; the last answer: %v", p.lastErr)}
}

// sleep waits for a delay. It returns false if ctx has ended.
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
