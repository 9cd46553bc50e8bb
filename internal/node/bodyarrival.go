package node

import "time"

const (
	// arrivalMarks is the number of earlier observations that bodyArrival keeps: one for each share of maxClientUnsent that arrives.
	arrivalMarks = 16

	// heldBackRate is the rate in bytes per second above which the bytes arrive that the client's kernel has held back, once the
	// window is open. What arrives more slowly, for minQuietTime or longer, was just written by the client.
	heldBackRate = 8 << 20
	minQuietTime = 5 * time.Millisecond
)

// bodyObservation is what is known of a streamed body at one time, without reading it.
type bodyObservation struct {
	at      time.Time
	arrived int64 // bytes that have arrived on the connection, read or not
	missing int64 // bytes of the body that have not arrived; -1: its length is unknown, and its end was not read
	// windowOpen is true if the client's kernel may send what it has. Otherwise it may hold back up to maxClientUnsent bytes.
	windowOpen bool
	// endMissing is true if the length of the body is unknown, and its end is known not to be among what has arrived.
	endMissing bool
}

// bodyArrival estimates when a client wrote the last byte of a streamed body, from which its time runs. A server that reads slowly keeps
// the node from reading the body, so that its end may wait unread in the kernel of this machine or of the client's. The estimate is the
// latest time at which the last byte is known not to have been written. So it is never too late, and for a client that still writes it
// is about now, unless more waits than a slow server can read in time. It does no I/O and has no clock.
type bodyArrival struct {
	missingAt time.Time         // when the last byte was last known not to have been written
	previous  bodyObservation   // the latest observation
	quiet     bodyObservation   // the latest one at which the client's kernel held nothing back
	marks     []bodyObservation // earlier ones, at intervals of bytes
	ended     bool              // the end of the body has arrived
}

// newBodyArrival returns the estimate for a body whose last byte counts as written at the time from at the earliest.
func newBodyArrival(from time.Time) *bodyArrival { return &bodyArrival{missingAt: from} }

// observe takes an observation into account. Observations must be in the order of their times.
func (b *bodyArrival) observe(o bodyObservation) {
	if b.ended {
		return
	}
	if o.arrived > b.quiet.arrived { // what has arrived since then was written after it
		b.missingUntil(b.quiet.at)
	}
	if b.previous.windowOpen && o.windowOpen && arrivesSlowly(o.arrived-b.previous.arrived, o.at.Sub(b.previous.at)) {
		b.quiet = o
	}
	nothingHeldBack := b.quiet.at.Equal(o.at)
	if o.missing > maxClientUnsent || nothingHeldBack && (o.missing > 0 || o.endMissing) {
		b.missingUntil(o.at)
	}
	b.mark(o)
	b.previous, b.ended = o, o.missing == 0
}

// mark keeps an observation, and drops those since which more has arrived than the client's kernel could have held at their time.
func (b *bodyArrival) mark(o bodyObservation) {
	for len(b.marks) > 0 && o.arrived > b.marks[0].arrived+maxClientUnsent {
		b.missingUntil(b.marks[0].at)
		b.marks = b.marks[1:]
	}
	if len(b.marks) == 0 || o.arrived >= b.marks[len(b.marks)-1].arrived+maxClientUnsent/arrivalMarks {
		b.marks = append(b.marks, o)
	}
}

// waited records that a read has waited for the client, although nothing was unread.
func (b *bodyArrival) waited(wait inputWait) {
	if arrivesSlowly(wait.arrived, wait.took) {
		b.missingUntil(wait.ended)
	}
}

// missingUntil records that the last byte had not been written at a time.
func (b *bodyArrival) missingUntil(at time.Time) {
	if !b.ended {
		b.missingAt = later(b.missingAt, at)
	}
}

// arrivesSlowly reports whether so few bytes have arrived within a time that the client's kernel has held back none of them.
func arrivesSlowly(bytes int64, within time.Duration) bool {
	return within >= minQuietTime && bytes < int64(within)*heldBackRate/int64(time.Second)
}
