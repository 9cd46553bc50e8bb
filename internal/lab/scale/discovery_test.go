package scale

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
)

// discoveryMaxQueueTime is the maximum time that a call waits at discovery before it is rejected, the same as in the tests
// of package discovery's source.
const discoveryMaxQueueTime = 2 * time.Second

// maxOverheadBytes is the maximum that HTTP adds to the payload of a list: response header, chunk framing and heartbeats.
const maxOverheadBytes = 400

// measureInBubble runs the rig in virtual time, on a network without sockets, so that the results do not depend on the
// machine's speed.
func measureInBubble(t *testing.T, options DiscoveryOptions, check func(t *testing.T, result DiscoveryResult)) {
	t.Helper()
	options.Timeout = time.Minute
	options.Queue.MaxQueueTime = discoveryMaxQueueTime
	synctest.Test(t, func(t *testing.T) {
		network := discoverytest.NewPipeNetwork()
		defer network.Close()
		result, err := MeasureDiscovery(t.Context(), network, network.Dial, options)
		if err != nil {
			t.Fatalf("%v; %d nodes have no list", err, result.Start.Missing)
		}
		check(t, result)
	})
}

// completeListLength returns the length in bytes of a complete list in the form that the stand-in sends.
func completeListLength(t *testing.T, servers int) int64 {
	t.Helper()
	q := NewDiscoveryQueue(discoverytest.NewPipeNetwork(), DiscoveryQueueOptions{Servers: servers})
	text, err := json.Marshal(q.changesSince(0).list)
	if err != nil {
		t.Fatal(err)
	}
	return int64(len(text))
}

// When all nodes of a region return at once, they must not overload discovery with retries or with complete lists that no
// node needs. If the queue is shorter than a node's timeout, each node calls once and receives its list once. After a
// change each node receives only that change, and after a reset of all watches no node receives the complete list again.
func TestDiscoveryReturnCallsOnce(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, servers := range []int{10, 300} {
			const nodes = 50
			complete := completeListLength(t, servers)
			options := DiscoveryOptions{Nodes: nodes, Polled: polled, IdleTime: 10 * time.Second,
				Queue: DiscoveryQueueOptions{Servers: servers, ServiceTime: time.Millisecond}}
			measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
				wantCounts(t, "return", r.Start, nodes, nodes)
				wantBytesOut(t, "return", r.Start, nodes*complete, nodes*(complete+maxOverheadBytes))
				if got := r.Start.Last(); got != nodes*time.Millisecond {
					t.Errorf("the last of %d nodes has its list after %v of virtual time, want one millisecond a node", nodes, got)
				}
				wantCounts(t, "idle", r.Idle, 0, 0)
				wantBytesOut(t, "idle", r.Idle, 1, nodes*6*6) // at most six heartbeats, each a chunk of 6 bytes
				wantCounts(t, "change", r.Change, 0, nodes)
				wantBytesOut(t, "change", r.Change, nodes*100, nodes*maxOverheadBytes)
				wantCounts(t, "end of watches", r.WatchesEnd, nodes, nodes)
				wantBytesOut(t, "end of watches", r.WatchesEnd, 0, nodes*maxOverheadBytes)
			})
		}
	}
}

// Nodes that return with a list that lacks 32 changes receive these changes and not the complete list, which would cost
// discovery five times the bytes.
func TestDiscoveryReturnWithMissedChanges(t *testing.T) {
	const nodes, missed = 50, 32
	options := DiscoveryOptions{Nodes: nodes, MissedChanges: missed, Queue: DiscoveryQueueOptions{Servers: 300, ServiceTime: time.Millisecond}}
	complete := completeListLength(t, 300)
	measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
		wantCounts(t, "return", r.Start, nodes, nodes)
		wantBytesOut(t, "return", r.Start, nodes*missed*100, nodes*complete/5)
	})
}

// Guards against a self-sustaining overload: if the queue is longer than the maximum time that a call may wait, discovery
// rejects calls, and nodes that poll again immediately keep the queue full. All nodes must receive their list with a
// bounded number of calls on average.
func TestDiscoveryReturnBeyondTheQueue(t *testing.T) {
	const nodes, maxCallsPerNode = 400, 8
	options := DiscoveryOptions{Nodes: nodes, Queue: DiscoveryQueueOptions{Servers: 28, ServiceTime: 10 * time.Millisecond}}
	measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
		if r.Start.Rejected == 0 {
			t.Error("no call was rejected, although the queue is 4 s long and calls may wait for 2 s")
		}
		if r.Start.Calls > nodes*maxCallsPerNode {
			t.Errorf("%d calls by %d nodes, want at most %d a node", r.Start.Calls, nodes, maxCallsPerNode)
		}
	})
}

// Nodes without a list would make discovery seem cheap. If some node does not receive its list in time, the rig returns an
// error and measures nothing more.
func TestDiscoveryTooSlowForAnyNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := discoverytest.NewPipeNetwork()
		defer network.Close()
		result, err := MeasureDiscovery(t.Context(), network, network.Dial, DiscoveryOptions{Nodes: 3, Timeout: 10 * time.Second,
			Queue: DiscoveryQueueOptions{Servers: 10, ServiceTime: 3 * time.Second, MaxQueueTime: discoveryMaxQueueTime}})
		if !errors.Is(err, ErrDiscoveryNotServed) || result.Start.Missing != 3 || result.Start.Rejected == 0 {
			t.Errorf("%v; %d missing, %d rejected", err, result.Start.Missing, result.Start.Rejected)
		}
	})
}

// wantCounts checks the numbers of calls and lists of a phase, and that no node is missing.
func wantCounts(t *testing.T, phase string, got DiscoveryPhase, calls, lists int64) {
	t.Helper()
	if got.Calls != calls || got.Lists != lists || got.Missing != 0 {
		t.Errorf("%s: %d calls, %d lists, %d nodes missing; want %d, %d, 0", phase, got.Calls, got.Lists, got.Missing, calls, lists)
	}
}

// wantBytesOut checks that the number of bytes written in a phase is within bounds.
func wantBytesOut(t *testing.T, phase string, got DiscoveryPhase, least, most int64) {
	t.Helper()
	if got.BytesOut < least || got.BytesOut > most {
		t.Errorf("%s: %d bytes written, want %d to %d", phase, got.BytesOut, least, most)
	}
}
