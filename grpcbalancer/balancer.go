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
	scheme       = "hookwalk"        // URI scheme of the targets of channels
	balancerName = "hookwalk_engine" // name of the balancer in service configs
)

func init() { balancer.Register(balancerBuilder{}) }

// endpointKey identifies the server of a connection: one run of a server at one address.
type endpointKey struct {
	id, addr  string
	startTime int64
}

// endpointsKey is the key of the attribute in which the resolver passes the endpoint list to the balancer.
type endpointsKey struct{}

// endpointsAttribute is the attribute that holds an endpoint list.
type endpointsAttribute struct{ endpoints []Endpoint }

// Equal always returns false, so that grpc-go passes every list to the balancer.
func (endpointsAttribute) Equal(any) bool { return false }

// resolverBuilder builds the resolvers for the channels of one plugin.
type resolverBuilder struct{ plugin *plugin }

// Scheme returns the URI scheme of the targets.
func (b *resolverBuilder) Scheme() string { return scheme }

// Build acquires the channel's tier and returns the resolver of the channel.
func (b *resolverBuilder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	t, err := acquireTier(b.plugin.config)
	if err != nil {
		b.plugin.channelOpened(nil, err)
		return nil, err
	}
	r := &channelResolver{plugin: b.plugin, tier: t, clientConn: cc, pending: make(chan []Endpoint, 1), done: make(chan struct{})}
	go r.deliver()
	t.mu.Lock()
	t.resolvers[r] = true
	r.update(t.readyEndpoints())
	t.mu.Unlock()
	b.plugin.channelOpened(t, nil)
	return r, nil
}

// channelResolver is a channel's resolver. It delivers the tier's endpoint lists to the channel. The tier puts the newest list
// into pending and never waits for a channel.
type channelResolver struct {
	plugin     *plugin
	tier       *tier
	clientConn resolver.ClientConn
	pending    chan []Endpoint // holds the newest list until it is delivered
	done       chan struct{}
}

// update queues a list for the channel. It replaces a list that has not been delivered yet. The caller holds tier.mu.
func (r *channelResolver) update(list []Endpoint) {
	select {
	case <-r.pending:
	default:
	}
	r.pending <- list
}

// deliver passes lists to the channel until the resolver is closed.
func (r *channelResolver) deliver() {
	for {
		select {
		case l := <-r.pending:
			// grpc-go requires at least one address. The balancer ignores it and uses the attribute.
			_ = r.clientConn.UpdateState(resolver.State{Addresses: []resolver.Address{{Addr: "hookwalk"}},
				Attributes: attributes.New(endpointsKey{}, endpointsAttribute{l})})
		case <-r.done:
			return
		}
	}
}

// ResolveNow does nothing: the source reports changes without being asked.
func (r *channelResolver) ResolveNow(resolver.ResolveNowOptions) {}

// Close stops the resolver and releases the tier.
func (r *channelResolver) Close() {
	close(r.done)
	r.plugin.channelClosed()
	r.tier.mu.Lock()
	delete(r.tier.resolvers, r)
	r.tier.mu.Unlock()
	r.tier.release()
}

// balancerBuilder builds the balancers of channels.
type balancerBuilder struct{}

// Name returns the name of the balancer in service configs.
func (balancerBuilder) Name() string { return balancerName }

// Build returns the balancer of a channel.
func (balancerBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &channelBalancer{clientConn: cc, connections: map[endpointKey]*endpointConn{}}
}

// channelBalancer is a channel's balancer. It has a connection for each listed server. grpc-go calls its methods from one
// goroutine, but its pickers from many.
type channelBalancer struct {
	clientConn balancer.ClientConn

	mu          sync.RWMutex
	connections map[endpointKey]*endpointConn
}

// endpointConn is a connection to a server.
type endpointConn struct {
	subConn balancer.SubConn
	state   atomic.Int32 // a connectivity.State
}

// UpdateClientConnState applies an endpoint list. Servers that remain listed keep their connections.
func (c *channelBalancer) UpdateClientConnState(s balancer.ClientConnState) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, _ := s.ResolverState.Attributes.Value(endpointsKey{}).(endpointsAttribute)
	listed := map[endpointKey]bool{}
	for _, endpoint := range list.endpoints {
		key := endpointKey{endpoint.ID, endpoint.Addr, int64(endpoint.StartTime)}
		listed[key] = true
		if c.connections[key] != nil {
			continue
		}
		conn := &endpointConn{}
		conn.state.Store(int32(connectivity.Idle))
		//lint:ignore SA1019 There is no other way to create a SubConn; the deprecation note is only about several addresses.
		sub, err := c.clientConn.NewSubConn([]resolver.Address{{Addr: endpoint.Addr}}, balancer.NewSubConnOptions{
			StateListener: func(s balancer.SubConnState) {
				conn.state.Store(int32(s.ConnectivityState))
				c.updatePicker()
			}})
		if err != nil {
			return fmt.Errorf("grpcbalancer: can't create a connection to server %s: %w", endpoint.ID, err)
		}
		conn.subConn = sub
		c.connections[key] = conn
	}
	for key, conn := range c.connections {
		if !listed[key] {
			conn.subConn.Shutdown() // calls in progress on the connection are completed
			delete(c.connections, key)
		}
	}
	c.updatePicker()
	return nil
}

// updatePicker installs a new picker, so that grpc-go repeats the picks that wait for a connection.
func (c *channelBalancer) updatePicker() {
	// A connection is opened when the engine chooses its server, so the channel as a whole is always ready.
	c.clientConn.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: &picker{c}})
}

// ResolverError does nothing: this package's resolver reports no errors.
func (c *channelBalancer) ResolverError(error) {}

// UpdateSubConnState is never called, because each connection has a StateListener.
func (c *channelBalancer) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// ExitIdle does nothing: the picker opens connections when they are needed.
func (c *channelBalancer) ExitIdle() {}

// Close does nothing: grpc-go closes the connections.
func (c *channelBalancer) Close() {}

// picker assigns an attempt to the connection of the server that the engine chose.
type picker struct{ balancer *channelBalancer }

// Pick returns the connection for an attempt, once. A second pick for the same attempt is a transparent retry of grpc-go,
// which is rejected, because only the engine decides about retries.
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
	conn := p.balancer.connections[endpointKey{a.Target.ID, a.Target.Addr, int64(a.Target.StartTime)}]
	p.balancer.mu.RUnlock()
	if conn == nil { // the engine already has the list with this server; the channel will receive it soon
		return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
	}
	switch connectivity.State(conn.state.Load()) {
	case connectivity.Ready:
		a.picks++
		return balancer.PickResult{SubConn: conn.subConn, Done: a.handleDone}, nil
	case connectivity.Idle:
		conn.subConn.Connect()
	case connectivity.TransientFailure:
		return balancer.PickResult{}, errUnreachable
	}
	return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
}

// handleDone is called by grpc-go when the attempt has ended on its connection.
func (a *attempt) handleDone(info balancer.DoneInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if info.Err == nil && !info.BytesSent && !a.sent { // the connection was no longer ready: grpc-go picks again
		a.picks--
		return
	}
	a.sent, a.received = a.sent || info.BytesSent, a.received || info.BytesReceived
}
