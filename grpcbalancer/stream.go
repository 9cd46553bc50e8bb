package grpcbalancer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// stream is a client's stream and its only attempt. The attempt is assigned to a server and counted like any other, and is in
// flight until the stream ends. An open stream is never moved to another server, because messages that were sent can't be
// sent again.
type stream struct {
	grpc.ClientStream
	desc    *grpc.StreamDesc
	attempt *attempt
	done    chan error // receives the error with which the stream ended, once

	mu           sync.Mutex
	firstMessage time.Duration // clock time of the first received message; 0: none
	ended        bool          // the client has received the end of the stream
	err          error         // the final error that the client received
	outcome      balancer.Outcome
}

// interceptStream is the interceptor of streams. The engine admits the stream and chooses its server. The client gets the stream
// when it is open.
func (p *plugin) interceptStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	t, err := p.waitForTier(ctx, cc)
	if err != nil {
		return nil, err
	}
	r := p.newCall(ctx, t, method)
	r.opened = make(chan *stream, 1)
	r.open = func(ctx context.Context) (*stream, error) {
		cs, err := streamer(ctx, desc, cc, method, opts...)
		if err != nil {
			return nil, err
		}
		return &stream{ClientStream: cs, desc: desc, done: make(chan error, 1)}, nil
	}
	rejected := make(chan error, 1)
	go func() {
		defer t.release()
		a, err := t.decide(ctx, r)
		if err != nil {
			rejected <- status.FromContextError(err).Err()
			return
		}
		rejected <- statusOf(a, r.lastErr)
	}()
	select {
	case s := <-r.opened:
		return s, nil
	case err := <-rejected:
		select {
		case s := <-r.opened: // the stream was opened and has already ended
			return s, nil
		default:
		}
		return nil, err
	}
}

// openStream opens the stream of an attempt and waits until the stream ends. It returns a nil stream if the stream could not be
// opened.
func (t *tier) openStream(a *attempt) (*stream, error) {
	clock := t.engine.Clock
	ctx, cancel := context.WithCancel(context.WithValue(a.call.ctx, attemptKey{}, a))
	defer cancel()
	openTimeout := time.AfterFunc(a.Deadline-clock.Now(), cancel) // the deadline applies only to opening: a stream may last longer
	s, err := a.call.open(ctx)
	if err == nil { // the header may already have reached the server
		a.mu.Lock()
		a.sent = true
		a.mu.Unlock()
	}
	if !openTimeout.Stop() && a.call.ctx.Err() == nil {
		return nil, status.Error(codes.DeadlineExceeded, "hookwalk: not open in time")
	}
	if err != nil {
		return nil, err
	}
	s.attempt = a
	t.engine.ResponseStarted(a.Attempt)
	a.call.opened <- s
	select {
	case err = <-s.done:
	case <-ctx.Done():
		err = status.FromContextError(ctx.Err()).Err()
	}
	return s, err
}

// result returns the outcome of the attempt and its latency until the first message, 0 if there was none.
func (s *stream) result(err error) (outcome balancer.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstMessage > 0 {
		latency = s.firstMessage - s.attempt.Started
	}
	if !s.ended { // the context ended before the client received the end of the stream
		s.outcome = s.outcomeLocked(err, nil)
	}
	return s.outcome, latency
}

// RecvMsg receives the next message, or returns the error with which the stream ended.
func (s *stream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err == nil {
		s.mu.Lock()
		if s.firstMessage == 0 {
			s.firstMessage = s.attempt.tier.engine.Clock.Now()
		}
		s.mu.Unlock()
		if s.desc.ServerStreams {
			return nil
		}
		s.finish(nil)
		return nil
	}
	if errors.Is(err, io.EOF) {
		s.finish(nil)
		return err
	}
	return s.finish(err)
}

// finish records how the stream ended and returns the error for the client. If the call may have run, the error has a code
// that clients do not retry.
func (s *stream) finish(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return s.err
	}
	s.ended = true
	s.outcome = s.outcomeLocked(err, s.Trailer())
	switch s.outcome {
	case balancer.Success:
		s.err = err
	case balancer.Overloaded, balancer.Unreachable, balancer.NotSent:
		s.err = statusOf(engine.Answer{Verdict: engine.Rejected, RetryAfter: s.attempt.tier.retryAfter(s.attempt.call.Request.Class)}, err)
	default:
		s.err = err
		if status.Code(err) != codes.Canceled {
			s.err = statusOf(engine.Answer{Verdict: engine.Failed}, err)
		}
	}
	s.done <- err
	return s.err
}

// outcomeLocked returns the outcome of the attempt. If the server has sent a message, the call has run, however the stream
// ends. The caller holds s.mu.
func (s *stream) outcomeLocked(err error, trailer metadata.MD) balancer.Outcome {
	switch code := status.Code(err); {
	case s.firstMessage == 0:
		return outcomeOf(s.attempt, err, trailer)
	case err == nil || applicationCodes[code] || code == codes.Canceled && s.attempt.call.ctx.Err() != nil:
		return balancer.Success
	}
	return balancer.ConnectionLost
}
