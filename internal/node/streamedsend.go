package node

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/invariants"
)

// stallTimeout is how long a server may take to receive one chunk of a streamed request. Without it, a stalled server would hold
// up its client indefinitely.
const stallTimeout = 5 * time.Second

// earlyResponseWait is how long the node waits for the response of a server that stopped reading a request. A server
// that rejects a request before it has read all of it sends its response within this time.
const earlyResponseWait = 50 * time.Millisecond

// lateAnswerAllowance is added to the client's time before a write to a server that hangs is given up, so that a short pause of
// the server does not fail a request with little time. It leaves time to answer within invariants.AnswerSlack.
const lateAnswerAllowance = invariants.AnswerSlack / 2

// noAnnouncedTimeout replaces the announced timeout in calls of engine.Attempt.CheckSend for streamed requests, whose
// timeout does not start with the first byte written.
const noAnnouncedTimeout = 0

// sendStreamed is send for a request whose body is streamed. The server's latency is measured from the last byte.
func (a *attemptRun) sendStreamed() (latencyStart time.Duration, failure *engine.Result) {
	err := a.writeStreamed()
	if err == nil {
		a.written = true
		a.req.presence.release()
		return a.pool.clock.Now(), nil
	}
	outcome := a.conn.incompleteSendOutcome()
	a.pool.close(a.conn, closedForUnsentRequest)
	if a.req.remaining.unsendable() {
		return 0, a.resultOf(balancer.NotSent, engine.ReasonBodyIncomplete) // the client's fault, not the server's
	}
	return 0, a.resultWithError(outcome, engine.ReasonLastByteNotWritten, err)
}

// writeStreamed writes a request whose body is streamed, then sets the deadline of its response, which is measured from
// the last byte.
func (a *attemptRun) writeStreamed() error {
	began := a.pool.clock.Now()
	defer a.attempt.CheckSend(began, noAnnouncedTimeout)
	w := &errWriter{w: a.conn, beforeWrite: func() { a.conn.SetWriteDeadline(a.streamWriteDeadline(time.Now())) }}
	if err := a.copyStreamed(w); err != nil {
		return err
	}
	if a.req.remaining.unsendable() { // otherwise a truncated body would count as complete
		return errRequestBody
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.conn.deadline = a.responseDeadline(time.Now())
	a.conn.sentAt = a.pool.clock.Now()
	return a.conn.SetDeadline(a.conn.deadline)
}

// copyStreamed writes the head and the body. http.Request.Write is not used, because it needs a buffer of 32 KiB for each body.
func (a *attemptRun) copyStreamed(w io.Writer) error {
	var head bytes.Buffer
	writeRequestHead(&head, a.req, a.attempt.Timeout, a.req.contentLength)
	if _, err := w.Write(head.Bytes()); err != nil {
		return err
	}
	if a.req.contentLength < 0 {
		return a.copyChunked(bufio.NewWriterSize(w, minBuffered))
	}
	written, err := a.copyBody(w)
	if err == nil && written != a.req.contentLength {
		return errRequestBody
	}
	return err
}

// copyChunked writes the body with chunked encoding.
func (a *attemptRun) copyChunked(out *bufio.Writer) error {
	chunks := httputil.NewChunkedWriter(out)
	if _, err := a.copyBody(chunks); err != nil {
		return err
	}
	chunks.Close()
	out.WriteString("\r\n") // no trailers; Flush returns the error of an earlier write
	return out.Flush()
}

// copyBody writes the body, and returns how many bytes it has written.
func (a *attemptRun) copyBody(w io.Writer) (written int64, err error) {
	if _, err := w.Write(a.req.body); err != nil {
		return 0, err
	}
	remaining := remainingBody{a.req.remaining, a.req.presence}
	chunk := make([]byte, min(max(len(a.req.body), minBuffered), streamChunk))
	rest, err := io.CopyBuffer(struct{ io.Writer }{w}, remaining, chunk)
	return int64(len(a.req.body)) + rest, err
}

// streamWriteDeadline returns until when a server may receive the chunk that is written at the time now. The client's time runs
// from when the last byte of its body arrived, which may have happened since the node last read from the client. So if the write
// takes longer than the client's time, the answer to the client could be late. Once all of the body is known to have arrived, the
// writes of all chunks together have that time: the bytes may wait in the kernel for a server that reads slowly.
func (a *attemptRun) streamWriteDeadline(now time.Time) time.Time {
	if a.bodyArrivedAt.IsZero() && a.req.remaining.arrived() {
		a.bodyArrivedAt = now
		if !a.bodyMissingAt.IsZero() {
			a.bodyArrivedAt = a.bodyMissingAt // it arrived at some time since then
		}
	}
	a.bodyMissingAt = now
	deadline := now.Add(min(stallTimeout, a.attempt.Timeout+lateAnswerAllowance))
	if a.bodyArrivedAt.IsZero() {
		return deadline
	}
	return earlier(deadline, a.bodyArrivedAt.Add(a.attempt.Timeout+lateAnswerAllowance))
}

// responseDeadline returns until when the response to a request that was sent completely at the time now may arrive.
func (a *attemptRun) responseDeadline(now time.Time) time.Time {
	if a.bodyArrivedAt.IsZero() {
		return now.Add(a.attempt.Timeout)
	}
	return earlier(now, a.bodyArrivedAt.Add(lateAnswerAllowance)).Add(a.attempt.Timeout)
}

// incompleteSendOutcome returns the outcome of an attempt whose request was not completely written: Overloaded if the
// server rejected the request before it had read all of it, otherwise Unreachable.
func (c *upstreamConn) incompleteSendOutcome() balancer.Outcome {
	c.pool.mu.Lock()
	c.deadline = time.Now().Add(earlyResponseWait)
	c.SetReadDeadline(c.deadline)
	c.pool.mu.Unlock()
	if response := <-c.responses; response.err == nil {
		if response.stream != nil {
			close(response.stream.released)
		}
		if outcome := responseOutcome(response.head); outcome == balancer.Overloaded {
			return outcome
		}
	}
	return balancer.Unreachable
}
