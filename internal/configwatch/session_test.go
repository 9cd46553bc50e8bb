package configwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

// A version is applied, acknowledged and reported to Observe. The watch request identifies the node.
func TestVersionIsAppliedAndAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork()
		c := startFakeController(t, n, "a:1")
		applied := make(chan string, 10)
		observed := make(chan configversion.VersionDecided, 10)
		s := startSession(t, n, acceptAll(applied), func(o *Options) { o.Observe = func(a configversion.VersionDecided) { observed <- a } })
		request := receiveWithin(t, c.watches, configversion.InitialConnectJitter, "watch")
		if want := (configapi.WatchRequest{Node: "n", Service: "s", Region: "r", Zone: "z", StartedMS: request.StartedMS, WatchNumber: 1}); request != want {
			t.Errorf("the request is %+v", request)
		}
		c.updates <- versionUpdate(1)
		if got := receiveWithin(t, applied, time.Second, "applied"); got != "1" {
			t.Errorf("applied %s", got)
		}
		ack := receiveWithin(t, c.acks, time.Second, "acknowledgement")
		want := configapi.Acknowledgement{Node: "n", StartedMS: request.StartedMS, WatchNumber: 1, Cluster: "x", Version: 1,
			Outcome: configapi.Applied, Applied: 1}
		if ack != want {
			t.Errorf("acknowledged %+v", ack)
		}
		if a := receiveWithin(t, observed, time.Second, "observed"); a.Version != 1 || a.Controller != "a:1" {
			t.Errorf("observed %+v", a)
		}
		if got, want := s.State(), (State{Cluster: "x", LastDecided: 1, Applied: 1, Controller: "a:1"}); got != want {
			t.Errorf("state %+v", got)
		}
	})
}

// A node rejects a configuration, and acknowledges this with the reason. It does not acknowledge a second
// configuration, which it cannot check because it is shutting down.
func TestRejectionIsAcknowledgedButInterruptionIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork()
		c := startFakeController(t, n, "a:1")
		rejection := &configapi.Rejection{Kind: configapi.RejectNoServer, Message: "none"}
		s := startSession(t, n, fakeApplier{func(_ context.Context, settings string) error {
			if settings == "1" {
				return fmt.Errorf("node: %w", rejection)
			}
			return errors.New("the node is shutting down")
		}})
		c.updates <- versionUpdate(1)
		ack := receiveWithin(t, c.acks, 2*time.Second, "acknowledgement")
		if ack.Outcome != configapi.Rejected || *ack.Rejection != *rejection || ack.Applied != 0 {
			t.Errorf("acknowledged %+v", ack)
		}
		c.updates <- versionUpdate(2)
		advance(10 * time.Second)
		if got := s.State(); got.LastDecided != 1 || len(c.acks) != 0 {
			t.Errorf("state %+v, %d acknowledgements", got, len(c.acks))
		}
	})
}

// An apply takes a minute. The watch stays open in the meantime. After the apply, only the newest of the versions that
// have arrived is applied.
func TestSlowApplyKeepsWatchOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork()
		c := startFakeController(t, n, "a:1")
		finish := make(chan struct{})
		var applied []string
		s := startSession(t, n, fakeApplier{func(ctx context.Context, settings string) error {
			applied = append(applied, settings)
			select {
			case <-finish:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
		for i := range 5 {
			c.updates <- versionUpdate(i + 1)
		}
		advance(time.Minute)
		if len(c.watches) != 1 || s.State().LastDecided != 0 {
			t.Errorf("%d watches, state %+v", len(c.watches), s.State())
		}
		finish <- struct{}{}
		finish <- struct{}{}
		if a, b := receiveWithin(t, c.acks, time.Second, "first"), receiveWithin(t, c.acks, time.Second, "second"); a.Version != 1 || b.Version != 5 {
			t.Errorf("acknowledged %d and %d", a.Version, b.Version)
		}
		if !slices.Equal(applied, []string{"1", "5"}) {
			t.Errorf("applied %v", applied)
		}
		c.updates <- versionUpdate(6)
		synctest.Wait()
		s.Close() // while version 6 is being applied
	})
}

// A controller stalls just as a version is published. The version arrives through another controller, and is in force
// within 3 s.
func TestVersionIsAppliedDespiteStalledController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork()
		a, b := startFakeController(t, n, "a:1"), startFakeController(t, n, "b:1")
		applied := make(chan string, 10)
		startSession(t, n, acceptAll(applied), func(o *Options) { o.Controllers = []string{"a:1", "b:1"} })
		advance(configversion.InitialConnectJitter)
		first, other := a, b
		if len(b.watches) > 0 {
			first, other = b, a
		}
		first.updates <- configapi.Update{Cluster: "x", HasLeaderContact: true}
		advance(time.Second)
		first.noHeartbeats.Store(true) // a stall: it sends neither heartbeats nor updates any more
		stalledAt := time.Now()
		other.updates <- versionUpdate(1)
		if got := receiveWithin(t, applied, 3*time.Second, "applied"); got != "1" {
			t.Errorf("applied %s", got)
		}
		t.Logf("in force after %v", time.Since(stalledAt))
		receiveWithin(t, other.acks, time.Second, "acknowledgement")
	})
}

