// Package grpcbalancer puts the decisions of hookwalk under a grpc-go channel: which server a call goes to, whether it is
// retried, and what is rejected. It has the same engine and the same decision module as the daemon.
//
//	opts, err := grpcbalancer.DialOptions(grpcbalancer.Config{Tier: "log-logic", Settings: settings, Source: servers, ...})
//	conn, err := grpc.NewClient("hookwalk:///log-logic", append(opts, credentials)...)
//
// A stream is one attempt: admitted, placed and counted like any other call, and never moved once it is open.
//
// plugin.go has the interceptors, tier.go the engine that channels share, balancer.go the resolver, balancer and picker of
// grpc-go, stream.go streams, source.go where the servers of a tier come from, outcomes.go how the library's errors map to
// outcomes of attempts.
package grpcbalancer

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// RetryKey is the metadata key by which a client marks, with the value 1, a call that it has sent before.
const RetryKey = "hookwalk-repeat"

// TenantKey is the metadata key of the tenant that a call is for.
const TenantKey = "hookwalk-tenant"

// deadlineMargin is the most that a final answer is given ahead of a call's deadline. A rejection must come before the
// client stops listening: only the rejection says that nothing ran.
const deadlineMargin = 20 * time.Millisecond

// deadlineMarginDivisor: of a short budget, the margin is the 50th part.
const deadlineMarginDivisor = 50

// plugin is the state that the channels of one DialOptions share.
type plugin struct {
	config Config

	mu       sync.Mutex
	tier     *tier         // nil while no channel is open
	channels int           // open channels
	err      error         // why the last channel could not be opened
	changed  chan struct{} // closed, and replaced, when tier or err changes
}

// DialOptions returns the options of a channel to a tier; its target is "hookwalk:///" and any name. A service config
// that the application sets must name the balancer hookwalk_engine; its retry and hedging policies have no effect. Errors
// are *ConfigError.
func DialOptions(cfg Config) ([]grpc.DialOption, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if err := cfg.Settings.Validate(); err != nil {
		return nil, &ConfigError{cfg.Tier, "Settings", err}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	p := &plugin{config: cfg, changed: make(chan struct{})}
	return []grpc.DialOption{
		grpc.WithResolvers(&resolverBuilder{p}),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + balancerName + `":{}}]}`),
		// Without the library's own retries and hedging, which would send again what may have run. Its transparent retry
		// can't be switched off; the picker rejects it.
		grpc.WithDisableRetry(),
		// An idle channel would close its resolver, and the tier might stop under its calls.
		grpc.WithIdleTimeout(0),
		// A short backoff: while the library waits to reconnect, all that the engine sends to the server fails.
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}),
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	}, nil
}

// interceptUnary is the interceptor of unary calls: the engine admits, places and retries a call and gives its one final answer.
func (p *plugin) interceptUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	t, err := p.waitForTier(ctx, cc)
	if err != nil {
		return err
	}
	defer t.release()
	r := p.newCall(ctx, t, method)
	r.invoke = func(ctx context.Context, trailer *metadata.MD) error {
		return invoker(ctx, method, req, reply, cc, append(opts[:len(opts):len(opts)], grpc.Trailer(trailer))...)
	}
	a, err := t.decide(ctx, r)
	if err != nil {
		return status.FromContextError(err).Err()
	}
	return statusOf(a, r.lastErr)
}

// newCall describes a call to the engine.
func (p *plugin) newCall(ctx context.Context, t *tier, method string) *rpc {
	now := t.engine.Clock.Now()
	r := &rpc{}
	r.Budget = p.config.Deadline
	if end, ok := ctx.Deadline(); ok {
		r.Budget = time.Until(end)
	}
	r.Budget -= min(r.Budget/deadlineMarginDivisor, deadlineMargin)
	md, _ := metadata.FromOutgoingContext(ctx)
	r.Tenant = firstValue(md, TenantKey)
	r.Request = balancer.Request{ID: strconv.FormatUint(t.lastCallID.Add(1), 10), Class: p.config.Methods[method],
		Deadline: now + r.Budget, ClientRetry: firstValue(md, RetryKey) == "1"}
	return r
}

// waitForTier makes a call a user of its channel's tier. A new channel has none before its resolver is built, and a new
// tier waits for its first list. The library builds no second resolver for a channel whose first failed.
func (p *plugin) waitForTier(ctx context.Context, cc *grpc.ClientConn) (*tier, error) {
	for {
		p.mu.Lock()
		t, changed, err := p.tier, p.changed, p.err
		if t != nil {
			t.acquire()
		}
		p.mu.Unlock()
		if t != nil {
			select {
			case <-t.ready:
				return t, nil
			case <-ctx.Done():
				t.release()
				return nil, status.FromContextError(ctx.Err()).Err()
			}
		}
		if cc.GetState() == connectivity.Shutdown {
			return nil, status.Error(codes.Canceled, "hookwalk: the channel is closed")
		}
		if err != nil {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		cc.Connect()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// channelOpened counts a channel whose resolver was built, or notes why it could not be. Calls wait for either.
func (p *plugin) channelOpened(t *tier, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err = err; err == nil {
		p.tier = t
		p.channels++
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// channelClosed counts a channel that was closed.
func (p *plugin) channelClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.channels--; p.channels == 0 {
		p.tier = nil
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// firstValue is the first value of a metadata key, or "".
func firstValue(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

// statusOf turns a final answer into a status error of the library. A call that may have run gets a code that clients do
// not retry.
func statusOf(a engine.Answer, last error) error {
	switch a.Verdict {
	case engine.Served:
		return last // nil, or the application's error
	case engine.Rejected, engine.Aborted:
		if a.Verdict == engine.Aborted && a.Status != 503 {
			return status.Error(codes.Internal, "hookwalk: ended by a drill")
		}
		s := status.New(codes.Unavailable, "hookwalk: refused; it may be sent again")
		if a.RetryAfter > 0 {
			if d, err := s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(a.RetryAfter)}); err == nil {
				s = d
			}
		}
		return s.Err()
	}
	if errors.Is(last, context.DeadlineExceeded) || status.Code(last) == codes.DeadlineExceeded {
		return status.Error(codes.DeadlineExceeded, "hookwalk: out of time; it may have run")
	}
	return status.Errorf(codes.Internal, "hookwalk: it may have run and is not sent again: %v", last)
}
