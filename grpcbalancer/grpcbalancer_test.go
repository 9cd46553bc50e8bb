package grpcbalancer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/net/http2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/grpcserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Methods of the test service.
const (
	nonIdempotentMethod = "/harvest.Log/WeighIn"
	idempotentMethod    = "/harvest.Log/View"
)

// replyMessage is the encoded reply of the test servers.
var replyMessage = func() []byte {
	b, err := proto.Marshal(wrapperspb.String("done"))
	if err != nil {
		panic(err)
	}
	return b
}()

// testFleet is a number of servers that run the same script. Calls are numbered across all servers.
type testFleet struct {
	servers []*grpcserver.Server
	calls   atomic.Int64
}

// newFleet starts n servers. The script gets the number of each call, starting at 0.
func newFleet(t *testing.T, n int, maxStreams uint32, script func(n int, k *grpcserver.Call)) *testFleet {
	t.Helper()
	f := &testFleet{}
	for range n {
		b, err := grpcserver.New(maxStreams, func(k *grpcserver.Call) { script(int(f.calls.Add(1))-1, k) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		f.servers = append(f.servers, b)
	}
	return f
}

// list returns the endpoints of all servers.
func (f *testFleet) list() (l []Endpoint) {
	for i, b := range f.servers {
		l = append(l, Endpoint{Server: balancer.Server{ID: fmt.Sprintf("s-%d", i)}, Addr: b.Addr()})
	}
	return l
}

// config returns a Config whose tier is named after the test.
func config(t *testing.T, s Source) Config {
	return Config{Tier: t.Name(), Source: s, Seed: 7, Deadline: 10 * time.Second, Settings: settings,
		Methods: map[string]string{nonIdempotentMethod: "bin-weighin", idempotentMethod: "block-view"}}
}

var settings = balancer.Settings{Replicas: 1, MaxAttempts: 3, MaxRetryAfter: time.Second, OverloadMultiple: 3, SlowStartMinShare: 0.2,
	SlowStartDuration: 10 * time.Second,
	Classes: []balancer.Class{
		{Name: "bin-weighin", Effect: balancer.NonIdempotent, LatencyObjective: 5 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 3},
		{Name: "block-view", Effect: balancer.Idempotent, LatencyObjective: 5 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1}}}

// dial opens a channel that is closed at the end of the test.
func dial(t *testing.T, cfg Config, more ...grpc.DialOption) *grpc.ClientConn {
	t.Helper()
	opts, err := DialOptions(cfg)
	if err != nil {
		t.Fatal(err)
	}
	opts = append(opts, grpc.WithTransportCredentials(insecure.NewCredentials()))
	cc, err := grpc.NewClient("hookwalk:///"+cfg.Tier, append(opts, more...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return cc
}

// invoke makes a unary call and returns its reply.
func invoke(ctx context.Context, cc *grpc.ClientConn, method string) (string, error) {
	var reply wrapperspb.StringValue
	err := cc.Invoke(ctx, method, wrapperspb.String("grapes"), &reply)
	return reply.GetValue(), err
}

// If it is proven that an attempt has not run, even a non-idempotent call is retried on another server.
func TestUnprocessedCallIsRetried(t *testing.T) {
	for name, fault := range map[string]func(*grpcserver.Call){
		"refused stream":               func(k *grpcserver.Call) { k.Reset(http2.ErrCodeRefusedStream) },
		"goaway before the stream":     func(k *grpcserver.Call) { k.GoAway(true) },
		"rejected, UNAVAILABLE":        func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable), RejectedKey, "1") },
		"rejected after a header":      func(k *grpcserver.Call) { k.SendHeader(); k.SendStatus(int(codes.Unavailable), RejectedKey, "1") },
		"rejected, RESOURCE_EXHAUSTED": func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.ResourceExhausted), RejectedKey, "1") },
		"goaway before, then reset":    func(k *grpcserver.Call) { k.GoAway(true); k.ResetConnection() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 0, func(n int, k *grpcserver.Call) {
				if n == 0 {
					fault(k)
					return
				}
				k.Respond(replyMessage)
			})
			cc := dial(t, config(t, StaticSource(f.list())))
			if got, err := invoke(t.Context(), cc, nonIdempotentMethod); err != nil || got != "done" {
				t.Errorf("got %q, %v", got, err)
			}
			if n := f.calls.Load(); n != 2 {
				t.Errorf("the servers saw %d calls, want 2", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		f := newFleet(t, 3, 0, func(_ int, k *grpcserver.Call) { k.Respond(replyMessage) })
		f.servers[0].Close()
		cc := dial(t, config(t, StaticSource(f.list())))
		for range 20 {
			if _, err := invoke(t.Context(), cc, nonIdempotentMethod); err != nil {
				t.Fatal(err)
			}
		}
		if n := f.calls.Load(); n != 20 {
			t.Errorf("the servers saw %d calls, want 20", n)
		}
	})
}

