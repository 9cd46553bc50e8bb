package grpcbalancer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/metadata"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// tiers are the tiers in use, by name. All channels of a process to one tier share an engine: several engines that do not know
// of each other's calls could together overload a server.
var tiers = struct {
	mu     sync.Mutex
	byName map[string]*tier
}{byName: map[string]*tier{}}

// firstListTimeout is how long the first calls of a tier wait for the first list. After it the engine decides without a list:
// it rejects the calls, which would otherwise wait until their deadlines.
const firstListTimeout = time.Second

// tier is an engine that is shared by channels and calls, its users. It is started for its first user and stops when the last
// one releases it.
type tier struct {
	config     Config
	engine     *engine.Engine
	lastCallID atomic.Uint64 // increases with each call, which gets it as its ID
	ready      chan struct{} // closed when the first list has been applied or firstListTimeout has passed

	stopSource context.CancelFunc // stops the source; called when the last user releases the tier
	users      int                // open channels and calls in progress; guarded by tiers.mu

	mu        sync.Mutex
	endpoints map[string]Endpoint
	resolvers map[*channelResolver]bool
}

// acquireTier adds a user to the tier of a configuration and returns the tier. The first user starts it, with the source and
// the seed of its configuration. Each call of acquireTier or acquire needs a call of release.
func acquireTier(cfg Config) (*tier, error) {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	if t := tiers.byName[cfg.Tier]; t != nil {
		if !reflect.DeepEqual(t.config.Settings, cfg.Settings) {
			return nil, &ConfigError{cfg.Tier, "Settings", errors.New("differ from those of the channels that use the tier already")}
		}
		t.users++
		return t, nil
	}
	bal, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, &ConfigError{cfg.Tier, "Settings", err}
	}
	t := &tier{config: cfg, users: 1, ready: make(chan struct{}), endpoints: map[string]Endpoint{}, resolvers: map[*channelResolver]bool{}}
	t.engine = engine.New(engine.Options{Clock: engine.NewClock(), Log: cfg.Log, Balancer: bal, Sender: t, Subscribe: func() {}})
	ctx, stop := context.WithCancel(context.Background())
	t.stopSource = stop
	tiers.byName[cfg.Tier] = t
	markReady := sync.OnceFunc(func() { close(t.ready) })
	timeout := time.AfterFunc(firstListTimeout, markReady)
	go t.engine.Run()
	go func() {
		defer timeout.Stop()
		cfg.Source.Watch(ctx, func(l EndpointList) {
			t.applyList(ctx, l)
			markReady()
		})
	}()
	return t, nil
}

// acquire adds a user to a tier that already has one.
func (t *tier) acquire() {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	t.users++
}

// release removes a user. If it was the last one, release stops the tier. No attempt is in flight at that point, because each
// call waits for its attempts.
func (t *tier) release() {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	if t.users--; t.users > 0 {
		return
	}
	delete(tiers.byName, t.config.Tier)
	t.stopSource()
	t.engine.Stop()
}

// applyList passes a list to the engine and then to the channels. The engine comes first, so that it sends no new calls to a
// draining server whose connections the channels close.
func (t *tier) applyList(ctx context.Context, l EndpointList) {
	update := engine.Update{Complete: l.Complete}
	for _, endpoint := range l.Endpoints {
		update.Endpoints = append(update.Endpoints, engine.Endpoint{Server: endpoint.Server, Addr: endpoint.Addr})
	}
	if t.engine.ApplyUpdate(ctx, update) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Complete {
		clear(t.endpoints)
	}
	for _, endpoint := range l.Endpoints {
		if endpoint.State == balancer.Ready {
			t.endpoints[endpoint.ID] = endpoint
		} else {
			delete(t.endpoints, endpoint.ID)
		}
	}
	list := t.readyEndpoints()
	for r := range t.resolvers {
		r.update(list)
	}
}

// readyEndpoints returns the servers that a channel may connect to. The caller holds t.mu.
func (t *tier) readyEndpoints() []Endpoint { return slices.Collect(maps.Values(t.endpoints)) }

// rpc is a call and the data that its attempts need. It is queued or in flight in the engine; a stream is then open; finally
// the call is done.
type rpc struct {
	engine.Call
	ctx      context.Context
	invoke   func(ctx context.Context, trailer *metadata.MD) error
	open     func(ctx context.Context) (*stream, error) // opens a stream; nil for a unary call, which uses invoke
	opened   chan *stream                               // receives the open stream once; buffered, so that sending does not block
	attempts sync.WaitGroup
	lastErr  error // of the last attempt; attempts are sequential, so writes are ordered by the engine's loop
}

