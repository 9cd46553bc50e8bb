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

// tiers are those in use, by name. All channels of a process to one tier share one engine, so that they don't stack
// their load on a box.
var tiers = struct {
	mu     sync.Mutex
	byName map[string]*tier
}{byName: map[string]*tier{}}

// firstList is how long calls wait for a new source to speak before the engine decides without a list.
const firstList = time.Second

// tier is one engine and those who use it.
type tier struct {
	cfg    Config
	engine *engine.Engine
	seq    atomic.Uint64 // of ids
	told   chan struct{} // closed when the source has spoken, or had its time

	stop context.CancelFunc // of the source; the last user calls it
	uses int                // channels and calls in progress; guarded by tiers.mu

	mu       sync.Mutex
	boxes    map[string]Endpoint
	watchers map[*listWatch]bool
}

// use gives the tier of a configuration, and starts it for its first user, with that one's source and seed.
func use(cfg Config) (*tier, error) {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	if t := tiers.byName[cfg.Tier]; t != nil {
		if !reflect.DeepEqual(t.cfg.Settings, cfg.Settings) {
			return nil, fmt.Errorf("grpcbalancer: tier %s is in use with other settings", cfg.Tier)
		}
		t.uses++
		return t, nil
	}
	bal, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("grpcbalancer: tier %s: %w", cfg.Tier, err)
	}
	t := &tier{cfg: cfg, uses: 1, told: make(chan struct{}), boxes: map[string]Endpoint{}, watchers: map[*listWatch]bool{}}
	t.engine = engine.New(engine.Options{Clock: engine.NewClock(), Log: cfg.Log, Balancer: bal, Sender: t, Subscribe: func() {}})
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	tiers.byName[cfg.Tier] = t
	heard := sync.OnceFunc(func() { close(t.told) })
	patience := time.AfterFunc(firstList, heard)
	go t.engine.Run()
	go func() {
		defer patience.Stop()
		cfg.Source.Watch(ctx, func(l EndpointList) {
			t.tell(ctx, l)
			heard()
		})
	}()
	return t, nil
}

// again counts one more user of a tier that is in use.
func (t *tier) again() {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	t.uses++
}

// leave ends the tier with its last user. No attempt is out then: each call waits for its own.
func (t *tier) leave() {
	tiers.mu.Lock()
	defer tiers.mu.Unlock()
	if t.uses--; t.uses > 0 {
		return
	}
	delete(tiers.byName, t.cfg.Tier)
	t.stop()
	t.engine.Stop()
}

// tell hands a list to the engine, which stops what must get nothing new, and then to the channels.
func (t *tier) tell(ctx context.Context, l EndpointList) {
	news := engine.Update{Complete: l.Complete}
	for _, b := range l.Endpoints {
		news.Endpoints = append(news.Endpoints, engine.Endpoint{Server: b.Server, Addr: b.Addr})
	}
	if t.engine.ApplyUpdate(ctx, news) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Complete {
		clear(t.boxes)
	}
	for _, b := range l.Endpoints {
		if b.State == balancer.Ready {
			t.boxes[b.ID] = b
		} else {
			delete(t.boxes, b.ID)
		}
	}
	list := t.list()
	for w := range t.watchers {
		w.update(list)
	}
}

// list is what a channel may connect to. The caller holds the lock.
func (t *tier) list() []Endpoint { return slices.Collect(maps.Values(t.boxes)) }

// rpc is a call with what its attempts need.
type rpc struct {
	engine.Call
	ctx    context.Context
	invoke func(ctx context.Context, trailer *metadata.MD) error
	open   func(ctx context.Context) (*stream, error) // of a stream, in place of invoke
	opened chan *stream                               // takes it once without blocking
	out    sync.WaitGroup
	err    error // of its last attempt; the loop's happens-before chain orders its writers
}

