package scale

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/discovery/discoverytest"
)

// callTurnedDownAfter is how long a call waits at discovery before it is turned down, as the tests of the source have it.
const callTurnedDownAfter = 2 * time.Second

// mostOverheadBytes bounds what HTTP adds to the payload of a list: header of the answer, chunks and heartbeats.
const mostOverheadBytes = 400

// measureInBubble runs the rig in virtual time, on a network without sockets: how fast the machine is changes nothing.
func measureInBubble(t *testing.T, options DiscoveryOptions, check func(t *testing.T, result DiscoveryResult)) {
	t.Helper()
	options.MostTime = time.Minute
	options.Queue.LongestWait = callTurnedDownAfter
	synctest.Test(t, func(t *testing.T) {
		network := discoverytest.NewPipes()
		defer network.Close()
		result, err := MeasureDiscovery(t.Context(), network, network.Dial, options)
		if err != nil {
			t.Fatalf("%v; %d nodes have no list", err, result.Return.Missing)
		}
		check(t, result)
	})
}

// wholeListLength is the length of a whole list as the stand-in writes it.
func wholeListLength(t *testing.T, servers int) int64 {
	t.Helper()
	q := NewDiscoveryQueue(discoverytest.NewPipes(), DiscoveryQueueOptions{Servers: servers})
	list, _, _ := q.since(0)
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return int64(len(text))
}

// The small form, where the queue is shorter than a node's patience: each node calls once and gets its list once, at a
// change each gets that change alone, and after the end of all watches nobody is sent the whole list again.
func TestDiscoveryReturnCallsOnce(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, servers := range []int{10, 300} {
			const nodes = 50
			whole := wholeListLength(t, servers)
			options := DiscoveryOptions{Nodes: nodes, Asked: asked, Rest: 10 * time.Second,
				Queue: DiscoveryQueueOptions{Servers: servers, ServiceTime: time.Millisecond}}
			measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
				wantCounts(t, "return", r.Return, nodes, nodes)
				wantBytesOut(t, "return", r.Return, nodes*whole, nodes*(whole+mostOverheadBytes))
				if got := r.Return.Last(); got != nodes*time.Millisecond {
					t.Errorf("the last of %d has its list after %v of virtual time, at one call a millisecond", nodes, got)
				}
				wantCounts(t, "rest", r.Rest, 0, 0)
				wantBytesOut(t, "rest", r.Rest, 1, nodes*6*6) // six heartbeats at most, of an empty line in a chunk
				wantCounts(t, "change", r.Change, 0, nodes)
				wantBytesOut(t, "change", r.Change, nodes*100, nodes*mostOverheadBytes)
				wantCounts(t, "end of watches", r.WatchesEnd, nodes, nodes)
				wantBytesOut(t, "end of watches", r.WatchesEnd, 0, nodes*mostOverheadBytes)
			})
		}
	}
}

// Nodes that come back with a list that has missed 32 changes get these, and not the whole list.
func TestDiscoveryReturnWithMissedChanges(t *testing.T) {
	const nodes, missed = 50, 32
	options := DiscoveryOptions{Nodes: nodes, Missed: missed, Queue: DiscoveryQueueOptions{Servers: 300, ServiceTime: time.Millisecond}}
	whole := wholeListLength(t, 300)
	measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
		wantCounts(t, "return", r.Return, nodes, nodes)
		wantBytesOut(t, "return", r.Return, nodes*missed*100, nodes*whole/5)
	})
}

// Where the queue is longer than discovery lets a call wait, calls are turned down. All nodes get their list all the
// same, each with a bounded number of calls.
func TestDiscoveryReturnBeyondTheQueue(t *testing.T) {
	const nodes, mostCallsPerNode = 400, 8
	options := DiscoveryOptions{Nodes: nodes, Queue: DiscoveryQueueOptions{Servers: 28, ServiceTime: 10 * time.Millisecond}}
	measureInBubble(t, options, func(t *testing.T, r DiscoveryResult) {
		if r.Return.TurnedDown == 0 {
			t.Error("no call was turned down, in a queue of 4 s that lets calls wait for 2 s")
		}
		if r.Return.Calls > nodes*mostCallsPerNode {
			t.Errorf("%d calls of %d nodes, at most %d a node are expected", r.Return.Calls, nodes, mostCallsPerNode)
		}
	})
}

// What is not served in time is said, and nothing else is measured.
func TestDiscoveryThatServesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := discoverytest.NewPipes()
		defer network.Close()
		result, err := MeasureDiscovery(t.Context(), network, network.Dial, DiscoveryOptions{Nodes: 3, MostTime: 10 * time.Second,
			Queue: DiscoveryQueueOptions{Servers: 10, ServiceTime: 3 * time.Second, LongestWait: callTurnedDownAfter}})
		if !errors.Is(err, ErrDiscoveryNotServed) || result.Return.Missing != 3 || result.Return.TurnedDown == 0 {
			t.Errorf("%v; %d missing, %d turned down", err, result.Return.Missing, result.Return.TurnedDown)
		}
	})
}

func wantCounts(t *testing.T, part string, got DiscoveryPart, calls, lists int64) {
	t.Helper()
	if got.Calls != calls || got.Lists != lists || got.Missing != 0 {
		t.Errorf("%s: %d calls, %d lists, %d nodes without; want %d, %d, 0", part, got.Calls, got.Lists, got.Missing, calls, lists)
	}
}

func wantBytesOut(t *testing.T, part string, got DiscoveryPart, least, most int64) {
	t.Helper()
	if got.BytesOut < least || got.BytesOut > most {
		t.Errorf("%s: %d bytes written, want %d to %d", part, got.BytesOut, least, most)
	}
}
