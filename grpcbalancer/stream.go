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

// stream is a client's stream and its one attempt. It is placed and counted like any other, and never moved once it is
// open, because messages that were sent can't be sent again. It counts as in flight until it ends.
type stream struct {
	grpc.ClientStream
	desc    *grpc.StreamDesc
	attempt *attempt
	done    chan error // takes the error with which it ended, once

	mu           sync.Mutex
	firstMessage time.Duration // clock time of the first received message; 0: none
	ended        bool          // the client has received the end
	err          error         // as the client received it
	outcome      balancer.Outcome
}

// interceptStream is the interceptor of streams: the engine admits and places a stream; the client gets it when it is open.
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
		case s := <-r.opened: // it was opened, and has ended by now
			return s, nil
		default:
		}
		return nil, err
	}
}

// openStream makes the attempt of a stream and waits for its end.
func (t *tier) openStream(a *attempt) (*stream, error) {
	clock := t.engine.Clock
	ctx, cancel := context.WithCancel(context.WithValue(a.call.ctx, attemptKey{}, a))
	defer cancel()
	openTimeout := time.AfterFunc(a.Deadline-clock.Now(), cancel) // the deadline is for opening it; a stream may last
	s, err := a.call.open(ctx)
	if err == nil { // its header may have reached the server by now
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

// result is the outcome of the attempt, and its latency until the first message.
func (s *stream) result(err error) (outcome balancer.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstMessage > 0 {
		latency = s.firstMessage - s.attempt.Started
	}
	if !s.ended { // its context ended before the client received the end
		s.outcome = s.outcomeLocked(err, nil)
	}
	return s.outcome, latency
}

// RecvMsg receives a message, or how the stream ended.
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

// finish notes how the stream ended, and returns the error for the client: a code that clients do not retry where the
// call may have run.
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

// outcomeLocked is the attempt's outcome. A stream that has sent a message back has run, however it ends. The caller holds
// s.mu.
func (s *stream) outcomeLocked(err error, trailer metadata.MD) balancer.Outcome {
	switch code := status.Code(err); {
	case s.firstMessage == 0:
		return outcomeOf(s.attempt, err, trailer)
	case err == nil || applicationCodes[code] || code == codes.Canceled && s.attempt.call.ctx.Err() != nil:
		return balancer.Success
	}
	return balancer.ConnectionLost
}