// attempt is one attempt of a call. The context of the attempt passes it to the channel's picker.
type attempt struct {
	*engine.Attempt
	call *rpc
	tier *tier

	mu         sync.Mutex
	picks      int  // how often the picker chose a connection for the attempt, or rejected a further pick
	sendDenied bool // the engine no longer allows the attempt to be sent
	sent       bool // the attempt has an HTTP/2 stream: bytes may have been sent
	received   bool // bytes were received from the server
}

// attemptKey is the context key of an attempt.
type attemptKey struct{}

// Start implements engine.Sender. It makes an attempt in a new goroutine, which reports the result to the engine.
func (t *tier) Start(att *engine.Attempt) {
	call := att.Call.Payload.(*rpc)
	call.attempts.Add(1)
	go func() {
		defer call.attempts.Done()
		a := &attempt{Attempt: att, call: call, tier: t}
		r := engine.Result{Attempt: att}
		if call.open != nil {
			r.Outcome, r.Latency, call.lastErr = t.streamAttempt(a)
		} else {
			r.Outcome, call.lastErr = t.unaryAttempt(a)
		}
		if r.Outcome != balancer.Success && r.Outcome != balancer.NotSent {
			r.Err = call.lastErr
		}
		t.engine.AttemptEnded(r)
	}()
}

// unaryAttempt makes an attempt of a unary call.
func (t *tier) unaryAttempt(a *attempt) (balancer.Outcome, error) {
	ctx, cancel := context.WithDeadline(a.call.ctx, t.engine.Clock.ToTime(a.Deadline))
	defer cancel()
	var trailer metadata.MD
	err := a.call.invoke(context.WithValue(ctx, attemptKey{}, a), &trailer)
	return outcomeOf(a, err, trailer), err
}

// streamAttempt makes an attempt of a stream.
func (t *tier) streamAttempt(a *attempt) (outcome balancer.Outcome, latency time.Duration, err error) {
	s, err := t.openStream(a)
	if s == nil {
		return outcomeOf(a, err, nil), 0, err
	}
	outcome, latency = s.result(err)
	return outcome, latency, err
}

// Retire implements engine.Sender. It does nothing: the channels close the connections of servers that are no longer listed.
func (t *tier) Retire(*engine.Target) {}

// decide passes a call to the engine, and waits until the call has its answer and none of its attempts is in flight. The caller
// must have acquired the tier.
func (t *tier) decide(ctx context.Context, r *rpc) (engine.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	r.ctx, r.Payload = ctx, r
	defer r.attempts.Wait()
	defer cancel()
	a, err := t.engine.Do(ctx, &r.Call)
	if errors.Is(err, engine.ErrClientGone) && ctx.Err() != nil {
		err = ctx.Err()
	}
	return a, err
}

// retryAfter returns the retry delay for the client of a stream that a server rejected. It is computed here because the
// decision module does not decide about a stream that has been opened.
func (t *tier) retryAfter(class string) time.Duration {
	all := t.config.Settings.Classes
	if i := slices.IndexFunc(all, func(c balancer.Class) bool { return c.Name == class }); i >= 0 {
		return t.config.Settings.RetryAfter(all[i])
	}
	return t.config.Settings.RetryAfter(slices.MaxFunc(all, func(a, b balancer.Class) int { return int(a.Deadline - b.Deadline) }))
}

// Config is the configuration of the channels to one tier.
type Config struct {
	Tier     string            // name of the tier; channels of one process with the same name share an engine
	Settings balancer.Settings // of the decision module
	Seed     uint64            // of random choices; should differ between processes
	Source   Source            // provides the servers
	Methods  map[string]string // class by full method name, "/package.Service/Method"; other methods are non-idempotent
	Deadline time.Duration     // budget of calls whose context has no deadline
	Log      *slog.Logger      // nil: no log
}

// ConfigError means that a field of a Config can't be used. The caller of DialOptions must correct it.
type ConfigError struct {
	Tier  string // name of the tier; "": the Config has none
	Field string
	Err   error
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("grpcbalancer: tier %q: %s: %v", e.Tier, e.Field, e.Err)
}

// Unwrap returns why the field can't be used.
func (e *ConfigError) Unwrap() error { return e.Err }

// validate returns a *ConfigError for the first field that can't be used.
func (c Config) validate() error {
	switch {
	case c.Tier == "":
		return &ConfigError{c.Tier, "Tier", errors.New("is empty")}
	case c.Source == nil:
		return &ConfigError{c.Tier, "Source", errors.New("is missing")}
	case c.Deadline <= 0:
		return &ConfigError{c.Tier, "Deadline", errors.New("must be above 0")}
	}
	for method, class := range c.Methods {
		if !slices.ContainsFunc(c.Settings.Classes, func(k balancer.Class) bool { return k.Name == class }) {
			return &ConfigError{c.Tier, "Methods", fmt.Errorf("method %q has the class %q, which the settings do not define", method, class)}
		}
	}
	return nil
}
