package grpcbalancer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"
)

const (
	scheme       = "hookwalk"
	balancerName = "hookwalk_engine"
)

func init() { balancer.Register(balancers{}) }

// place is a box at one address, from one start of it to the next: what a connection belongs to.
type place struct {
	id, addr string
	boot     int64
}

// listKey is the attribute under which the resolver hands the list to the balancer.
type listKey struct{}

// placed is a list as an attribute.
type placed struct{ boxes []Endpoint }

// Equal says that no two lists are the same: each is told.
func (placed) Equal(any) bool { return false }

// builder makes the resolvers of one plug-in's channels.
type builder struct{ p *plugin }

func (b *builder) Scheme() string { return scheme }

// Build starts or joins the tier.
func (b *builder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	t, err := use(b.p.cfg)
	if err != nil {
		b.p.joined(nil, err)
		return nil, err
	}
	w := &listWatch{p: b.p, tier: t, cc: cc, lists: make(chan []Endpoint, 1), done: make(chan struct{})}
	go w.run()
	t.mu.Lock()
	t.watchers[w] = true
	w.update(t.list())
	t.mu.Unlock()
	b.p.joined(t, nil)
	return w, nil
}

// listWatch is a channel's resolver: it hands it the list of its tier.
type listWatch struct {
	p     *plugin
	tier  *tier
	cc    resolver.ClientConn
	lists chan []Endpoint // the newest that the channel has not been told
	done  chan struct{}
}

// update leaves a list for the channel, in place of one that it was not told yet. The caller holds the tier's lock.
func (w *listWatch) update(l []Endpoint) {
	select {
	case <-w.lists:
	default:
	}
	w.lists <- l
}

func (w *listWatch) run() {
	for {
		select {
		case l := <-w.lists:
			// The channel wants an address even where there is none; the balancer takes the attribute.
			_ = w.cc.UpdateState(resolver.State{Addresses: []resolver.Address{{Addr: "hookwalk"}},
				Attributes: attributes.New(listKey{}, placed{l})})
		case <-w.done:
			return
		}
	}
}

// ResolveNow has nothing to do: the source tells by itself.
func (w *listWatch) ResolveNow(resolver.ResolveNowOptions) {}

// Close leaves the tier.
func (w *listWatch) Close() {
	close(w.done)
	w.p.left()
	w.tier.mu.Lock()
	delete(w.tier.watchers, w)
	w.tier.mu.Unlock()
	w.tier.leave()
}

type balancers struct{}

func (balancers) Name() string { return balancerName }

func (balancers) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &channel{cc: cc, conns: map[place]*boxConn{}}
}

// channel is a channel's balancer: it keeps a connection for each box that was asked for. The library calls it from
// one goroutine.
type channel struct {
	cc balancer.ClientConn

	mu    sync.RWMutex
	conns map[place]*boxConn
}

// boxConn is the connection to a box.
type boxConn struct {
	sub   balancer.SubConn
	state atomic.Int32 // a connectivity.State
}

// UpdateClientConnState takes over a list: boxes that stay keep their connections.
func (c *channel) UpdateClientConnState(s balancer.ClientConnState) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := s.ResolverState.Attributes.Value(listKey{}).(placed)
	listed := map[place]bool{}
	for _, b := range list.boxes {
		at := place{b.ID, b.Addr, int64(b.StartTime)}
		listed[at] = true
		if c.conns[at] != nil {
			continue
		}
		k := &boxConn{}
		k.state.Store(int32(connectivity.Idle))
		//lint:ignore SA1019 There is no other way to open one; the note only warns of several addresses.
		sub, err := c.cc.NewSubConn([]resolver.Address{{Addr: b.Addr}}, balancer.NewSubConnOptions{
			StateListener: func(s balancer.SubConnState) {
				k.state.Store(int32(s.ConnectivityState))
				c.publish()
			}})
		if err != nil {
			return fmt.Errorf("grpcbalancer: box %s: %w", b.ID, err)
		}
		k.sub = sub
		c.conns[at] = k
	}
	for at, k := range c.conns {
		if !listed[at] {
			k.sub.Shutdown() // what is under way on it ends in peace
			delete(c.conns, at)
		}
	}
	c.publish()
	return nil
}

// publish has waiting picks look again.
func (c *channel) publish() {
	// Endpoints are connected to as the engine chooses them, so the channel as a whole is always ready.
	c.cc.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: &picker{c}})
}

// ResolverError has nothing to do: our resolver reports none.
func (c *channel) ResolverError(error) {}

// UpdateSubConnState is not called: each connection has a listener.
func (c *channel) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// ExitIdle has nothing to do: connections are made as they are asked for.
func (c *channel) ExitIdle() {}

// Close has nothing to do: the library ends the connections.
func (c *channel) Close() {}

// picker puts an attempt on the connection of the box that the engine chose.
type picker struct{ channel *channel }

// Pick gives an attempt its connection, once. What the library would send a second time it does not get.
func (p *picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	a, ok := info.Ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return balancer.PickResult{}, errStopped
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.picks > 0 {
		a.picks++
		return balancer.PickResult{}, errAgain
	}
	if !a.MaySend(a.tier.engine.Clock.Now()) {
		a.stopped = true
		return balancer.PickResult{}, errStopped
	}
	p.channel.mu.RLock()
	k := p.channel.conns[place{a.Target.ID, a.Target.Addr, int64(a.Target.Boot)}]
	p.channel.mu.RUnlock()
	if k == nil { // the engine was told of the box, the channel will be
		return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
	}
	switch connectivity.State(k.state.Load()) {
	case connectivity.Ready:
		a.picks++
		return balancer.PickResult{SubConn: k.sub, Done: a.done}, nil
	case connectivity.Idle:
		k.sub.Connect()
	case connectivity.TransientFailure:
		return balancer.PickResult{}, errUnreachable
	}
	return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
}

// done is told by the library how the attempt ended on its connection.
func (a *attempt) done(info balancer.DoneInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if info.Err == nil && !info.BytesSent && !a.sent { // the connection was no longer ready: the library picks once more
		a.picks--
		return
	}
	a.sent, a.got = a.sent || info.BytesSent, a.got || info.BytesReceived
}
