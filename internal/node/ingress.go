package node

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

// Timeouts and limits of client connections. They protect against slow clients (slow loris), which would otherwise hold
// slots and memory indefinitely. A client that sends no valid request must be disconnected within 3 s of connecting.
const (
	// requestHeadTimeout bounds the time for reading a request's head. For the first request it runs from accepting the
	// connection. Some clients take 2 s.
	requestHeadTimeout = 2700 * time.Millisecond

	// unreadBodyTimeout is how long a client may continue to send a body that no handler reads, before its connection is
	// closed.
	unreadBodyTimeout = 1200 * time.Millisecond

	// responseWriteTimeout bounds the time for writing a buffered response, or anything that net/http itself writes, to a
	// client.
	responseWriteTimeout = 5 * time.Second

	// clientIdleTimeout is how long a client connection stays open between requests.
	clientIdleTimeout = time.Minute

	// maxRequestHead is the maximum size of a request's head in bytes.
	maxRequestHead = 16 << 10
)

// ingressHandler answers the requests of clients. net/http calls it in one goroutine per connection.
//
// Each request that was read gets exactly one final response. Its connection is closed without a complete response only if
// the client has gone, if the response can't be completed, or if this process is forced to end.
type ingressHandler struct {
	engine                    *engine.Engine
	clock                     engine.Clock
	classes                   func() *classTable
	bufferLimit               int // buffered bytes of a request's body
	faultKeys                 *faultinjection.Keys
	metrics                   *metrics.Reporter    // nil: off
	accessList                *balancer.AccessList // nil: every client is admitted
	violations                *invariants.Recorder
	ready                     func() bool
	responsesCloseConnections func() bool // every response closes its connection
	shuttingDown              func() bool
}

// ServeHTTP answers the readiness check, starts a fault injection, or serves a request.
func (h *ingressHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limitRequestEnd(w, r)
	if r.URL.Path == "/ready" {
		status := http.StatusOK
		if !h.ready() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	if client, denied := h.deniedClient(r); !denied && h.faultKeys.Requested(r) {
		h.startFaultInjection(w, r, client)
		return
	}
	if status := h.serveWithMetrics(w, r); status == statusClientGone || status == statusTruncated {
		panic(http.ErrAbortHandler) // otherwise net/http would send a 200 to a client that only closed its sending side
	}
}

// serveRequest answers a client's request and returns the HTTP status, or statusClientGone or statusTruncated.
func (h *ingressHandler) serveRequest(w http.ResponseWriter, r *http.Request, tags metrics.Tags) (status int) {
	req, notAccepted := h.readOrMarkDenied(w, r)
	if notAccepted != nil {
		closeAfterResponse(w) // the body may not have been read to its end
		http.Error(w, notAccepted.Reason, notAccepted.Status)
		return notAccepted.Status
	}
	req.Tags, req.Payload = tags, req
	conn := connOf(r)
	if conn != nil {
		if req.remaining == nil && conn.readAhead.beginRequest() {
			return statusClientGone
		}
		req.ClientGone = conn.readAhead.mayBeGone
	}
	answer, err := h.engine.Do(r.Context(), &req.Call)
	if conn != nil && conn.readAhead.endRequest() {
		closeAfterResponse(w) // bytes that followed the request were discarded
	}
	if bodyFailed := req.finishBody(w, err); bodyFailed {
		http.Error(w, errRequestBody.Error(), http.StatusBadRequest)
		return http.StatusBadRequest
	}
	if err != nil { // the client has gone, or the node ends and has closed this connection
		end := invariants.RequestEnd{ClientGone: errors.Is(err, engine.ErrClientGone)}
		h.violations.Record(end.Check(), "id", req.Request.ID, "err", err)
		h.engine.Log.Info("request ended without an answer", "id", req.Request.ID, "err", err, "connection", connEndReason(conn))
		return statusClientGone
	}
	return h.writeResponse(w, conn, answer)
}

// readOrMarkDenied reads and validates a request. The error is the 4xx or 505 answer to a request that violates the
// protocol; such a request never reaches the engine. For a client that the access list denies, only the head is read, and
// the request is passed to the engine marked as denied, because the engine logs and counts the rejection.
func (h *ingressHandler) readOrMarkDenied(w http.ResponseWriter, r *http.Request) (*clientRequest, *requestError) {
	client, denied := h.deniedClient(r)
	if denied {
		closeAfterResponse(w) // the body is not read
		return deniedRequest(r, client), nil
	}
	req, notAccepted := h.readRequest(w, r)
	if notAccepted != nil {
		return nil, notAccepted
	}
	req.Request.Client = client
	return req, nil
}

// finishBody ends the reading of a streamed body. It reports whether the request failed because its body did not arrive
// completely. answerErr is the engine's error, or nil if the engine gave an answer.
func (req *clientRequest) finishBody(w http.ResponseWriter, answerErr error) (failed bool) {
	complete, broken := true, false
	if req.remaining != nil {
		complete, broken = req.remaining.close()
		req.presence.release()
	}
	if !complete {
		closeAfterResponse(w) // a part of the body is unread
	}
	// For a stalled body, net/http may report that the client has gone before the reader reports the error.
	return broken || answerErr != nil && !complete
}

// closeAfterResponse makes net/http close the connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// limitRequestEnd ensures that a request does not keep its connection busy without a limit, whichever handler answers it.
// A client may send a body that no handler reads: net/http then reads the rest of it, and sets no deadline for that. If the
// end of the body is not tracked (requesthead.Findings.LastOnConnection), net/http must not read another head, because its
// bytes would be taken for the body of this request, and would have no deadline either.
func limitRequestEnd(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r)
	if r.ContentLength < 0 || conn != nil && conn.head.Findings().LastOnConnection() {
		closeAfterResponse(w)
	}
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeLimit(conn, unreadBodyTimeout)))
	}
}

// startFaultInjection starts the fault injection whose key is in a request's header.
func (h *ingressHandler) startFaultInjection(w http.ResponseWriter, r *http.Request, client netip.Addr) {
	if r.ContentLength != 0 || h.responsesCloseConnections() {
		closeAfterResponse(w)
	}
	name, err := h.faultKeys.Match(r.Header)
	switch {
	case errors.Is(err, faultinjection.ErrNotConfigured):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	case h.shuttingDown():
		http.Error(w, "the node is about to stop", http.StatusServiceUnavailable)
		return
	}
	if h.engine.StartFaultInjection(engine.FaultInjectionStart{Name: name, Client: client}) == nil {
		fmt.Fprintf(w, "drill=%s started\n", name)
	}
}
