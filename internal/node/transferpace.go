package node

import "time"

// transferPace says how slowly a peer may send or take the bytes of a message and still count as sound. Sound peers transfer 64 kB/s or
// more on average, in pieces of any size.
type transferPace struct {
	minRate  int64         // bytes per second on average, of what was transferred and is to be transferred next
	maxPause time.Duration // the longest time without a byte, however many came before it
}

// The paces of the four directions in which a node waits for a peer. A peer that stops ends within maxPause; one that goes on at a
// rate below minRate, within maxPause/(1 - rate/minRate) of the time at which it became so slow.
var (
	sendingClientPace = transferPace{minRate: minBodyRate, maxPause: 5 * time.Second}
	sendingServerPace = transferPace{minRate: minBodyRate, maxPause: 2900 * time.Millisecond} // a misbehaving peer is closed within 3 s
	receivingPeerPace = transferPace{minRate: minBodyRate / 2, maxPause: 5 * time.Second}     // clients, and servers that take a request
)

// timeFor returns the longest time in which a sound peer transfers so many bytes.
func (p transferPace) timeFor(bytes int64) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(p.minRate)
}

// transferProgress judges by what a peer has transferred whether it has stopped. It does no I/O and has no clock. Only the time counts
// in which the node waits for the peer.
//
// Each byte earns the peer the time that it takes at minRate, up to maxPause in all. So a piece pays for the pause that follows it, and
// a peer can't draw out a transfer by a few bytes before each timeout.
type transferProgress struct {
	pace   transferPace
	credit time.Duration // how long the peer may transfer nothing
}

// begin returns the progress of a transfer whose first byte may take the time credit.
func (p transferPace) begin(credit time.Duration) transferProgress {
	return transferProgress{pace: p, credit: credit}
}

// record records that the peer was waited for, and how many bytes it has transferred meanwhile. It reports whether it keeps its pace.
func (t *transferProgress) record(bytes int64, waited time.Duration) (sound bool) {
	left := t.credit - waited + t.pace.timeFor(bytes)
	t.credit = min(max(left, 0), t.pace.maxPause)
	return left > 0
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
