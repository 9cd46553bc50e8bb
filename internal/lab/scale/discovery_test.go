package scale

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
)

// discoveryMaxQueueTime is how long a call waits at discovery before it is rejected, as in the tests of the source.
const discoveryMaxQueueTime = 2 * time.Second

// maxOverheadBytes bounds what HTTP adds to the payload of a list: header of the answer, chunks and heartbeats.
const maxOverheadBytes = 400

// measureInBubble runs the rig in virtual time, on a network without sockets: how fast the machine is changes nothing.
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

// completeListLength is the length of a complete list as the stand-in writes it, in bytes.
func completeListLength(t *testing.T, servers int) int64 {
	t.Helper()
	q := NewDiscoveryQueue(discoverytest.NewPipeNetwork(), DiscoveryQueueOptions{Servers: servers})
	text, err := json.Marshal(q.changesSince(0).list)
	if err != nil {
		t.Fatal(err)
	}
	return int64(len(text))
}

// A region that comes back at once must not overload discovery by retries or by complete lists that nobody needs. Where the
// queue is shorter than a node's timeout, each node calls once and receives its list once, at a change each receives that
// change alone, and after a reset of all watches nobody is sent the complete list again.
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
					t.Errorf("the last of %d has its list after %v of virtual time, at one call a millisecond", nodes, got)
				}
				wantCounts(t, "rest", r.Idle, 0, 0)
				wantBytesOut(t, "rest", r.Idle, 1, nodes*6*6) // six heartbeats at most, of an empty line in a chunk
				wantCounts(t, "change", r.Change, 0, nodes)
				wantBytesOut(t, "change", r.Change, nodes*100, nodes*maxOverheadBytes)
				wantCounts(t, "end of watches", r.WatchesEnd, nodes, nodes)
				wantBytesOut(t, "end of watches", r.WatchesEnd, 0, nodes*maxOverheadBytes)
			})
		}
	}
}

// Nodes that come back with a list that has missed 32 changes receive these, and not the complete list: it would cost
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

// An overload that feeds itself: where the queue is longer than discovery lets a call wait, calls are rejected, and nodes
// that poll again at once keep the queue full. All nodes receive their list, each with a bounded number of calls.
func TestDiscoveryReturnBeyondTheQueue(t *testing.T) {
	const nodes, maxCallsPerNode = 400, 8
	options := DiscoveryOptions{Nodes: nodes, Queue: DiscoveryQueueOptions{Servers: 28, ServiceTime: 10 * time.Millisecond}}
	measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
		if r.Start.Rejected == 0 {
			t.Error("no call was rejected, in a queue of 4 s that lets calls wait for 2 s")
		}
		if r.Start.Calls > nodes*maxCallsPerNode {
			t.Errorf("%d calls of %d nodes, at most %d a node are expected", r.Start.Calls, nodes, maxCallsPerNode)
		}
	})
}

// A measurement of nodes without a list would pass for a cheap one: if not all are served in time the rig says so, and
// measures nothing else.
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

// wantCounts wants a phase to have had so many calls and lists, and no node without.
func wantCounts(t *testing.T, phase string, got DiscoveryPhase, calls, lists int64) {
	t.Helper()
	if got.Calls != calls || got.Lists != lists || got.Missing != 0 {
		t.Errorf("%s: %d calls, %d lists, %d nodes without; want %d, %d, 0", phase, got.Calls, got.Lists, got.Missing, calls, lists)
	}
}

// wantBytesOut wants a phase to have written a number of bytes within bounds.
func wantBytesOut(t *testing.T, phase string, got DiscoveryPhase, least, most int64) {
	t.Helper()
	if got.BytesOut < least || got.BytesOut > most {
		t.Errorf("%s: %d bytes written, want %d to %d", phase, got.BytesOut, least, most)
	}
}
