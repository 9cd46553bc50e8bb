package node

import "time"

const (
	// shortResponse is the size in bytes up to which a response is due with its last byte. Of a longer one, only the first bytes
	// are due at the client's deadline.
	shortResponse = 64 << 10

	// shortResponseGrace is how long after the client's deadline a response of unknown length may still be short. A sound server
	// sends shortResponse in that time.
	shortResponseGrace = shortResponse * time.Second / (2 * minBodyRate)

	// minForwardedBytes tells a response that has begun soundly from one that trickles, before it is forwarded.
	minForwardedBytes = 1 << 10

	// firstPieceAllowance is the time that a response has in addition to that of its bytes before it must have begun soundly. It
	// counts for its forwarding only: a response that stops before the client's deadline has to end soon after it.
	firstPieceAllowance = 450 * time.Millisecond
)

// responseLimit decides until when the next bytes of a response are awaited, from its head on, and when a response that is held may be
// forwarded. All waits for the response have this one limit. It does no I/O and has no clock.
//
// Until the client's deadline, and lateAnswerAllowance for a pause of the server, the limit is that time. After it, only a response of
// more than shortResponse continues, as long as its server keeps sendingServerPace. If its length is unknown, it must have kept the
// minimum rate since its first byte, but for lateAnswerAllowance, and exceed shortResponse within shortResponseGrace.
//
// The time in which the node waits for the client does not count: meanwhile the server's bytes wait for the node.
type responseLimit struct {
	length      int64            // of the body, in bytes; -1: unknown
	received    int64            // bytes of the body
	firstByteAt time.Time        // of the body; zero: it has not arrived
	lastByteAt  time.Time        // of the body
	progress    transferProgress // from the head on, or from when the response is known to be long
	due         time.Time        // by when the response has to end, unless it may continue; set by start
	waitBegan   time.Time        // when the node began to wait for the server
	waitEnded   time.Time
}

// newResponseLimit returns the limit of a response whose head was read at the time now. length is that of its body, in bytes; -1:
// unknown.
func newResponseLimit(length int64, now time.Time) *responseLimit {
	return &responseLimit{length: length, progress: sendingServerPace.begin(sendingServerPace.maxPause), waitBegan: now, waitEnded: now}
}

// long reports whether the response is known to be longer than shortResponse.
func (l *responseLimit) long() bool { return l.received > shortResponse || l.length > shortResponse }

// start sets the client's deadline, at the time now, when the response begins to be forwarded.
func (l *responseLimit) start(deadline, now time.Time) {
	l.due = deadline.Add(lateAnswerAllowance)
	l.waitEnded = now
}

// beginWait records that bytes are awaited from the time now on, and returns until when they have to arrive.
func (l *responseLimit) beginWait(now time.Time) time.Time {
	forClient := now.Sub(l.waitEnded)
	l.due = l.due.Add(forClient)
	if !l.firstByteAt.IsZero() {
		l.firstByteAt = l.firstByteAt.Add(forClient)
	}
	l.waitBegan = now
	switch {
	case l.long():
		return later(l.due, now.Add(l.progress.credit))
	case l.length >= 0:
		return l.due
	}
	return later(l.due, earlier(l.earnedUntil().Add(lateAnswerAllowance), l.due.Add(shortResponseGrace)))
}

// record records that n bytes have arrived by the time now, which were awaited since beginWait or the last call of record.
func (l *responseLimit) record(n int, now time.Time) {
	wasLong := l.long()
	l.received += int64(n)
	switch {
	case l.long() && !wasLong:
		l.progress = sendingServerPace.begin(sendingServerPace.maxPause)
	case l.long():
		l.progress.record(int64(n), now.Sub(l.waitBegan))
	}
	l.waitBegan, l.waitEnded = now, now
	if n == 0 {
		return
	}
	l.lastByteAt = now
	if l.firstByteAt.IsZero() {
		l.firstByteAt = now
	}
}

// earnedUntil returns until when the bytes of the body suffice for the minimum rate since the first of them.
func (l *responseLimit) earnedUntil() time.Time {
	return l.firstByteAt.Add(sendingServerPace.timeFor(l.received))
}

// begunSoundly reports whether enough has arrived by the time now to forward a response that is still arriving.
func (l *responseLimit) begunSoundly(now time.Time) bool {
	return l.received >= minForwardedBytes && now.Before(l.earnedUntil().Add(firstPieceAllowance))
}