// attempt is one send; the picker of its channel finds it in the context.
type attempt struct {
	*engine.Attempt
	call *rpc
	tier *tier

	mu      sync.Mutex
	picks   int  // how often the library has asked for a connection after it had none
	stopped bool // it came too late to be sent
	sent    bool // it has a stream: bytes may have left
	got     bool // something came back from the box
}

type attemptKey struct{}

// Start makes an attempt in a goroutine that ends with its result.
func (t *tier) Start(att *engine.Attempt) {
	call := att.Call.Payload.(*rpc)
	call.out.Add(1)
	go func() {
		defer call.out.Done()
		a := &attempt{Attempt: att, call: call, tier: t}
		r := engine.Result{Attempt: att}
		if call.open != nil {
			r.Outcome, r.Latency, call.err = t.streamed(a)
		} else {
			r.Outcome, call.err = t.invoked(a)
		}
		if r.Outcome != balancer.Success && r.Outcome != balancer.NotSent {
			r.Err = call.err
		}
		t.engine.AttemptEnded(r)
	}()
}

// invoked makes an attempt of a unary call.
func (t *tier) invoked(a *attempt) (balancer.Outcome, error) {
	ctx, cancel := context.WithDeadline(a.call.ctx, t.engine.Clock.At(a.Deadline))
	defer cancel()
	var trailer metadata.MD
	err := a.call.invoke(context.WithValue(ctx, attemptKey{}, a), &trailer)
	return ending(a, err, trailer), err
}

// streamed makes an attempt of a stream.
func (t *tier) streamed(a *attempt) (how balancer.Outcome, latency time.Duration, err error) {
	s, err := t.stream(a)
	if s == nil {
		return ending(a, err, nil), 0, err
	}
	how, latency = s.outcome(err)
	return how, latency, err
}

// Retire has nothing to do: channels drop the connections of boxes that their list has no more.
func (t *tier) Retire(*engine.Target) {}

// do has the engine decide about a call and waits until nothing of it is out. The caller is a user of the tier.
func (t *tier) do(ctx context.Context, r *rpc) (engine.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	r.ctx, r.Payload = ctx, r
	defer r.out.Wait()
	defer cancel()
	a, err := t.engine.Do(ctx, &r.Call)
	if errors.Is(err, engine.ErrClientGone) && ctx.Err() != nil {
		err = ctx.Err()
	}
	return a, err
}

// comeBack advises the client of a stream that a box refused. The module is no longer asked once a stream has begun.
func (t *tier) comeBack(class string) time.Duration {
	all := t.cfg.Settings.Classes
	if i := slices.IndexFunc(all, func(c balancer.Class) bool { return c.Name == class }); i >= 0 {
		return t.cfg.Settings.RetryAfter(all[i])
	}
	return t.cfg.Settings.RetryAfter(slices.MaxFunc(all, func(a, b balancer.Class) int { return int(a.Deadline - b.Deadline) }))
}

// Config says which tier a channel goes to and how.
type Config struct {
	Tier     string            // channels of one process with the same name share an engine
	Settings balancer.Settings // the decision module's
	Seed     uint64
	Source   Source
	Methods  map[string]string // class by full method, "/package.Service/Method"; one that is missing is unsafe
	Deadline time.Duration     // of calls without one
	Log      *slog.Logger      // nil: none
}

func (c Config) check() error {
	switch {
	case c.Tier == "":
		return errors.New("grpcbalancer: Tier is empty")
	case c.Source == nil:
		return fmt.Errorf("grpcbalancer: tier %s: Source is missing", c.Tier)
	case c.Deadline <= 0:
		return fmt.Errorf("grpcbalancer: tier %s: Deadline must be above 0", c.Tier)
	}
	for method, class := range c.Methods {
		if !slices.ContainsFunc(c.Settings.Classes, func(k balancer.Class) bool { return k.Name == class }) {
			return fmt.Errorf("grpcbalancer: tier %s: method %q has the class %q, which is none of the settings", c.Tier, method, class)
		}
	}
	return nil
}
