// Package grpcbalancer integrates hookwalk into grpc-go channels. It decides to which server a call is sent, whether the call
// is retried, and which calls are rejected. It uses the same engine and the same decision module as the daemon.
//
//	opts, err := grpcbalancer.DialOptions(grpcbalancer.Config{Tier: "log-logic", Settings: settings, Source: servers, ...})
//	conn, err := grpc.NewClient("hookwalk:///log-logic", append(opts, credentials)...)
//
// A stream is a single attempt. It is admitted, assigned to a server and counted like any other call, and never moves to
// another server once it is open.
//
// The interceptors are in plugin.go, the engine that channels share in tier.go, the implementations of grpc-go's resolver,
// balancer and picker in balancer.go, and streams in stream.go. Sources of a tier's servers are in source.go, and the mapping
// of grpc-go's errors to outcomes of attempts is in outcomes.go.
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

// RetryKey is the metadata key with which a client marks a call that it has sent before. The value is 1.
const RetryKey = "hookwalk-repeat"

// TenantKey is the metadata key of a call's tenant.
const TenantKey = "hookwalk-tenant"

// deadlineMargin is how long before a call's deadline the engine's own deadline is, at most. A rejection must reach the client
// before its deadline, because only the rejection tells the client that the call has not run.
const deadlineMargin = 20 * time.Millisecond

// deadlineMarginDivisor limits the margin of a short budget to a 50th of the budget.
const deadlineMarginDivisor = 50

// plugin is the state that is shared by the channels that use the options of one call of DialOptions.
type plugin struct {
	config Config

	mu       sync.Mutex
	tier     *tier         // nil while no channel is open
	channels int           // open channels
	err      error         // error of the last attempt to open a channel; nil: it succeeded
	changed  chan struct{} // closed and replaced when tier or err changes
}

// DialOptions returns the options for channels to a tier. The target of such a channel is "hookwalk:///" followed by any
// name. If the application sets a service config, it must name the balancer hookwalk_engine. Retry and hedging policies in the
// service config have no effect. The errors are of type *ConfigError.
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
		// Disables grpc-go's retries and hedging, which would send again calls that may have run. Its transparent retry
		// can't be disabled; the picker rejects it.
		grpc.WithDisableRetry(),
		// Disables the idle mode: an idle channel would close its resolver, and the tier might stop while calls use it.
		grpc.WithIdleTimeout(0),
		// The backoff is short, because every attempt sent to a server fails while grpc-go waits to reconnect to it.
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}),
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	}, nil
}

// interceptUnary is the interceptor of unary calls. The engine admits the call, assigns its attempts to servers and gives the
// call one final answer.
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

// newCall returns the engine's representation of a call.
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

// waitForTier acquires the tier of a call's channel. It waits until the channel's resolver is built, which provides the tier,
// and until the tier is ready. If building the resolver failed, the call fails too, because grpc-go does not build another
// one for the channel.
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

// channelOpened records that a channel's resolver was built, or why it could not be built. Either wakes waiting calls.
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

// channelClosed records that a channel was closed.
func (p *plugin) channelClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.channels--; p.channels == 0 {
		p.tier = nil
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// firstValue returns the first value of a metadata key, or "" if there is none.
func firstValue(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

// statusOf converts a final answer to a status error of grpc-go. A call that may have run gets a code that clients do not
// retry.
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
