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

// stream is a client's stream and the one attempt that it is: placed and counted like any other, and never moved once
// it is open, for its messages are gone. It holds its place with the engine until it ends.
type stream struct {
	grpc.ClientStream
	desc *grpc.StreamDesc
	att  *attempt
	over chan error // takes how it ended, once

	mu    sync.Mutex
	first time.Duration // when the first message came back; 0: none has
	ended bool          // its client has seen the end
	err   error         // as its client has it
	how   balancer.Outcome
}

// stream has the engine place a stream, and gives it to its client when it is open.
func (p *plugin) stream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	t, err := p.enter(ctx, cc)
	if err != nil {
		return nil, err
	}
	r := p.call(ctx, t, method)
	r.opened = make(chan *stream, 1)
	r.open = func(ctx context.Context) (*stream, error) {
		cs, err := streamer(ctx, desc, cc, method, opts...)
		if err != nil {
			return nil, err
		}
		return &stream{ClientStream: cs, desc: desc, over: make(chan error, 1)}, nil
	}
	refused := make(chan error, 1)
	go func() {
		defer t.leave()
		a, err := t.do(ctx, r)
		if err != nil {
			refused <- status.FromContextError(err).Err()
			return
		}
		refused <- final(a, r.err)
	}()
	select {
	case s := <-r.opened:
		return s, nil
	case err := <-refused:
		select {
		case s := <-r.opened: // it was open, and is over by now
			return s, nil
		default:
		}
		return nil, err
	}
}

// stream makes an attempt of a stream and waits for its end.
func (t *tier) stream(a *attempt) (*stream, error) {
	clock := t.engine.Clock
	ctx, cancel := context.WithCancel(context.WithValue(a.call.ctx, attemptKey{}, a))
	defer cancel()
	late := time.AfterFunc(a.Deadline-clock.Now(), cancel) // for its opening; a stream may last
	s, err := a.call.open(ctx)
	if err == nil { // its header may be with the box by now
		a.mu.Lock()
		a.sent = true
		a.mu.Unlock()
	}
	if !late.Stop() && a.call.ctx.Err() == nil {
		return nil, status.Error(codes.DeadlineExceeded, "hookwalk: not open in time")
	}
	if err != nil {
		return nil, err
	}
	s.att = a
	t.engine.ResponseStarted(a.Attempt)
	a.call.opened <- s
	select {
	case err = <-s.over:
	case <-ctx.Done():
		err = status.FromContextError(ctx.Err()).Err()
	}
	return s, err
}

// outcome is the ending of the attempt, and its latency: what counts is when the first message came.
func (s *stream) outcome(err error) (how balancer.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first > 0 {
		latency = s.first - s.att.Started
	}
	if !s.ended { // its context ended before its client received the end
		s.how = s.result(err, nil)
	}
	return s.how, latency
}

// RecvMsg receives a message, or how the stream ended.
func (s *stream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err == nil {
		s.mu.Lock()
		if s.first == 0 {
			s.first = s.att.tier.engine.Clock.Now()
		}
		s.mu.Unlock()
		if s.desc.ServerStreams {
			return nil
		}
		s.end(nil)
		return nil
	}
	if errors.Is(err, io.EOF) {
		s.end(nil)
		return err
	}
	return s.end(err)
}

// end notes how the stream ended, and gives the error that its client has of it: a code that nobody retries where it
// may have run.
func (s *stream) end(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return s.err
	}
	s.ended = true
	s.how = s.result(err, s.Trailer())
	switch s.how {
	case balancer.Success:
		s.err = err
	case balancer.Overloaded, balancer.Unreachable, balancer.NotSent:
		s.err = final(engine.Answer{Verdict: engine.Rejected, RetryAfter: s.att.tier.comeBack(s.att.call.Request.Class)}, err)
	default:
		s.err = err
		if status.Code(err) != codes.Canceled {
			s.err = final(engine.Answer{Verdict: engine.Failed}, err)
		}
	}
	s.over <- err
	return s.err
}

// result is the attempt's ending. What has sent a message back has run, whatever it says then. The caller holds the
// lock.
func (s *stream) result(err error, trailer metadata.MD) balancer.Outcome {
	switch code := status.Code(err); {
	case s.first == 0:
		return ending(s.att, err, trailer)
	case err == nil || answers[code] || code == codes.Canceled && s.att.call.ctx.Err() != nil:
		return balancer.Success
	}
	return balancer.ConnectionLost
}
