package controller

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"
)

// unreachableStream is a raft.StreamLayer that fails each dial at once.
type unreachableStream struct {
	dials  atomic.Int64
	closed chan struct{}
}

var errUnreachable = errors.New("unreachable")

func (u *unreachableStream) Dial(raft.ServerAddress, time.Duration) (net.Conn, error) {
	u.dials.Add(1)
	return nil, errUnreachable
}

func (u *unreachableStream) Accept() (net.Conn, error) {
	<-u.closed
	return nil, net.ErrClosed
}

func (u *unreachableStream) Close() error {
	close(u.closed)
	return nil
}

func (u *unreachableStream) Addr() net.Addr { return raftAddress("c1") }

// newRetryingTransport returns a transport that reaches no server.
func newRetryingTransport(t *testing.T, shouldRetry func(raft.ServerID, uint64) bool) (*retryingTransport, *unreachableStream) {
	t.Helper()
	stream := &unreachableStream{closed: make(chan struct{})}
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream, Timeout: time.Second,
		Logger: raftLogger(slog.New(slog.DiscardHandler))})
	return &retryingTransport{NetworkTransport: network, shouldRetry: shouldRetry, closing: stream.closed}, stream
}

var appendRequest = &raft.AppendEntriesRequest{Term: 7, PrevLogEntry: 3, Entries: []*raft.Log{{Index: 4}}}

// A partition makes a follower unreachable. Log entries are retried at a fixed interval while this server leads.
func TestEntriesAreRetriedWhileLeading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const attemptsPerMinute = int64(time.Minute / appendRetryInterval)
		calls := int64(0)
		transport, layer := newRetryingTransport(t, func(server raft.ServerID, term uint64) bool {
			calls++
			return server == "c2" && term == appendRequest.Term && calls < attemptsPerMinute
		})
		begin := time.Now()
		err := transport.AppendEntries("c2", "c2", appendRequest, &raft.AppendEntriesResponse{})
		if !errors.Is(err, errUnreachable) || layer.dials.Load() != attemptsPerMinute || time.Since(begin) != time.Minute {
			t.Errorf("%d attempts in %v, error %v; want %d attempts", layer.dials.Load(), time.Since(begin), err, attemptsPerMinute)
		}
		_ = transport.Close()
	})
}

// Heartbeats are not retried: raft counts their failures for its lease.
func TestHeartbeatsAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, layer := newRetryingTransport(t, func(raft.ServerID, uint64) bool { return true })
		err := transport.AppendEntries("c2", "c2", &raft.AppendEntriesRequest{Term: 7}, &raft.AppendEntriesResponse{})
		if !errors.Is(err, errUnreachable) || layer.dials.Load() != 1 {
			t.Errorf("%d attempts, error %v, want one attempt", layer.dials.Load(), err)
		}
		_ = transport.Close()
	})
}

// A controller shuts down while a follower is unreachable. The retries stop at once.
func TestClosingEndsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, _ := newRetryingTransport(t, func(raft.ServerID, uint64) bool { return true })
		done := make(chan error)
		go func() { done <- transport.AppendEntries("c2", "c2", appendRequest, &raft.AppendEntriesResponse{}) }()
		synctest.Wait()
		_ = transport.Close()
		if err := <-done; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("AppendEntries returned %v", err)
		}
	})
}