// If an attempt may have run, a non-idempotent call ends with a code that clients do not retry. An idempotent call is retried
// on another server.
func TestOnlyIdempotentCallIsRetriedAfterItMayHaveRun(t *testing.T) {
	for name, fault := range map[string]func(*grpcserver.Call){
		"unavailable":               func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable)) },
		"internal":                  func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Internal)) },
		"unknown":                   func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unknown)) },
		"aborted":                   func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Aborted)) },
		"rejected, INTERNAL":        func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Internal), RejectedKey, "1") },
		"rejected, invalid value":   func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable), RejectedKey, "yes") },
		"reset with CANCEL":         func(k *grpcserver.Call) { k.Reset(http2.ErrCodeCancel) },
		"header, then reset":        func(k *grpcserver.Call) { k.SendHeader(); k.Reset(http2.ErrCodeInternal) },
		"half a message, then lost": func(k *grpcserver.Call) { k.SendHeader(); k.SendMessage(replyMessage, 7); k.ResetConnection() },
		"half a message, then OK":   func(k *grpcserver.Call) { k.SendHeader(); k.SendMessage(replyMessage, 7); k.SendStatus(0) },
		"no message":                func(k *grpcserver.Call) { k.SendHeader(); k.SendStatus(0) },
		"connection reset":          func(k *grpcserver.Call) { k.ResetConnection() },
		"goaway after, then reset":  func(k *grpcserver.Call) { k.GoAway(false); k.ResetConnection() },
		"invalid message":           func(k *grpcserver.Call) { k.Respond([]byte{0xff, 0xff}) },
	} {
		t.Run(name, func(t *testing.T) {
			for method, want := range map[string]struct {
				code  codes.Code
				calls int64
			}{nonIdempotentMethod: {codes.Internal, 1}, idempotentMethod: {codes.OK, 2}} {
				f := newFleet(t, 3, 0, func(n int, k *grpcserver.Call) {
					if n == 0 {
						fault(k)
						return
					}
					k.Respond(replyMessage)
				})
				cfg := config(t, StaticSource(f.list()))
				cfg.Tier += method
				got, err := invoke(t.Context(), dial(t, cfg), method)
				if status.Code(err) != want.code || err == nil && got != "done" {
					t.Errorf("%s: got %q, %v", method, got, err)
				}
				if n := f.calls.Load(); n != want.calls {
					t.Errorf("%s: the servers saw %d calls, want %d", method, n, want.calls)
				}
			}
		})
	}
}

// If a server does not respond, a non-idempotent call ends at its deadline and is not sent again.
func TestServerWithoutResponse(t *testing.T) {
	f := newFleet(t, 3, 0, func(int, *grpcserver.Call) {})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := invoke(ctx, dial(t, config(t, StaticSource(f.list()))), nonIdempotentMethod); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("got %v", err)
	}
	if n := f.calls.Load(); n != 1 {
		t.Errorf("the servers saw %d calls, want 1", n)
	}
}

// The client gets an application's error unchanged, and the call is not retried.
func TestApplicationErrorsAreReturnedUnchanged(t *testing.T) {
	f := newFleet(t, 3, 0, func(_ int, k *grpcserver.Call) {
		k.FailWithoutHeader(int(codes.NotFound), "grpc-message", "no such bin")
	})
	_, err := invoke(t.Context(), dial(t, config(t, StaticSource(f.list()))), idempotentMethod)
	if status.Code(err) != codes.NotFound || !strings.Contains(err.Error(), "no such bin") || f.calls.Load() != 1 {
		t.Errorf("got %v after %d calls, want the application's error after 1", err, f.calls.Load())
	}
}

