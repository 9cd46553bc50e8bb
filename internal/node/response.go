package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// Values in place of an HTTP status, for requests whose connection is closed without a complete response.
const (
	statusClientGone = 0  // the client has gone
	statusTruncated  = -1 // the response could not be forwarded to its end
)

// clientWriteTimeout is how long a client may take for one chunk of a streamed response. One that takes nothing would
// hold a connection to a server for as long as it likes.
const clientWriteTimeout = 10 * time.Second

// statusOf returns the HTTP status of a final answer.
func statusOf(answer engine.Answer) int {
	switch answer.Verdict {
	case engine.Served:
		return http.StatusOK
	case engine.Rejected:
		return http.StatusServiceUnavailable
	case engine.Denied:
		return http.StatusForbidden
	case engine.DuplicateID:
		return http.StatusConflict
	case engine.Aborted:
		return answer.Status
	}
	return http.StatusBadGateway
}

// writeResponse writes a final answer and returns its HTTP status, or that of forwardStream. conn is the client's connection,
// or nil in tests that use none.
func (h *ingressHandler) writeResponse(w http.ResponseWriter, conn *clientConn, answer engine.Answer) int {
	status := statusOf(answer)
	response, _ := answer.Reply.(*upstreamResponse)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	if h.responsesCloseConnections() && (conn == nil || !conn.readAhead.nextRequestBegun()) {
		closeAfterResponse(w)
	}
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	var body []byte
	if response != nil {
		if contentType := response.head.Header.Get("Content-Type"); contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		if response.stream != nil {
			return streamResponse(w, response)
		}
		body = response.body
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) // a client that has gone is noticed by its request's context
	return status
}

// streamResponse writes a response that is not buffered.
func streamResponse(w http.ResponseWriter, response *upstreamResponse) (status int) {
	if response.head.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.head.ContentLength, 10))
	}
	return forwardStream(w, response)
}

// forwardStream forwards a response to its client as it comes, and returns its status. It reports the end to the attempt
// that waits for it. A response that was truncated must end its connection, so that the client can tell.
func forwardStream(w http.ResponseWriter, response *upstreamResponse) (status int) {
	clientErr, serverErr := copyResponse(w, response)
	stream := response.stream
	switch {
	case clientErr != nil: // the client has gone, or takes nothing: that says nothing of the server
		stream.finish(balancer.Canceled, clientErr)
		return statusClientGone
	case serverErr == io.EOF:
		stream.finish(balancer.Success, nil)
		return http.StatusOK
	case errors.Is(serverErr, os.ErrDeadlineExceeded):
		stream.finish(balancer.TimedOut, errResponseTimeout)
	default:
		stream.finish(balancer.ConnectionLost, serverErr)
	}
	return statusTruncated
}

// copyResponse copies a response until writing to the client fails, or reading from the server does: io.EOF is its
// regular end. Each chunk is flushed, for a client may wait for it before it goes on.
func copyResponse(w http.ResponseWriter, response *upstreamResponse) (clientErr, serverErr error) {
	control := http.NewResponseController(w)
	out := &errWriter{w: w, beforeWrite: func() { control.SetWriteDeadline(time.Now().Add(clientWriteTimeout)) }}
	buf := make([]byte, streamChunk)
	for chunk := response.body; out.err == nil && serverErr == nil; {
		out.Write(chunk)
		if err := control.Flush(); out.err == nil {
			out.err = err
		}
		if out.err != nil {
			break
		}
		var n int
		n, serverErr = response.stream.Read(buf)
		chunk = buf[:n]
		if n > 0 && serverErr != nil {
			out.Write(chunk)
		}
	}
	return out.err, serverErr
}

// errWriter remembers that writing failed: an error of a copy is then the writer's side, not the reader's.
type errWriter struct {
	w           io.Writer
	beforeWrite func() // sets the deadline of each write
	err         error
}

func (e *errWriter) Write(b []byte) (int, error) {
	e.beforeWrite()
	n, err := e.w.Write(b)
	if err != nil {
		e.err = err
	}
	return n, err
}