// Acknowledgements share a connection. If the controller closes it after each of them, the next one is sent on a new
// connection.
func TestAckConnectionIsReused(t *testing.T) {
	for _, closeAfterAck := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newPipeNetwork()
			c := startFakeController(t, n, "a:1", func(c *fakeController) { c.closeAfterAck = closeAfterAck })
			startSession(t, n, acceptAll(make(chan string, 100)))
			const versions = 10
			for i := range versions {
				c.updates <- versionUpdate(i + 1)
				if ack := receiveWithin(t, c.acks, 3*time.Second, "acknowledgement"); int(ack.Version) != i+1 {
					t.Fatalf("version %d is acknowledged, want %d", ack.Version, i+1)
				}
				synctest.Wait()
			}
			if !closeAfterAck && n.dials != 2 {
				t.Errorf("%d connections were opened, want 2", n.dials)
			}
		})
	}
}

// The server at a controller's address is not a controller, or sends malformed responses. The node retries at a bounded
// rate, applies nothing and leaks no watch.
func TestMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":             "",
		"not HTTP":            "hello\r\n\r\n",
		"an endless head":     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes),
		"a malformed error":   "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\n???",
		"a malformed update":  "HTTP/1.1 200 OK\r\n\r\n{\"cluster\":7}",
		"a truncated update":  "HTTP/1.1 200 OK\r\n\r\n{\"cluster\":\"x\",\"version\":1,\"changed\":1,\"config\":{\"settings\":",
		"an update too large": "HTTP/1.1 200 OK\r\n\r\n{\"cluster\":\"" + strings.Repeat("x", maxUpdateBytes) + "\"}",
		"malformed chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newPipeNetwork()
				l := n.listen("a:1")
				defer l.Close()
				connectionCount := 0
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						connectionCount++
						go func() {
							defer conn.Close()
							conn.SetDeadline(time.Now().Add(time.Second))
							if _, err := conn.Read(make([]byte, 4096)); err != nil {
								return
							}
							io.WriteString(conn, text)
						}()
					}
				}()
				applied := make(chan string, 10)
				s := startSession(t, n, acceptAll(applied))
				advance(time.Minute)
				synctest.Wait()
				s.Close()
				if open := len(s.watches); open > 3 {
					t.Errorf("%d watches are open after a minute", open)
				}
				if connectionCount < 20 || connectionCount > 150 || len(applied) > 0 || s.State().LastDecided != 0 {
					t.Errorf("%d connections in a minute, %d versions applied, state %+v", connectionCount, len(applied), s.State())
				}
			})
		})
	}
}

// A controller has no capacity and redirects the node to another one. The node opens its next watch there.
func TestRejectedWatchFollowsRedirects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork()
		startFakeController(t, n, "a:1", func(c *fakeController) {
			c.rejectWith = &configapi.Error{Kind: configapi.ErrorNoCapacity, Alternatives: []configapi.ControllerAddress{{Address: "b:1"}}}
		})
		b := startFakeController(t, n, "b:1")
		startSession(t, n, acceptAll(make(chan string, 10)))
		if request := receiveWithin(t, b.watches, 2*time.Second, "watch at the other controller"); request.WatchRejections != 1 {
			t.Errorf("the request reports %d rejections, want 1", request.WatchRejections)
		}
	})
}

// Nothing is published for a minute. The idle watch receives two heartbeats per second, and the node sends nothing.
func TestTrafficOfAnIdleWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork()
		c := startFakeController(t, n, "a:1")
		counters := &Counters{}
		startSession(t, n, acceptAll(make(chan string, 10)), func(o *Options) { o.Counters = counters })
		c.updates <- versionUpdate(1)
		receiveWithin(t, c.acks, 3*time.Second, "acknowledgement")
		synctest.Wait()
		read, written, heartbeats := counters.BytesRead.Load(), counters.BytesWritten.Load(), counters.Heartbeats.Load()
		advance(time.Minute)
		synctest.Wait()
		read, written, heartbeats = counters.BytesRead.Load()-read, counters.BytesWritten.Load()-written, counters.Heartbeats.Load()-heartbeats
		if read > 60*20 || written != 0 || heartbeats < 118 || heartbeats > 121 {
			t.Errorf("in a minute %d bytes read, %d written, %d heartbeats", read, written, heartbeats)
		}
	})
}
