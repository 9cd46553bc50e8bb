package node

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// Errors that are logged with an attempt without a response. The attempt's outcome says whether its request may have
// run.
var (
	errClosedBeforeRequest = errors.New("the server closed the connection, or sent unsolicited bytes on it, before the request was sent")
	errResponseTimeout     = errors.New("no response before the deadline")
)

// attemptRun is an attempt in progress. It runs in the goroutine that Start created for it.
//
// The outcome decides whether the request may be sent again, so it must never claim that a request did not run if it
// may have run. A request may have run as soon as its last byte is written, unless the server's response says that it
// did not.
//
//	NotSent          the request was not completely written, because of the node or the client
//	Unreachable      the request was not completely written, because of the server: it can't have run
//	Overloaded       the server's response says that it did not run the request
//	ConnectionLost   the request was completely written, and the connection ended without a complete response
//	TimedOut         the request was completely written, and the deadline passed without a complete response
//	Failure          any response that is neither a 200 nor a marked rejection: the request may have run
//	Canceled         the response could not be forwarded to the client
type attemptRun struct {
	pool    *connPool
	attempt *engine.Attempt
	req     *clientRequest
	conn    *upstreamConn // nil: no connection acquired yet
	written bool          // the request's last byte was written to conn

	arrival *bodyArrival // of a streamed body, from when the request is written
}

// runAttempt sends an attempt's request at most once, waits for the response and returns the result.
func (p *connPool) runAttempt(att *engine.Attempt) engine.Result {
	run := &attemptRun{pool: p, attempt: att, req: att.Call.Payload.(*clientRequest)}
	return *run.run()
}

func (a *attemptRun) run() *engine.Result {
	if a.req.remaining != nil && (a.req.remaining.remainderStarted.Load() || a.req.remaining.unsendable()) {
		return a.resultOf(balancer.NotSent, engine.ReasonBodyIncomplete)
	}
	if !a.attempt.MaySend(a.pool.clock.Now()) {
		return a.resultOf(balancer.NotSent, engine.ReasonSendNotAllowed)
	}
	if failure := a.connect(); failure != nil {
		return failure
	}
	latencyStart, failure := a.send()
	if failure != nil {
		return failure
	}
	return a.receive(latencyStart)
}

// resultOf returns the result of an attempt that ended without an error to log.
func (a *attemptRun) resultOf(outcome balancer.Outcome, reason engine.Reason) *engine.Result {
	return a.addConnectionInfo(&engine.Result{Attempt: a.attempt, Outcome: outcome, Reason: reason})
}

// resultWithError returns the result of an attempt that ended without a response, with the error to log.
func (a *attemptRun) resultWithError(outcome balancer.Outcome, reason engine.Reason, err error) *engine.Result {
	return a.addConnectionInfo(&engine.Result{Attempt: a.attempt, Outcome: outcome, Reason: reason, Err: err})
}

// addConnectionInfo adds to a result the data about the attempt's connection that is logged and captured, and returns
// the result.
func (a *attemptRun) addConnectionInfo(result *engine.Result) *engine.Result {
	c := a.conn
	if c == nil {
		return result
	}
	result.ConnectionUses, result.ConnectionAge, result.ConnectionIdle = c.uses, a.pool.clock.Now()-c.connectedAt, c.idleBefore
	result.Connection, result.Written = c.number, a.written
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	result.ClosedBy = string(c.closeReason)
	return result
}

// connect acquires a connection that can be written to, and returns nil. If it can't, it returns the attempt's result.
// A broken reused connection is replaced; a broken new connection is the server's fault and ends the attempt.
func (a *attemptRun) connect() (failure *engine.Result) {
	for {
		c, fresh, err := a.pool.acquireOrDial(a.attempt)
		if errors.Is(err, errNoDescriptor) {
			return a.resultOf(balancer.NotSent, engine.ReasonNoDescriptor)
		}
		if a.conn = c; err != nil && a.attempt.RepeatExpired(a.pool.clock.Now()) {
			return a.resultOf(balancer.NotSent, engine.ReasonSendNotAllowed) // the server had less than the connect timeout
		}
		if err != nil {
			return a.resultWithError(balancer.Unreachable, engine.ReasonNoConnection, err)
		}
		// Connecting takes time: the request may have ended meanwhile, or the server may have begun to drain.
		if !a.confirmClient() || !a.attempt.MaySend(a.pool.clock.Now()) {
			a.conn = nil
			a.pool.release(c)
			return a.resultOf(balancer.NotSent, engine.ReasonSendNotAllowed)
		}
		if a.pool.beginRequest(c) {
			return nil
		}
		if fresh {
			return a.resultWithError(balancer.Unreachable, engine.ReasonNoConnection, errClosedBeforeRequest)
		}
	}
}

// confirmClient reports whether the client of a streamed request is still there. What is read of the body meanwhile belongs to its
// buffered part, which every attempt sends.
func (a *attemptRun) confirmClient() (present bool) {
	present, read := a.req.presence.confirm()
	a.req.body = append(a.req.body, read...)
	return present
}

// send writes the request. It returns the clock time from which the server's latency is measured, or the attempt's
// result if writing failed.
func (a *attemptRun) send() (latencyStart time.Duration, failure *engine.Result) {
	if a.req.remaining != nil {
		return a.sendStreamed()
	}
	writeBegan := a.pool.clock.Now()
	timeLeft := a.attempt.Deadline - writeBegan
	request := encodeRequest(a.req, timeLeft)
	if a.attempt.SendBy > 0 { // the server runs the request when it has the last byte
		a.conn.SetWriteDeadline(a.pool.clock.ToTime(a.attempt.WriteDeadline()))
	}
	written, err := a.conn.Write(request)
	a.attempt.CheckSend(writeBegan, timeLeft)
	a.written = written == len(request)
	switch {
	case err == nil:
		return a.attempt.Started, nil
	case a.written:
		a.pool.close(a.conn, closedForUnsentRequest)
		return 0, a.resultWithError(balancer.ConnectionLost, engine.ReasonNoResponse, err)
	}
	a.pool.close(a.conn, closedForUnsentRequest)
	return 0, a.resultWithError(balancer.Unreachable, engine.ReasonLastByteNotWritten, err)
}

