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
	scheme       = "hookwalk"        // of the targets of channels
	balancerName = "hookwalk_engine" // in service configurations
)

func init() { balancer.Register(balancerBuilder{}) }

// endpointKey is a server at one address, from one start of it to the next: what a connection belongs to.
type endpointKey struct {
	id, addr  string
	startTime int64
}

// endpointsKey is the attribute under which the resolver hands the endpoint list to the balancer.
type endpointsKey struct{}

// endpointsAttribute is an endpoint list as an attribute.
type endpointsAttribute struct{ endpoints []Endpoint }

// Equal reports false, so that the library passes on every list.
func (endpointsAttribute) Equal(any) bool { return false }

// resolverBuilder builds the resolvers of one plug-in's channels.
type resolverBuilder struct{ plugin *plugin }

// Scheme is that of the targets.
func (b *resolverBuilder) Scheme() string { return scheme }

// Build starts the tier or joins it.
func (b *resolverBuilder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	t, err := acquireTier(b.plugin.config)
	if err != nil {
		b.plugin.channelOpened(nil, err)
		return nil, err
	}
	w := &channelResolver{plugin: b.plugin, tier: t, clientConn: cc, pending: make(chan []Endpoint, 1), done: make(chan struct{})}
	go w.deliver()
	t.mu.Lock()
	t.resolvers[w] = true
	w.update(t.readyEndpoints())
	t.mu.Unlock()
	b.plugin.channelOpened(t, nil)
	return w, nil
}

// channelResolver is a channel's resolver: it delivers the endpoint lists of the tier. The tier leaves the newest list in
// pending and never waits for a channel.
type channelResolver struct {
	plugin     *plugin
	tier       *tier
	clientConn resolver.ClientConn
	pending    chan []Endpoint // holds the newest list that is not delivered yet
	done       chan struct{}
}

// update leaves a list for the channel, in place of one that is not delivered yet. The caller holds the tier's lock.
func (r *channelResolver) update(l []Endpoint) {
	select {
	case <-r.pending:
	default:
	}
	r.pending <- l
}

// deliver hands lists to the channel until the resolver is closed.
func (r *channelResolver) deliver() {
	for {
		select {
		case l := <-r.pending:
			// The library requires an address; the balancer uses the attribute in its place.
			_ = r.clientConn.UpdateState(resolver.State{Addresses: []resolver.Address{{Addr: "hookwalk"}},
				Attributes: attributes.New(endpointsKey{}, endpointsAttribute{l})})
		case <-r.done:
			return
		}
	}
}

// ResolveNow does nothing: the source reports changes by itself.
func (r *channelResolver) ResolveNow(resolver.ResolveNowOptions) {}

// Close releases the tier.
func (r *channelResolver) Close() {
	close(r.done)
	r.plugin.channelClosed()
	r.tier.mu.Lock()
	delete(r.tier.resolvers, r)
	r.tier.mu.Unlock()
	r.tier.release()
}

// balancerBuilder builds the balancer of each channel.
type balancerBuilder struct{}

// Name is that in service configurations.
func (balancerBuilder) Name() string { return balancerName }

// Build returns the balancer of a channel.
func (balancerBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &channelBalancer{clientConn: cc, connections: map[endpointKey]*endpointConn{}}
}

// channelBalancer is a channel's balancer: it keeps a connection for each listed server. The library calls it from one
// goroutine, its pickers from many.
type channelBalancer struct {
	clientConn balancer.ClientConn

	mu          sync.RWMutex
	connections map[endpointKey]*endpointConn
}

// endpointConn is the connection to a server.
type endpointConn struct {
	subConn balancer.SubConn
	state   atomic.Int32 // a connectivity.State
}

// UpdateClientConnState applies an endpoint list: servers that stay keep their connections.
func (c *channelBalancer) UpdateClientConnState(s balancer.ClientConnState) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := s.ResolverState.Attributes.Value(endpointsKey{}).(endpointsAttribute)
	listed := map[endpointKey]bool{}
	for _, b := range list.endpoints {
		at := endpointKey{b.ID, b.Addr, int64(b.StartTime)}
		listed[at] = true
		if c.connections[at] != nil {
			continue
		}
		k := &endpointConn{}
		k.state.Store(int32(connectivity.Idle))
		//lint:ignore SA1019 There is no other way to open one; the note only warns of several addresses.
		sub, err := c.clientConn.NewSubConn([]resolver.Address{{Addr: b.Addr}}, balancer.NewSubConnOptions{
			StateListener: func(s balancer.SubConnState) {
				k.state.Store(int32(s.ConnectivityState))
				c.updatePicker()
			}})
		if err != nil {
			return fmt.Errorf("grpcbalancer: server %s: %w", b.ID, err)
		}
		k.subConn = sub
		c.connections[at] = k
	}
	for at, k := range c.connections {
		if !listed[at] {
			k.subConn.Shutdown() // calls in progress on it run to their end
			delete(c.connections, at)
		}
	}
	c.updatePicker()
	return nil
}

// updatePicker makes waiting picks run again.
func (c *channelBalancer) updatePicker() {
	// Servers are connected to when the engine chooses them, so the channel as a whole is always ready.
	c.clientConn.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: &picker{c}})
}

// ResolverError does nothing: this package's resolver reports no errors.
func (c *channelBalancer) ResolverError(error) {}

// UpdateSubConnState is not called: each connection has a listener.
func (c *channelBalancer) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// ExitIdle does nothing: connections are opened when they are needed.
func (c *channelBalancer) ExitIdle() {}

// Close does nothing: the library closes the connections.
func (c *channelBalancer) Close() {}

// picker puts an attempt on the connection of the server that the engine chose.
type picker struct{ balancer *channelBalancer }

// Pick gives an attempt its connection, once. A second pick for the same attempt is the library's transparent retry, which
// is rejected: whether to retry is the engine's decision.
func (p *picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	a, ok := info.Ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return balancer.PickResult{}, errSendNotAllowed
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.picks > 0 {
		a.picks++
		return balancer.PickResult{}, errStreamRefused
	}
	if !a.MaySend(a.tier.engine.Clock.Now()) {
		a.sendDenied = true
		return balancer.PickResult{}, errSendNotAllowed
	}
	p.balancer.mu.RLock()
	k := p.balancer.connections[endpointKey{a.Target.ID, a.Target.Addr, int64(a.Target.StartTime)}]
	p.balancer.mu.RUnlock()
	if k == nil { // the engine has the server on its list, the channel will have it soon
		return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
	}
	switch connectivity.State(k.state.Load()) {
	case connectivity.Ready:
		a.picks++
		return balancer.PickResult{SubConn: k.subConn, Done: a.handleDone}, nil
	case connectivity.Idle:
		k.subConn.Connect()
	case connectivity.TransientFailure:
		return balancer.PickResult{}, errUnreachable
	}
	return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
}

// handleDone is called by the library when the attempt has ended on its connection.
func (a *attempt) handleDone(info balancer.DoneInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if info.Err == nil && !info.BytesSent && !a.sent { // the connection was no longer ready: the library picks once more
		a.picks--
		return
	}
	a.sent, a.received = a.sent || info.BytesSent, a.received || info.BytesReceived
}
