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

// tiers are those in use, by name. All channels of a process to one tier share one engine: engines that know nothing of
// each other's calls would overload a server together.
var tiers = struct {
	mu     sync.Mutex
	byName map[string]*tier
}{byName: map[string]*tier{}}

// firstListTimeout is how long the first calls wait for a new source before the engine decides without a list: then
// they are rejected instead of running into their deadlines.
const firstListTimeout = time.Second

// tier is one engine and the channels and calls that use it. It starts with its first user and stops with its last.
type tier struct {
	config     Config
	engine     *engine.Engine
	lastCallID atomic.Uint64 // counts up; the IDs of calls are made of it
	ready      chan struct{} // closed when the first list has come, or firstListTimeout is over

	stopSource context.CancelFunc // ends the source; called by the last user
	users      int                // channels and calls in progress; guarded by tiers.mu

	mu        sync.Mutex
	endpoints map[string]Endpoint
	resolvers map[*channelResolver]bool
}

// acquireTier returns the tier of a configuration, and starts it for its first user, with that user's source and seed.
// Each acquireTier or acquire is paired with one release.
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

// acquire adds a user to a tier that is in use.
func (t *tier) acquire() {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	t.users++
}

// release removes a user, and stops the tier with the last one. No attempt is in flight then, since each call waits for
// its own attempts.
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

// applyList hands a list to the engine first, so that nothing new goes to a draining server, and then to the channels.
func (t *tier) applyList(ctx context.Context, l EndpointList) {
	update := engine.Update{Complete: l.Complete}
	for _, b := range l.Endpoints {
		update.Endpoints = append(update.Endpoints, engine.Endpoint{Server: b.Server, Addr: b.Addr})
	}
	if t.engine.ApplyUpdate(ctx, update) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Complete {
		clear(t.endpoints)
	}
	for _, b := range l.Endpoints {
		if b.State == balancer.Ready {
			t.endpoints[b.ID] = b
		} else {
			delete(t.endpoints, b.ID)
		}
	}
	list := t.readyEndpoints()
	for w := range t.resolvers {
		w.update(list)
	}
}

// readyEndpoints are the servers that a channel may connect to. The caller holds t.mu.
func (t *tier) readyEndpoints() []Endpoint { return slices.Collect(maps.Values(t.endpoints)) }

// rpc is a call with what its attempts need. Its states: queued or in flight in the engine, streaming (opened), done.
type rpc struct {
	engine.Call
	ctx      context.Context
	invoke   func(ctx context.Context, trailer *metadata.MD) error
	open     func(ctx context.Context) (*stream, error) // for a stream, in place of invoke
	opened   chan *stream                               // takes the open stream, once, without blocking
	attempts sync.WaitGroup
	lastErr  error // of the last attempt; attempts are sequential, so writes are ordered by the engine's loop
}

// attempt is one attempt of a call; the channel's picker finds it in the context.
type attempt struct {
	*engine.Attempt
	call *rpc
	tier *tier

	mu         sync.Mutex
	picks      int  // how often the library was given a connection, or asked for one again
	sendDenied bool // the engine no longer allows it to be sent
	sent       bool // it has a stream: bytes may have been sent
	received   bool // something came back from the server
}

type attemptKey struct{}

// Start implements engine.Sender: it makes an attempt in a goroutine that ends with its result.
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

// Retire implements engine.Sender. Channels close the connections of servers that have left their list themselves.
func (t *tier) Retire(*engine.Target) {}

// decide hands a call to the engine and waits until it has its answer and no attempt of it is in flight. The caller is a
// user of the tier.
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

// retryAfter is the advice to the client of a stream that a server rejected. Once a stream has begun, the decision module
// no longer decides about it.
func (t *tier) retryAfter(class string) time.Duration {
	all := t.config.Settings.Classes
	if i := slices.IndexFunc(all, func(c balancer.Class) bool { return c.Name == class }); i >= 0 {
		return t.config.Settings.RetryAfter(all[i])
	}
	return t.config.Settings.RetryAfter(slices.MaxFunc(all, func(a, b balancer.Class) int { return int(a.Deadline - b.Deadline) }))
}

// Config is the configuration of the channels to one tier.
type Config struct {
	Tier     string            // name; channels of one process with the same name share an engine
	Settings balancer.Settings // the decision module's
	Seed     uint64            // of the random choices; differs between processes
	Source   Source            // of the servers
	Methods  map[string]string // class by full method, "/package.Service/Method"; others are non-idempotent
	Deadline time.Duration     // of calls whose context has none
	Log      *slog.Logger      // nil: none
}

// ConfigError says which field of a Config can't be used, and why. The caller of DialOptions has to correct it.
type ConfigError struct {
	Tier  string // "": the Config names none
	Field string
	Err   error
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("grpcbalancer: tier %q: %s: %v", e.Tier, e.Field, e.Err)
}

// Unwrap returns what is wrong with the field.
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
			return &ConfigError{c.Tier, "Methods", fmt.Errorf("method %q has the class %q, which is none of the settings", method, class)}
		}
	}
	return nil
}
