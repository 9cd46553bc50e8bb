package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// earlyResponseWait is how long a server that stopped reading a request is given for its response to come. One that
// rejected the request early has sent it by then.
const earlyResponseWait = 50 * time.Millisecond

// Why an attempt has no response, for the log. The outcome beside them says what may have run.
var (
	errClosedBeforeRequest = errors.New("the server closed the connection before the request was sent, or sent bytes nobody asked for")
	errResponseTimeout     = errors.New("no response before the deadline")
)

// noAnnouncedTimeout is given to engine.Attempt.Sent in place of the announced timeout: that of a streamed request does not
// run from the first byte that was written.
const noAnnouncedTimeout = 0

// attemptRun is one attempt under way, in the goroutine that Start made for it.
//
// Its outcome decides whether the request may be sent again. So it must never say that a request did not run which may have
// run: from the last byte on that is so, whatever comes after.
//
//	NotSent          no complete request was written, for reasons of the node or of the client
//	Unreachable      the request was not completely written: it can't have run
//	Overloaded       the server says that it did not run the request
//	ConnectionLost   completely written, and no complete response came
//	TimedOut         the same, at the deadline
//	Failure          any response that is neither a 200 nor a marked rejection: it may have run
//	Canceled         the response could not be passed to the client
type attemptRun struct {
	pool    *connPool
	attempt *engine.Attempt
	req     *clientRequest
	conn    *upstreamConn // nil: none yet
	written bool          // the request's last byte was written to it
}

// runAttempt sends an attempt's request, once, and waits for what comes back.
func (p *connPool) runAttempt(att *engine.Attempt) engine.Result {
	run := &attemptRun{pool: p, attempt: att, req: att.Call.Payload.(*clientRequest)}
	return *run.run()
}

func (a *attemptRun) run() *engine.Result {
	if a.req.remaining != nil && (a.req.remaining.remainderUsed.Load() || a.req.remaining.unsendable()) {
		return a.resultOf(balancer.NotSent, engine.GroundBodyUsed)
	}
	if !a.attempt.MaySend(a.pool.clock.Now()) {
		return a.resultOf(balancer.NotSent, engine.GroundOver)
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

// resultOf is the result of an attempt that resultOf without an error worth logging.
func (a *attemptRun) resultOf(outcome balancer.Outcome, ground engine.Ground) *engine.Result {
	return a.addConnectionInfo(&engine.Result{Attempt: a.attempt, Outcome: outcome, Ground: ground})
}

// resultWithError is the result of an attempt without a response.
func (a *attemptRun) resultWithError(outcome balancer.Outcome, ground engine.Ground, err error) *engine.Result {
	return a.addConnectionInfo(&engine.Result{Attempt: a.attempt, Outcome: outcome, Ground: ground, Err: err})
}

// addConnectionInfo adds what is logged of the attempt's connection to a result.
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

// connect acquires a connection that can be written to. A reused one that proves broken is replaced; a new one that does
// is the server's fault. It returns the attempt's result if there is none.
func (a *attemptRun) connect() (failure *engine.Result) {
	for {
		c, fresh, err := a.pool.acquireOrDial(a.attempt)
		if errors.Is(err, errNoDescriptor) {
			return a.resultOf(balancer.NotSent, engine.GroundNoDescriptor)
		}
		if a.conn = c; err != nil {
			return a.resultWithError(balancer.Unreachable, engine.GroundNoConnection, err)
		}
		// Connecting takes time: the request may be over by now, or the server may have begun to drain.
		if !a.attempt.MaySend(a.pool.clock.Now()) {
			a.conn = nil
			a.pool.release(c)
			return a.resultOf(balancer.NotSent, engine.GroundOver)
		}
		if a.pool.beginRequest(c) {
			return nil
		}
		if fresh {
			return a.resultWithError(balancer.Unreachable, engine.GroundNoConnection, errClosedBeforeRequest)
		}
	}
}

// send writes the request. It returns the clock time from which the server's time counts, or the attempt's result if the
// last byte was not written.
func (a *attemptRun) send() (latencyStart time.Duration, failure *engine.Result) {
	if a.req.remaining != nil {
		return a.sendStreamed()
	}
	writeBegan := a.pool.clock.Now()
	left := a.attempt.Deadline - writeBegan
	request := encodeRequest(a.req, left)
	written, err := a.conn.Write(request)
	a.attempt.Sent(writeBegan, left)
	a.written = written == len(request)
	switch {
	case err == nil:
		return a.attempt.Started, nil
	case a.written:
		a.pool.close(a.conn, closedForRequest)
		return 0, a.resultWithError(balancer.ConnectionLost, engine.GroundEnded, err)
	}
	a.pool.close(a.conn, closedForRequest)
	return 0, a.resultWithError(balancer.Unreachable, engine.GroundNotWritten, err)
}

// sendStreamed writes a request whose body is streamed. The server's time counts from the last byte.
func (a *attemptRun) sendStreamed() (latencyStart time.Duration, failure *engine.Result) {
	err := a.writeStreamed()
	if err == nil {
		a.written = true
		return a.pool.clock.Now(), nil
	}
	outcome := a.conn.incompleteSendOutcome()
	a.pool.close(a.conn, closedForRequest)
	if a.req.remaining.unsendable() {
		return 0, a.resultOf(balancer.NotSent, engine.GroundBodyUsed) // the client's fault: it says nothing of the server
	}
	return 0, a.resultWithError(outcome, engine.GroundNotWritten, err)
}

func (a *attemptRun) writeStreamed() error {
	began := a.pool.clock.Now()
	defer a.attempt.Sent(began, noAnnouncedTimeout)
	out := upstreamRequest(a.req, a.attempt.Timeout)
	out.ContentLength = a.req.contentLength
	out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.req.body), remainingBody{a.req.remaining}))
	w := &errWriter{w: a.conn, beforeWrite: func() { a.conn.SetWriteDeadline(time.Now().Add(stallTimeout)) }}
	if err := out.Write(w); err != nil {
		return err
	}
	if a.req.remaining.unsendable() { // what came of it would pass as the whole body
		return errRequestBody
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.conn.deadline = time.Now().Add(a.attempt.Timeout)
	a.conn.sentAt = a.pool.clock.Now()
	return a.conn.SetDeadline(a.conn.deadline)
}