// receive waits for the response, then makes the connection idle or closes it.
//
// If the request's body or the response is streamed, the result's Latency is measured from latencyStart and is at least
// 1. Otherwise it is 0, and the engine measures the latency from the attempt's start.
func (a *attemptRun) receive(latencyStart time.Duration) *engine.Result {
	response := <-a.conn.responses
	switch {
	case errors.Is(response.err, os.ErrDeadlineExceeded):
		return a.resultWithError(balancer.TimedOut, engine.ReasonDeadline, errResponseTimeout) // readLoop has closed the connection
	case response.err != nil:
		return a.resultWithError(balancer.ConnectionLost, engine.ReasonNoResponse, response.err)
	}
	outcome, reason := a.outcomeOf(response)
	result := &engine.Result{Attempt: a.attempt, Outcome: outcome, Reason: reason, Reply: response}
	if a.req.remaining != nil || response.stream != nil {
		result.Latency = max(a.pool.clock.Now()-latencyStart, 1)
	}
	if response.stream != nil && !a.forwardResponseStream(response, result) {
		return a.addConnectionInfo(result)
	}
	a.addConnectionInfo(result) // before the connection is released to another attempt
	result.ClosedBy = string(a.finishConnection(response))
	return result
}

// finishConnection makes the connection idle after a response, or closes it and returns the reason.
func (a *attemptRun) finishConnection(response *upstreamResponse) closeReason {
	switch {
	case response.unsolicitedBytes:
		a.pool.closeUnsolicited(a.conn)
		return closedForUnsolicited
	case response.head.Close:
		a.pool.close(a.conn, closedForResponse)
		return closedForResponse
	}
	return a.pool.release(a.conn)
}

// outcomeOf returns the outcome of an attempt that received a response, and the reason for it. A marked rejection
// counts as a Failure if it may be the response to another request: then it does not prove that this request did not
// run.
func (a *attemptRun) outcomeOf(response *upstreamResponse) (balancer.Outcome, engine.Reason) {
	outcome := responseOutcome(response.head)
	switch {
	case outcome != balancer.Overloaded:
		return outcome, engine.ReasonResponse
	case a.conn.uses > 1 && a.conn.idleBefore < suspectReuseDelay && a.pool.isSuspect(a.conn.target):
		return balancer.Failure, engine.ReasonRejectionInDoubt
	}
	return outcome, engine.ReasonMarkedRejection
}

// forwardResponseStream lets the client's goroutine forward a streamed response, waits for its end and completes the
// result. It returns false if the response is not forwarded; the connection is then closed. Only a success is
// forwarded: of other responses only the status is needed.
func (a *attemptRun) forwardResponseStream(response *upstreamResponse, result *engine.Result) (forwarded bool) {
	stream := response.stream
	if result.Outcome != balancer.Success || !a.pool.forwardResponse(a.attempt, response) {
		a.pool.close(a.conn, closedForBrokenStream)
		close(stream.released)
		result.Reply = nil
		if result.Outcome == balancer.Success { // the client no longer waits for the response
			result.Outcome, result.Reason = balancer.Canceled, engine.ReasonResponseNotForwarded
		}
		return false
	}
	end := <-stream.result
	if end.outcome == balancer.TimedOut {
		a.reportCutOff(stream.limit)
	}
	if end.outcome != balancer.Success {
		a.pool.close(a.conn, closedForBrokenStream)
	}
	response.unsolicitedBytes = a.conn.reader.Buffered() > 0
	close(stream.released)
	result.Outcome, result.Reason, result.Err = end.outcome, engine.ReasonStreamFinished, end.err
	if end.outcome != balancer.Success {
		result.Reason = engine.ReasonStreamBroken
	}
	return true
}

// reportCutOff logs and counts a response that was cut off because its server had stopped.
func (a *attemptRun) reportCutOff(limit *responseLimit) {
	a.pool.count(metrics.ResponsesCutOff)
	now := time.Now()
	a.pool.log.Warn("response cut off: its server has stopped, or is too slow", "id", a.attempt.Call.Request.ID, "server", a.attempt.Target.ID,
		"received", limit.received, "length", limit.length, "since_last_byte", now.Sub(limit.lastByteAt),
		"after_deadline", now.Sub(limit.due)+lateAnswerAllowance)
}

// responseOutcome returns the outcome that a response's status and headers indicate. After a 503 or 504 that is not
// marked as a rejection, the request may have run.
func responseOutcome(head *http.Response) balancer.Outcome {
	unavailable := head.StatusCode == http.StatusServiceUnavailable || head.StatusCode == http.StatusGatewayTimeout
	switch {
	case head.StatusCode == http.StatusOK:
		return balancer.Success
	case unavailable && head.Header.Get(headerRejected) == headerFlagSet:
		return balancer.Overloaded
	}
	return balancer.Failure
}

// encodeRequest returns the bytes of a buffered request for a server. They include how long the node waits for the
// response.
func encodeRequest(req *clientRequest, timeout time.Duration) []byte {
	var b bytes.Buffer
	writeRequestHead(&b, req, timeout, int64(len(req.body)))
	b.Write(req.body)
	return b.Bytes()
}
