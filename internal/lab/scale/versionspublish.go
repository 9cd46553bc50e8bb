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
	// attemptPause is the time between two attempts.
	attemptPause = 50 * time.Millisecond
)

// Publisher sends publishes to controllers as an operator's command does, and records what it learns of them.
type Publisher struct {
	Addresses []string // of controllers, asked in turn
	client    *http.Client
	next      int
}

// NewPublisher returns a Publisher that asks the controllers at these addresses.
func NewPublisher(addresses []string) *Publisher {
	return &Publisher{Addresses: addresses, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Publish sends a document to one controller after another, with the same ID, until one accepts it or the context
// ends. At most so many attempts are made; 0: any number.
func (p *Publisher) Publish(ctx context.Context, request configapi.PublishRequest, services []string, most int) Publication {
	publication := Publication{ID: request.ID, Services: services, Outcome: PublishRefused}
	address := p.turn()
	for most == 0 || publication.Attempts < most {
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
			address = p.turn()
		}
		if !pause(ctx, attemptPause) {
			break
		}
	}
	return publication
}

func (p *Publisher) turn() (address string) {
	address = p.Addresses[p.next%len(p.Addresses)]
	p.next++
	return address
}

// attempt asks one controller once. What ends without an answer may have been taken.
func (p *Publisher) attempt(ctx context.Context, address string, request configapi.PublishRequest) (PublishOutcome, configapi.PublishReply, string) {
	var reply configapi.PublishReply
	body, err := json.Marshal(request)
	if err != nil {
		return PublishRefused, reply, ""
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+configapi.PathPublish, bytes.NewReader(body))
	if err != nil {
		return PublishRefused, reply, ""
	}
	response, err := p.client.Do(call)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return PublishRefused, reply, ""
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
	var refusal configapi.Error
	if json.NewDecoder(response.Body).Decode(&refusal) != nil {
		return PublishUnknown, reply, ""
	}
	return outcomeOf(refusal.Kind), reply, refusal.Leader
}

// outcomeOf is what a refusal says of the document.
func outcomeOf(kind configapi.ErrorKind) PublishOutcome {
	switch kind {
	case configapi.ErrorInvalid, configapi.ErrorTooLarge, configapi.ErrorRateLimited, configapi.ErrorNotLeader, configapi.ErrorNoQuorum:
		return PublishRefused
	default:
		return PublishUnknown
	}
}

// pause waits. False: the context has ended before.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
