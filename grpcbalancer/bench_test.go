package grpcbalancer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	_ "google.golang.org/grpc/balancer/leastrequest"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hookwalk.example/hookwalk/balancer"
)

// BenchmarkUnary measures a unary call, client and server together, with lists of different lengths. All listed addresses lead
// to the same server. The balancers of grpc-go are measured for comparison.
func BenchmarkUnary(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
		var m wrapperspb.StringValue
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		return s.SendMsg(&m)
	}))
	go func() { _ = server.Serve(ln) }()
	defer server.Stop()
	common := []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", ln.Addr().String())
		})}
	run := func(b *testing.B, cc *grpc.ClientConn) {
		defer cc.Close()
		cc.Connect()
		for s := cc.GetState(); s != connectivity.Ready; s = cc.GetState() {
			cc.WaitForStateChange(b.Context(), s)
		}
		call := func() {
			ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
			defer cancel()
			var reply wrapperspb.StringValue
			if err := cc.Invoke(ctx, nonIdempotentMethod, wrapperspb.String("grapes"), &reply); err != nil {
				b.Fatal(err)
			}
		}
		for range 3000 { // warm-up: opens the connections
			call()
		}
		b.ReportAllocs()
		for b.Loop() {
			call()
		}
	}
	for _, n := range []int{10, 1000} {
		var list StaticSource
		var addrs []resolver.Address
		for i := range n {
			addr := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
			list = append(list, Endpoint{Server: balancer.Server{ID: fmt.Sprintf("s-%d", i)}, Addr: addr})
			addrs = append(addrs, resolver.Address{Addr: addr})
		}
		for _, policy := range []string{"round_robin", "least_request_experimental"} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				r := manual.NewBuilderWithScheme("bench")
				r.InitialState(resolver.State{Addresses: addrs})
				cc, err := grpc.NewClient("bench:///x", append([]grpc.DialOption{grpc.WithResolvers(r),
					grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + policy + `":{}}]}`)}, common...)...)
				if err != nil {
					b.Fatal(err)
				}
				run(b, cc)
			})
		}
		b.Run(fmt.Sprintf("hookwalk/%d", n), func(b *testing.B) {
			cfg := Config{Tier: b.Name(), Source: list, Seed: 7, Deadline: time.Second, Methods: map[string]string{nonIdempotentMethod: "bin-weighin"},
				Settings: settings}
			opts, err := DialOptions(cfg)
			if err != nil {
				b.Fatal(err)
			}
			cc, err := grpc.NewClient("hookwalk:///x", append(opts, common...)...)
			if err != nil {
				b.Fatal(err)
			}
			run(b, cc)
		})
	}
}
