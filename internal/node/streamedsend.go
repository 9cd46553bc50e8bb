package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

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
	clientAtFault := a.req.remaining.unsendable()
	if !clientAtFault && errors.Is(err, os.ErrDeadlineExceeded) {
		a.reportSlowReading()
	}
	outcome := a.conn.incompleteSendOutcome()
	a.pool.close(a.conn, closedForUnsentRequest)
	if clientAtFault || a.req.remaining.unsendable() {
		return 0, a.resultOf(balancer.NotSent, engine.ReasonBodyIncomplete)
	}
	return 0, a.resultWithError(outcome, engine.ReasonLastByteNotWritten, err)
}

// reportSlowReading logs and counts a request that is given up because its server reads it too slowly.
func (a *attemptRun) reportSlowReading() {
	a.pool.count(metrics.RequestsReadSlowly)
	a.pool.log.Warn("request given up: its server has stopped reading it, or reads too slowly", "id", a.attempt.Call.Request.ID,
		"server", a.attempt.Target.ID, "arrived", a.arrival.previous.arrived, "window_open", a.arrival.previous.windowOpen,
		"last_byte_possible_for", time.Since(a.arrival.missingAt), "timeout", a.attempt.Timeout)
}

// writeStreamed writes a request whose body is streamed, then sets the deadline of its response. The client's time runs from when it
// has written the last byte, however long the node and the server take to read the body.
func (a *attemptRun) writeStreamed() error {
	a.arrival = newBodyArrival(a.pool.clock.ToTime(a.attempt.Started))
	if presence := a.req.presence; presence != nil {
		presence.conn.readAhead.timeWaits()
	}
	limit := newWriteLimit(a.conn.raw)
	limit.expiry = a.uploadExpiry
	if err := a.copyStreamed(&uploadWriter{conn: a.conn, limit: limit}); err != nil {
		return err
	}
	if a.req.remaining.unsendable() { // otherwise a truncated body would count as complete
		return errRequestBody
	}
	now := time.Now()
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.conn.sentAt = a.pool.clock.Now()
	a.conn.requestDeadline = a.conn.sentAt + a.clientDeadline().Sub(now)
	a.conn.deadline = a.responseDeadline(now)
	return a.conn.SetDeadline(a.conn.deadline)
}

// uploadWriter writes a streamed request to a server.
type uploadWriter struct {
	conn  *upstreamConn
	limit *writeLimit
}

func (w *uploadWriter) Write(b []byte) (int, error) { return w.limit.write(w.conn, b) }

// copyStreamed writes the head and the body. http.Request.Write is not used, because it needs a buffer of 32 KiB for each body.
func (a *attemptRun) copyStreamed(w io.Writer) error {
	var head bytes.Buffer
	writeRequestHead(&head, a.req, a.attempt.Timeout, a.req.contentLength)
	began := a.pool.clock.Now()
	_, err := w.Write(head.Bytes())
	a.attempt.CheckSend(began, noAnnouncedTimeout) // now: the lease of the list may end differently while the body is sent
	if err != nil {
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
	remaining := awaitedBody{remainingBody{a.req.remaining, a.req.presence}, a.arrival}
	chunk := make([]byte, min(max(len(a.req.body), minBuffered), streamChunk))
	rest, err := io.CopyBuffer(struct{ io.Writer }{w}, remaining, chunk)
	return int64(len(a.req.body)) + rest, err
}

// uploadExpiry returns until when a write of a streamed request may wait for its server. The node can't read the body meanwhile, so
// that its last byte may have arrived unread: the client must be answered in its time, counted from when it can have written that byte.
func (a *attemptRun) uploadExpiry() time.Time {
	expired := !time.Now().Before(a.clientDeadline().Add(lateAnswerAllowance))
	if nextObservation := a.arrival.previous.at.Add(minQuietTime); expired && time.Now().Before(nextObservation) {
		return nextObservation
	}
	a.observeBody(expired)
	return a.clientDeadline().Add(lateAnswerAllowance)
}

// observeBody updates the estimate of when the client wrote the last byte, and looks at what is unread if inspect is true. If nothing is
// known of the client's connection, the body counts as incomplete.
func (a *attemptRun) observeBody(inspect bool) {
	now := time.Now()
	switch presence := a.req.presence; {
	case presence == nil:
		a.arrival.missingUntil(now)
	case now.Sub(a.arrival.previous.at) >= minQuietTime:
		if observation, reading := presence.observe(inspect); reading {
			a.arrival.observe(observation)
		}
	}
}

// clientDeadline returns when the client stops waiting, by the estimate of when it wrote the last byte.
func (a *attemptRun) clientDeadline() time.Time { return a.arrival.missingAt.Add(a.attempt.Timeout) }

// responseDeadline returns until when the response to a request that was sent completely at the time now may arrive.
func (a *attemptRun) responseDeadline(now time.Time) time.Time {
	return earlier(now.Add(a.attempt.Timeout), a.clientDeadline().Add(lateAnswerAllowance))
}

// awaitedBody reads the unbuffered part of a body, and records when the client was waited for.
type awaitedBody struct {
	remainingBody
	arrival *bodyArrival
}

// Read reads the next bytes.
func (r awaitedBody) Read(b []byte) (int, error) {
	n, err := r.remainingBody.Read(b)
	if r.presence != nil {
		r.arrival.waited(r.presence.conn.readAhead.takeWait())
	}
	return n, err
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
