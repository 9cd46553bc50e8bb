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

// Deadlines of client connections. A client that sends nothing sound is owed a close within 3 s of connecting; they
// guard against slow clients (slow loris), which would hold slots and memory for as long as they like.
const (
	// requestHeadTimeout bounds a request's head, counted from accepting the connection if it is the first one. Some
	// clients take 2 s.
	requestHeadTimeout = 2700 * time.Millisecond

	// unreadBodyTimeout is how long a client may still send a body that is not read, before its connection is closed.
	unreadBodyTimeout = 1200 * time.Millisecond

	// responseWriteTimeout bounds the writing of a response that is buffered: one that a client does not take fails.
	responseWriteTimeout = 5 * time.Second

	// clientIdleTimeout is how long a client's connection stays open between requests.
	clientIdleTimeout = time.Minute

	// maxRequestHead bounds a request's head, in bytes.
	maxRequestHead = 16 << 10
)

// ingressHandler answers the requests of clients. net/http runs it in one goroutine a connection.
//
// What a client is owed: one final response for each request that was read, or the end of its connection when it has
// gone, when the response can't be completed, or when this process is forced to end.
type ingressHandler struct {
	engine          *engine.Engine
	clock           engine.Clock
	classes         func() *classTable
	bufferLimit     int // of a request's body, in bytes
	faultKeys       *faultinjection.Keys
	metrics         *metrics.Reporter    // nil: off
	accessList      *balancer.AccessList // nil: every client is admitted
	guard           *invariants.Recorder
	ready           func() bool
	endsConnections func() bool          // every response ends its connection
	hardDeadline    func() time.Duration // the clock time by which every request is answered; 0: the node is not shutting down
}

// ServeHTTP answers the readiness check, starts a fault injection, or serves a request.
func (h *ingressHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if status := h.serveMeasured(w, r); status == statusClientGone || status == statusTruncated {
		panic(http.ErrAbortHandler) // else net/http would answer 200 to a client that only closed its sending side
	}
}

// serveRequest answers a client's request and returns the HTTP status, or statusClientGone or statusTruncated.
func (h *ingressHandler) serveRequest(w http.ResponseWriter, r *http.Request, tags metrics.Tags) (status int) {
	req, notAccepted := h.readOrMarkDenied(w, r)
	if notAccepted != nil {
		endConnection(w) // the body may not have been read to its end
		http.Error(w, notAccepted.Reason, notAccepted.Status)
		return notAccepted.Status
	}
	req.Tags, req.Payload = tags, req
	conn := connOf(r)
	if conn != nil {
		if req.remaining == nil && conn.readAhead.beginRequest() {
			return statusClientGone
		}
		req.ClientGone = conn.readAhead.clientClosed
	}
	answer, err := h.engine.Do(r.Context(), &req.Call)
	if conn != nil && conn.readAhead.endRequest() {
		endConnection(w) // bytes behind the request were dropped
	}
	if bodyFailed := req.finishBody(w, err); bodyFailed {
		http.Error(w, errRequestBody.Error(), http.StatusBadRequest)
		return http.StatusBadRequest
	}
	if err != nil { // the client has gone, or the node ends and this connection was closed
		closed := invariants.RequestEnd{ClientGone: errors.Is(err, engine.ErrClientGone)}
		h.guard.Record(closed.Check(), "id", req.Request.ID, "err", err)
		return statusClientGone
	}
	return h.writeResponse(w, conn, answer)
}

// readOrMarkDenied reads and validates a request. notAccepted is the answer to one that breaks the protocol: a 4xx or 505
// that the engine never sees. Of a client that the access list denies only the head is read. Its request is accepted here
// and goes to the engine marked as denied: the rejection is the engine's, which logs and counts it.
func (h *ingressHandler) readOrMarkDenied(w http.ResponseWriter, r *http.Request) (*clientRequest, *requestError) {
	client, denied := h.deniedClient(r)
	if denied {
		closeWithoutReading(w)
		return deniedRequest(r, client), nil
	}
	req, notAccepted := h.readRequest(w, r)
	if notAccepted != nil {
		return nil, notAccepted
	}
	req.Request.Client = client
	return req, nil
}

// finishBody ends the reading of a streamed body and reports whether the body is to blame that the request has no
// answer. answerErr is what the engine gave in place of one.
func (req *clientRequest) finishBody(w http.ResponseWriter, answerErr error) (failed bool) {
	complete, broken := true, false
	if req.remaining != nil {
		complete, broken = req.remaining.close()
	}
	if req.contentLength < 0 || !complete {
		endConnection(w) // where the body ends is not known here, or there is more of it
	}
	// net/http reports a body that stalls as a client that has gone, at times before the reader does.
	return broken || answerErr != nil && !complete
}

// endConnection has net/http close the connection after the response.
func endConnection(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// closeWithoutReading ends the connection with the response: the body is not read, and what still comes of it is waited
// for no longer than unreadBodyTimeout.
func closeWithoutReading(w http.ResponseWriter) {
	endConnection(w)
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// startFaultInjection starts the fault injection whose key a request has.
func (h *ingressHandler) startFaultInjection(w http.ResponseWriter, r *http.Request, client netip.Addr) {
	if r.ContentLength != 0 || h.endsConnections() {
		closeWithoutReading(w)
	}
	name, err := h.faultKeys.Match(r.Header)
	switch {
	case errors.Is(err, faultinjection.ErrNotConfigured):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	case h.hardDeadline() > 0:
		http.Error(w, "the node is about to stop", http.StatusServiceUnavailable)
		return
	}
	if h.engine.StartFaultInjection(engine.FaultInjectionStart{Name: name, Client: client}) == nil {
		fmt.Fprintf(w, "drill=%s started\n", name)
	}
}