// incompleteSendOutcome is the outcome of an attempt whose last byte was not written: the server may have rejected it
// before it read all.
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

// receive waits for the response and makes the connection idle, or closes it. Where the request's
// body or the response is streamed, Latency counts from began and is at least 1. Else it is 0: the engine counts from the
// attempt's start.
func (a *attemptRun) receive(latencyStart time.Duration) *engine.Result {
	response := <-a.conn.responses
	switch {
	case errors.Is(response.err, os.ErrDeadlineExceeded):
		return a.resultWithError(balancer.TimedOut, engine.GroundDeadline, errResponseTimeout) // readLoop has closed the connection
	case response.err != nil:
		return a.resultWithError(balancer.ConnectionLost, engine.GroundEnded, response.err)
	}
	outcome, ground := a.outcomeOf(response)
	result := &engine.Result{Attempt: a.attempt, Outcome: outcome, Ground: ground, Reply: response}
	if a.req.remaining != nil || response.stream != nil {
		result.Latency = max(a.pool.clock.Now()-latencyStart, 1)
	}
	if response.stream != nil && !a.forwardResponseStream(response, result) {
		return a.addConnectionInfo(result)
	}
	a.addConnectionInfo(result) // before another attempt has the connection
	result.ClosedBy = string(a.finishConnection(response))
	return result
}

// finishConnection makes the connection idle behind a response, or closes it and returns why.
func (a *attemptRun) finishConnection(response *upstreamResponse) closeReason {
	switch {
	case response.unsolicitedBytes:
		a.pool.closeUnsolicited(a.conn)
		return closedForUnasked
	case response.head.Close:
		a.pool.close(a.conn, closedForResponse)
		return closedForResponse
	}
	return a.pool.release(a.conn)
}

// outcomeOf is the outcome of an attempt that a response has ended. A rejection on a connection that may have another
// request's response on it does not say that this one did not run.
func (a *attemptRun) outcomeOf(response *upstreamResponse) (balancer.Outcome, engine.Ground) {
	outcome := responseOutcome(response.head)
	switch {
	case outcome != balancer.Overloaded:
		return outcome, engine.GroundResponse
	case a.conn.uses > 1 && a.conn.idleBefore < suspectReuseDelay && a.pool.isSuspect(a.conn.target):
		return balancer.Failure, engine.GroundDoubt
	}
	return outcome, engine.GroundRejection
}

// forwardResponseStream has a streamed response passed to its client and waits for the end. It returns false if the response was not
// passed: the connection is closed then. Only a success is passed on; of other responses the status is enough.
func (a *attemptRun) forwardResponseStream(response *upstreamResponse, result *engine.Result) (forwarded bool) {
	stream := response.stream
	if result.Outcome != balancer.Success || !a.pool.forwardResponse(a.attempt, response) {
		a.pool.close(a.conn, closedForStream)
		close(stream.released)
		result.Reply = nil
		if result.Outcome == balancer.Success { // nobody waits for it
			result.Outcome, result.Ground = balancer.Canceled, engine.GroundNotPassedOn
		}
		return false
	}
	end := <-stream.result
	if end.outcome != balancer.Success {
		a.pool.close(a.conn, closedForStream)
	}
	response.unsolicitedBytes = a.conn.reader.Buffered() > 0
	close(stream.released)
	result.Outcome, result.Ground, result.Err = end.outcome, engine.GroundStreamFinished, end.err
	if end.outcome != balancer.Success {
		result.Ground = engine.GroundStreamBroken
	}
	return true
}

// responseOutcome returns the outcome that a response means. A 503 or 504 without the mark of a rejection may come from a
// request that ran.
func responseOutcome(head *http.Response) balancer.Outcome {
	unavailable := head.StatusCode == http.StatusServiceUnavailable || head.StatusCode == http.StatusGatewayTimeout
	switch {
	case head.StatusCode == http.StatusOK:
		return balancer.Success
	case unavailable && head.Header.Get(headerRejected) == flagSet:
		return balancer.Overloaded
	}
	return balancer.Failure
}

// encodeRequest is a buffered request as it goes to a server, which is told how long the node waits for it.
func encodeRequest(req *clientRequest, timeout time.Duration) []byte {
	out := upstreamRequest(req, timeout)
	if out.ContentLength = int64(len(req.body)); len(req.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.body))
	}
	var b bytes.Buffer
	out.Write(&b) // neither the buffer nor the body can fail
	return b.Bytes()
}

// upstreamRequest is a request as it came, but for its body and its budget.
func upstreamRequest(req *clientRequest, timeout time.Duration) *http.Request {
	header := req.header.Clone()
	header.Set(headerBudget, formatBudget(timeout))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // else Request.Write adds its own
	}
	return &http.Request{Method: req.method, URL: req.url, Host: req.host, Header: header}
}
