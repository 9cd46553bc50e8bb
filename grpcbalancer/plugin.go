// Package grpcbalancer puts the decisions of hookwalk under a grpc-go channel: which box a call goes to, whether it goes
// again, and what is refused. It has the same engine and the same decision module as the daemon.
//
//	opts, err := grpcbalancer.Dial(grpcbalancer.Config{Tier: "log-logic", Settings: settings, Source: boxes, ...})
//	conn, err := grpc.NewClient("hookwalk:///log-logic", append(opts, credentials)...)
//
// A stream is one attempt: placed, counted and refused like any other call, and never moved once it is open.
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

// RetryKey is the metadata key, with the value 1, by which a client says that it has sent a call before.
const RetryKey = "hookwalk-repeat"

// TenantKey is the metadata key of the tenant that a call is for.
const TenantKey = "hookwalk-tenant"

// answerTime is the most that a final answer is given ahead of a call's deadline.
const answerTime = 20 * time.Millisecond

// plugin is what one channel's options share.
type plugin struct {
	cfg Config

	mu      sync.Mutex
	tier    *tier         // while one of its channels lives
	uses    int           // such channels
	err     error         // why the last one to be built has none
	changed chan struct{} // closed when the tier has
}

// Dial gives the options of a channel to a tier; its target is "hookwalk:///" and any name. A service config
// that the application sets must name the balancer hookwalk_engine; its retry and hedging policies have no effect.
func Dial(cfg Config) ([]grpc.DialOption, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if _, err := balancer.New(cfg.Settings, cfg.Seed); err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	p := &plugin{cfg: cfg, changed: make(chan struct{})}
	return []grpc.DialOption{
		grpc.WithResolvers(&builder{p}),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + balancerName + `":{}}]}`),
		// The library's own retries by policy and hedging: what may have run would be sent again. Its transparent retry
		// can't be switched off; the picker ends it.
		grpc.WithDisableRetry(),
		// An idle channel would drop its list, and the tier might end under its calls.
		grpc.WithIdleTimeout(0),
		// A box that comes back is found soon: while the library waits, all that the engine sends there fails.
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}),
		grpc.WithChainUnaryInterceptor(p.unary),
		grpc.WithChainStreamInterceptor(p.stream),
	}, nil
}

// unary has the engine admit, place and repeat a call, and gives its one final answer.
func (p *plugin) unary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	t, err := p.enter(ctx, cc)
	if err != nil {
		return err
	}
	defer t.leave()
	r := p.call(ctx, t, method)
	r.invoke = func(ctx context.Context, trailer *metadata.MD) error {
		return invoker(ctx, method, req, reply, cc, append(opts[:len(opts):len(opts)], grpc.Trailer(trailer))...)
	}
	a, err := t.do(ctx, r)
	if err != nil {
		return status.FromContextError(err).Err()
	}
	return final(a, r.err)
}

// call is what the engine is told of a call.
func (p *plugin) call(ctx context.Context, t *tier, method string) *rpc {
	now := t.engine.Clock.Now()
	r := &rpc{}
	r.Budget = p.cfg.Deadline
	if end, ok := ctx.Deadline(); ok {
		r.Budget = time.Until(end)
	}
	// A refusal must come before the caller stops listening: only it says that nothing ran.
	r.Budget -= min(r.Budget/50, answerTime)
	md, _ := metadata.FromOutgoingContext(ctx)
	r.Tenant = first(md, TenantKey)
	r.Request = balancer.Request{ID: strconv.FormatUint(t.seq.Add(1), 10), Class: p.cfg.Methods[method],
		Deadline: now + r.Budget, ClientRetry: first(md, RetryKey) == "1"}
	return r
}

// enter makes a call a user of its channel's tier. A new channel has none before its resolver is built, and a new tier
// waits a little for its first list. The library builds no second resolver for a channel whose first failed.
func (p *plugin) enter(ctx context.Context, cc *grpc.ClientConn) (*tier, error) {
	for {
		p.mu.Lock()
		t, changed, err := p.tier, p.changed, p.err
		if t != nil {
			t.again()
		}
		p.mu.Unlock()
		if t != nil {
			select {
			case <-t.told:
				return t, nil
			case <-ctx.Done():
				t.leave()
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

// joined and left count the channels that live. One that could not be built has calls that wait for it.
func (p *plugin) joined(t *tier, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err = err; err == nil {
		p.tier = t
		p.uses++
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *plugin) left() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uses--; p.uses == 0 {
		p.tier = nil
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func first(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

// final turns a final answer into an error of the library. What may have run gets a code that no well-behaved client
// retries.
func final(a engine.Answer, last error) error {
	switch a.Verdict {
	case engine.Served:
		return last // nil, or what the box has found out
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
