package grpcbalancer

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/lab/grpcserver"
)

// checkpointLog is a slog.Handler that takes a checkpoint of the decision module whenever the engine logs its counts. The
// engine also does that when it stops.
type checkpointLog struct {
	engine      *atomic.Pointer[engine.Engine]
	checkpoints chan []byte
}

func (checkpointLog) Enabled(context.Context, slog.Level) bool { return true }
func (l checkpointLog) WithAttrs([]slog.Attr) slog.Handler     { return l }
func (l checkpointLog) WithGroup(string) slog.Handler          { return l }
func (l checkpointLog) Handle(_ context.Context, r slog.Record) error {
	e := l.engine.Load()
	if r.Message != "counts" || e == nil {
		return nil
	}
	text, err := e.Balancer.Checkpoint()
	if err == nil {
		l.checkpoints <- text
	}
	return err
}

// nothingInFlight reports whether a checkpoint of the decision module has no attempt in flight and no request.
func nothingInFlight(t *testing.T, checkpoint []byte) bool {
	t.Helper()
	var c struct {
		Servers  []struct{ Open [][2]int }
		Requests []any
		Pools    []struct{ InFlight int }
	}
	if err := json.Unmarshal(checkpoint, &c); err != nil {
		t.Fatal(err)
	}
	open := len(c.Requests)
	for _, s := range c.Servers {
		open += len(s.Open)
	}
	for _, p := range c.Pools {
		open += p.InFlight
	}
	return open == 0
}

// After connection and stream faults, no call or stream may remain in flight in the engine.
func TestFaultsLeaveNothingInFlight(t *testing.T) {
	f := newFleet(t, 4, 0, func(n int, k *grpcserver.Call) {
		switch n % 8 {
		case 0:
			k.Reset(http2.ErrCodeRefusedStream)
		case 1:
			k.ResetConnection()
		case 2:
			k.SendHeader()
			k.SendMessage(replyMessage, 3)
			k.ResetConnection()
		case 3:
			k.GoAway(true)
		case 4:
			k.FailWithoutHeader(int(codes.Unavailable), RejectedKey, "1")
		case 5:
			k.FailWithoutHeader(int(codes.Internal))
		default:
			k.SendHeader()
			k.SendMessage(replyMessage, -1)
			k.SendStatus(0)
		}
	})
	cfg := config(t, StaticSource(f.list()))
	log := checkpointLog{new(atomic.Pointer[engine.Engine]), make(chan []byte, 100)}
	cfg.Log = slog.New(log)
	cc := dial(t, cfg)
	var all sync.WaitGroup
	for i := range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for k := range 4 {
				switch (i + k) % 3 {
				case 0:
					invoke(ctx, cc, nonIdempotentMethod)
				case 1:
					invoke(ctx, cc, idempotentMethod)
				default:
					watch(ctx, cc)
				}
			}
		}()
	}
	all.Wait()
	tiers.mu.Lock()
	log.engine.Store(tiers.byName[cfg.Tier].engine)
	tiers.mu.Unlock()
	invoke(t.Context(), cc, idempotentMethod) // so that the engine logs counts when it stops
	cc.Close()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case c := <-log.checkpoints: // a checkpoint taken during the last call is followed by another one
			if nothingInFlight(t, c) {
				return
			}
		case <-timeout:
			t.Fatal("attempts or requests remain in flight")
		}
	}
}