// retryDelay returns the retry delay in the details of a status error, or 0 if there is none.
func retryDelay(err error) time.Duration {
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok {
			return info.GetRetryDelay().AsDuration()
		}
	}
	return 0
}

// A rejection means that the call has not run, and has a retry delay. The servers get three attempts: grpc-go, which by itself
// sends streams again that a server refused unprocessed, must not add any.
func TestRejectionHasRetryDelay(t *testing.T) {
	for name, fault := range map[string]func(*grpcserver.Call){
		"rejected":        func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable), RejectedKey, "1") },
		"refused streams": func(k *grpcserver.Call) { k.Reset(http2.ErrCodeRefusedStream) },
		"goaway":          func(k *grpcserver.Call) { k.GoAway(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5, 0, func(_ int, k *grpcserver.Call) { fault(k) })
			_, err := invoke(t.Context(), dial(t, config(t, StaticSource(f.list()))), nonIdempotentMethod)
			if status.Code(err) != codes.Unavailable || retryDelay(err) <= 0 {
				t.Errorf("got %v with retry delay %v", err, retryDelay(err))
			}
			if n := f.calls.Load(); n != 3 {
				t.Errorf("the servers saw %d calls, want 3", n)
			}
		})
	}
}

// A retry policy in the application's service config has no effect. A method without a class counts as non-idempotent.
func TestServiceConfigRetryPolicyHasNoEffect(t *testing.T) {
	for _, method := range []string{nonIdempotentMethod, "/harvest.Log/Other"} {
		f := newFleet(t, 3, 0, func(_ int, k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable)) })
		cfg := config(t, StaticSource(f.list()))
		cfg.Tier += method
		cc := dial(t, cfg, grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"hookwalk_engine":{}}],"methodConfig":[{"name":[{}],
			"retryPolicy":{"maxAttempts":5,"initialBackoff":"0.001s","maxBackoff":"0.001s","backoffMultiplier":1,"retryableStatusCodes":["UNAVAILABLE"]}}]}`))
		if _, err := invoke(t.Context(), cc, method); status.Code(err) != codes.Internal {
			t.Errorf("%s: got %v", method, err)
		}
		if n := f.calls.Load(); n != 1 {
			t.Errorf("%s: the servers saw %d calls, want 1", method, n)
		}
	}
}

// scriptedSource is a Source that reports the lists a test sends to it.
type scriptedSource chan EndpointList

func (c scriptedSource) Watch(ctx context.Context, report func(EndpointList)) {
	for {
		select {
		case l := <-c:
			report(l)
		case <-ctx.Done():
			return
		}
	}
}

// A draining server gets no new calls, although its connection is ready. When it is listed again with a new start time, it
// gets a new connection.
func TestServerDrainsAndRestarts(t *testing.T) {
	f := newFleet(t, 1, 0, func(_ int, k *grpcserver.Call) { k.Respond(replyMessage) })
	source, list := make(scriptedSource), f.list()
	cc := dial(t, config(t, source))
	go func() { source <- EndpointList{Endpoints: list, Complete: true} }()
	if _, err := invoke(t.Context(), cc, nonIdempotentMethod); err != nil {
		t.Fatal(err)
	}
	list[0].State = balancer.Draining
	source <- EndpointList{Endpoints: list}
	source <- EndpointList{} // received only after the previous list has been applied
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if _, err := invoke(ctx, cc, nonIdempotentMethod); status.Code(err) != codes.Unavailable || f.calls.Load() != 1 {
		t.Errorf("with the only server draining: %v after %d calls", err, f.calls.Load())
	}
	list[0].State, list[0].StartTime = balancer.Ready, time.Second
	source <- EndpointList{Endpoints: list}
	source <- EndpointList{}
	if _, err := invoke(t.Context(), cc, nonIdempotentMethod); err != nil {
		t.Error(err)
	}
	if conns, calls := f.servers[0].Counts(); conns != 2 || calls != 2 {
		t.Errorf("%d connections, %d calls", conns, calls)
	}
}

// Channels to the same tier share an engine, channels to different tiers do not. Closing the last channel stops the engine. A
// call on a closed channel fails immediately.
func TestChannelsShareTier(t *testing.T) {
	f := newFleet(t, 3, 0, func(_ int, k *grpcserver.Call) { k.Respond(replyMessage) })
	cfg := config(t, StaticSource(f.list()))
	a, b := dial(t, cfg), dial(t, cfg)
	cfg.Tier = "other"
	c := dial(t, cfg)
	for _, cc := range []*grpc.ClientConn{a, b, c} {
		if _, err := invoke(t.Context(), cc, nonIdempotentMethod); err != nil {
			t.Fatal(err)
		}
	}
	cfg.Settings.MaxAttempts = 2
	if _, err := invoke(t.Context(), dial(t, cfg), nonIdempotentMethod); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("with other settings than those in use: %v", err)
	}
	inUse := func() (n int) {
		tiers.mu.Lock()
		defer tiers.mu.Unlock()
		return len(tiers.byName)
	}
	if n := inUse(); n != 2 {
		t.Errorf("%d tiers, want 2", n)
	}
	a.Close()
	if _, err := invoke(t.Context(), b, nonIdempotentMethod); err != nil {
		t.Errorf("with the other channel closed: %v", err)
	}
	if _, err := invoke(t.Context(), a, nonIdempotentMethod); status.Code(err) != codes.Canceled {
		t.Errorf("on a closed channel: %v", err)
	}
	b.Close()
	c.Close()
	if n := inUse(); n != 0 {
		t.Errorf("%d tiers are in use after their channels were closed", n)
	}
}

// A call that the client cancels, or whose channel is closed, ends immediately. TestMain checks that no goroutine remains.
func TestCanceledCalls(t *testing.T) {
	received := make(chan struct{}, 20)
	f := newFleet(t, 3, 0, func(int, *grpcserver.Call) { received <- struct{}{} })
	cfg := config(t, StaticSource(f.list()))
	cc := dial(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		if _, err := invoke(ctx, cc, idempotentMethod); status.Code(err) != codes.Canceled {
			t.Errorf("canceled call: %v", err)
		}
	}()
	<-received
	cancel()
	wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		if _, err := invoke(t.Context(), cc, nonIdempotentMethod); err == nil || status.Code(err) == codes.Unavailable {
			t.Errorf("call on a channel that is closed during the call: %v", err)
		}
	}()
	<-received
	cc.Close()
	wg.Wait()
}

// Whatever faults the servers have, a non-idempotent call runs at most once, and is rejected only if it has not run.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	f := newFleet(t, 6, 4, func(n int, k *grpcserver.Call) {
		ran := func() {
			mu.Lock()
			defer mu.Unlock()
			runs[k.Metadata["bin"]]++
		}
		switch n % 31 {
		case 3:
			k.Reset(http2.ErrCodeRefusedStream)
		case 7:
			k.FailWithoutHeader(int(codes.Unavailable), RejectedKey, "1")
		case 11:
			if !k.GoAway(true) { // a later call on the connection has already run
				k.Reset(http2.ErrCodeRefusedStream)
			}
		case 13:
			ran()
			k.FailWithoutHeader(int(codes.Unavailable))
		case 17:
			ran()
			k.SendHeader()
			k.SendMessage(replyMessage, 6)
			k.ResetConnection()
		case 19:
			ran()
			k.GoAway(false)
			k.Respond(replyMessage)
		case 23:
			ran()
			k.ResetConnection()
		default:
			ran()
			k.Respond(replyMessage)
		}
	})
	cc := dial(t, config(t, StaticSource(f.list())))
	got := map[codes.Code]int{}
	var wg sync.WaitGroup
	for caller := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 150 {
				bin := fmt.Sprintf("%d-%d", caller, i)
				_, err := invoke(metadata.AppendToOutgoingContext(t.Context(), "bin", bin), cc, nonIdempotentMethod)
				mu.Lock()
				got[status.Code(err)]++
				n := runs[bin]
				mu.Unlock()
				if n > 1 || n == 0 && err == nil || n > 0 && status.Code(err) == codes.Unavailable {
					t.Errorf("call for bin %s ran %d times and ended with %v", bin, n, err)
				}
			}
		}()
	}
	wg.Wait()
	if got[codes.OK] == 0 || got[codes.Internal] == 0 {
		t.Errorf("calls by status code: %v; want both successes and faults", got)
	}
	t.Logf("calls by status code: %v", got)
}

// watchDesc describes a stream of the test service, with one request message and many reply messages.
var watchDesc = &grpc.StreamDesc{StreamName: "Watch", ServerStreams: true}

// watch opens a stream, sends one message, and receives messages until the stream ends.
func watch(ctx context.Context, cc *grpc.ClientConn) (messages int, err error) {
	s, err := cc.NewStream(ctx, watchDesc, idempotentMethod)
	if err != nil {
		return 0, err
	}
	if err := s.SendMsg(wrapperspb.String("grapes")); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	if err := s.CloseSend(); err != nil {
		return 0, err
	}
	for {
		if err := s.RecvMsg(new(wrapperspb.StringValue)); err != nil {
			return messages, err
		}
		messages++
	}
}

// A stream is a single attempt: after any fault it is not sent to another server. If it may have run, it ends with a code that
// clients do not retry.
func TestStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		script   func(*grpcserver.Call)
		messages int
		want     codes.Code
	}{
		"served": {func(k *grpcserver.Call) {
			k.SendHeader()
			k.SendMessage(replyMessage, -1)
			k.SendMessage(replyMessage, -1)
			k.SendStatus(0)
		}, 2, codes.OK},
		"not found":      {func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.NotFound)) }, 0, codes.NotFound},
		"rejected":       {func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable), RejectedKey, "1") }, 0, codes.Unavailable},
		"refused stream": {func(k *grpcserver.Call) { k.Reset(http2.ErrCodeRefusedStream) }, 0, codes.Unavailable},
		"unavailable":    {func(k *grpcserver.Call) { k.FailWithoutHeader(int(codes.Unavailable)) }, 0, codes.Internal},
		"rejected after a message": {func(k *grpcserver.Call) {
			k.SendHeader()
			k.SendMessage(replyMessage, -1)
			k.SendStatus(int(codes.Unavailable), RejectedKey, "1")
		}, 1, codes.Internal},
		"connection reset after a message": {func(k *grpcserver.Call) {
			k.SendHeader()
			k.SendMessage(replyMessage, -1)
			k.SendMessage(replyMessage, 6)
			k.ResetConnection()
		}, 1, codes.Internal},
		"goaway, then served": {func(k *grpcserver.Call) {
			k.GoAway(false)
			k.SendHeader()
			k.SendMessage(replyMessage, -1)
			k.SendStatus(0)
		}, 1, codes.OK},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 0, func(_ int, k *grpcserver.Call) { tc.script(k) })
			messages, err := watch(t.Context(), dial(t, config(t, StaticSource(f.list()))))
			if errors.Is(err, io.EOF) {
				err = nil
			}
			if messages != tc.messages || status.Code(err) != tc.want {
				t.Errorf("%d messages, then %v; want %d, then %v", messages, err, tc.messages, tc.want)
			}
			if tc.want == codes.Unavailable && retryDelay(err) != settings.MaxRetryAfter/2 {
				t.Errorf("rejected with retry delay %v", retryDelay(err))
			}
			if n := f.calls.Load(); n != 1 {
				t.Errorf("the servers saw %d calls, want 1", n)
			}
		})
	}
	t.Run("all servers down", func(t *testing.T) {
		f := newFleet(t, 3, 0, func(int, *grpcserver.Call) {})
		for _, b := range f.servers {
			b.Close()
		}
		if _, err := watch(t.Context(), dial(t, config(t, StaticSource(f.list())))); status.Code(err) != codes.Unavailable {
			t.Errorf("got %v", err)
		}
	})
}

// A draining server completes its open streams and gets no new ones. A stream that its client cancels ends, so that the engine
// can stop.
func TestStreamsDuringDrain(t *testing.T) {
	finish, secondEnded := make(chan struct{}), make(chan struct{}, 1)
	f := newFleet(t, 1, 0, func(n int, k *grpcserver.Call) {
		k.SendHeader()
		k.SendMessage(replyMessage, -1)
		if n == 0 {
			<-finish
			k.SendMessage(replyMessage, -1)
			k.SendStatus(0)
		}
	})
	source, list := make(scriptedSource), f.list()
	cc := dial(t, config(t, source))
	go func() { source <- EndpointList{Endpoints: list, Complete: true} }()
	s, err := cc.NewStream(t.Context(), watchDesc, idempotentMethod)
	if err != nil {
		t.Fatal(err)
	}
	var m wrapperspb.StringValue
	if err := errors.Join(s.SendMsg(&m), s.CloseSend(), s.RecvMsg(&m)); err != nil {
		t.Fatal(err)
	}
	ctx, cancelSecond := context.WithCancel(t.Context())
	go func() {
		if _, err := watch(ctx, cc); status.Code(err) != codes.Canceled {
			t.Errorf("canceled stream: %v", err)
		}
		secondEnded <- struct{}{}
	}()
	for _, calls := f.servers[0].Counts(); calls < 2; _, calls = f.servers[0].Counts() {
		runtime.Gosched()
	}
	draining := slices.Clone(list)
	draining[0].State = balancer.Draining
	source <- EndpointList{Endpoints: draining}
	source <- EndpointList{}
	ctx2, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := watch(ctx2, cc); status.Code(err) != codes.Unavailable {
		t.Errorf("new stream during the drain: %v", err)
	}
	close(finish)
	if err := errors.Join(s.RecvMsg(&m), s.RecvMsg(&m)); !errors.Is(err, io.EOF) {
		t.Errorf("open stream during the drain: %v", err)
	}
	cancelSecond()
	<-secondEnded
	cc.Close()
	if _, calls := f.servers[0].Counts(); calls != 2 {
		t.Errorf("the server saw %d streams, want 2", calls)
	}
}

// A call that waits because the server's limit of concurrent streams is reached has not been sent. It is rejected and may be
// retried.
func TestServerStreamLimit(t *testing.T) {
	received := make(chan struct{}, 2)
	f := newFleet(t, 1, 1, func(int, *grpcserver.Call) { received <- struct{}{} })
	cc := dial(t, config(t, StaticSource(f.list())))
	first, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		_, _ = invoke(first, cc, nonIdempotentMethod) // occupies the only stream and is never answered
	}()
	<-received
	ctx, cancelSecond := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancelSecond()
	if _, err := invoke(ctx, cc, nonIdempotentMethod); status.Code(err) != codes.Unavailable {
		t.Errorf("got %v", err)
	}
	cancel()
	wg.Wait()
	if n := f.calls.Load(); n != 1 {
		t.Errorf("the server saw %d calls, want 1", n)
	}
}

// With WaitForReady, grpc-go must not wait for a connection if the engine has decided to reject the call.
func TestWaitForReady(t *testing.T) {
	f := newFleet(t, 3, 0, func(int, *grpcserver.Call) {})
	for _, b := range f.servers {
		b.Close()
	}
	cc := dial(t, config(t, StaticSource(f.list())))
	begin := time.Now()
	err := cc.Invoke(t.Context(), nonIdempotentMethod, wrapperspb.String("grapes"), new(wrapperspb.StringValue), grpc.WaitForReady(true))
	if took := time.Since(begin); status.Code(err) != codes.Unavailable || took > 5*time.Second { // half of the call's budget of 10 s
		t.Errorf("got %v after %v", err, took)
	}
}

// All 10,000 servers restart in one update while calls are made. No call fails, and only the servers that the engine chose get
// connections.
func TestManyServersRestartAtOnce(t *testing.T) {
	f := newFleet(t, 1, 0, func(_ int, k *grpcserver.Call) { k.Respond(replyMessage) })
	source := make(scriptedSource)
	cc := dial(t, config(t, source), grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", f.servers[0].Addr())
	}))
	list := make([]Endpoint, 10000)
	const callsPerUpdate = 40
	for startTime := range 2 {
		for i := range list {
			list[i] = Endpoint{Server: balancer.Server{ID: strconv.Itoa(i), StartTime: time.Duration(startTime)}, Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		}
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			source <- EndpointList{Endpoints: slices.Clone(list), Complete: true}
		}()
		for range callsPerUpdate {
			if _, err := invoke(t.Context(), cc, nonIdempotentMethod); err != nil {
				t.Fatal(err)
			}
		}
		<-applied
	}
	if conns, calls := f.servers[0].Counts(); calls != 2*callsPerUpdate || conns > calls {
		t.Errorf("%d connections, %d calls", conns, calls)
	}
}
