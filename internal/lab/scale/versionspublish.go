package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Timings of a Publisher.
const (
	// attemptTimeout is how long one controller may take to answer a publish.
	attemptTimeout = 1500 * time.Millisecond
	// retryInterval is the time between two attempts of a publish.
	retryInterval = 50 * time.Millisecond
)

// Publisher sends publish requests to controllers, as the operator's command does, and records their outcomes.
type Publisher struct {
	Addresses []string // of controllers, tried in turn
	client    *http.Client
	next      int
}

// NewPublisher returns a Publisher that sends to the controllers at these addresses.
func NewPublisher(addresses []string) *Publisher {
	return &Publisher{Addresses: addresses, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Publish sends a document to one controller after another, with the same ID, until one accepts it or the context
// ends. It makes at most maxAttempts attempts, or any number if maxAttempts is 0.
func (p *Publisher) Publish(ctx context.Context, request configapi.PublishRequest, services []string, maxAttempts int) Publication {
	publication := Publication{ID: request.ID, Services: services, Outcome: PublishRejected}
	address := p.nextAddress()
	for maxAttempts == 0 || publication.Attempts < maxAttempts {
		outcome, reply, leader := p.attempt(ctx, address, request)
		publication.Attempts++
		publication.Answered = time.Now()
		switch outcome {
		case PublishAccepted:
			publication.Outcome, publication.Version = PublishAccepted, reply.Version
			return publication
		case PublishUnknown:
			publication.Outcome = PublishUnknown
		}
		if address = leader; address == "" {
			address = p.nextAddress()
		}
		if sleep(ctx, retryInterval) != nil {
			break
		}
	}
	return publication
}

// nextAddress returns the address of the next controller in turn.
func (p *Publisher) nextAddress() (address string) {
	address = p.Addresses[p.next%len(p.Addresses)]
	p.next++
	return address
}

// attempt sends the publish request to one controller once. It also returns the leader's address if the controller's
// answer names it. The outcome of a call without an answer is unknown, because the controller may have accepted the
// document.
func (p *Publisher) attempt(ctx context.Context, address string, request configapi.PublishRequest) (PublishOutcome, configapi.PublishReply, string) {
	var reply configapi.PublishReply
	body, err := json.Marshal(request)
	if err != nil {
		return PublishRejected, reply, ""
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+configapi.PathPublish, bytes.NewReader(body))
	if err != nil {
		return PublishRejected, reply, ""
	}
	response, err := p.client.Do(call)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return PublishRejected, reply, ""
	case err != nil:
		return PublishUnknown, reply, ""
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if json.NewDecoder(response.Body).Decode(&reply) != nil || reply.Version == 0 {
			return PublishUnknown, reply, ""
		}
		return PublishAccepted, reply, ""
	}
	var failure configapi.Error
	if json.NewDecoder(response.Body).Decode(&failure) != nil {
		return PublishUnknown, reply, ""
	}
	return outcomeOf(failure.Kind), reply, failure.Leader
}

// outcomeOf returns the outcome of a publish that a controller answered with this kind of error.
func outcomeOf(kind configapi.ErrorKind) PublishOutcome {
	switch kind {
	case configapi.ErrorInvalid, configapi.ErrorTooLarge, configapi.ErrorRateLimited, configapi.ErrorNotLeader, configapi.ErrorNoQuorum:
		return PublishRejected
	default:
		return PublishUnknown
	}
}
