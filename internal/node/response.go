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

// Values used instead of an HTTP status for requests whose connection is closed without a complete response.
const (
	statusClientGone = 0  // the client is gone
	statusTruncated  = -1 // the server's response broke off or timed out
)

// clientWriteTimeout is how long a client may take to receive one chunk of a streamed response, where the system does not tell what
// the client takes (writeLimit).
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

// writeResponse writes a final answer. It returns the answer's HTTP status, or for a streamed response the status that
// forwardStream returns. conn is the client's connection; nil in tests without one.
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
			if conn != nil {
				conn.beginStream()
				defer conn.endStream()
			}
			return streamResponse(w, response)
		}
		body = response.body
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) // an error is ignored: the request's context reports a client that is gone
	return status
}

// streamResponse writes a streamed response to its client and returns the status that forwardStream returns.
func streamResponse(w http.ResponseWriter, response *upstreamResponse) (status int) {
	if response.head.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.head.ContentLength, 10))
	}
	return forwardStream(w, response)
}

// forwardStream forwards a streamed response to its client as it arrives, and reports the end to the waiting attempt.
// It returns the response's status, statusClientGone or statusTruncated. After statusTruncated the caller must close
// the client's connection, so that the client detects the truncation.
func forwardStream(w http.ResponseWriter, response *upstreamResponse) (status int) {
	clientErr, serverErr := copyResponse(w, response)
	stream := response.stream
	switch {
	case clientErr != nil: // the client is gone or does not read: not the server's fault
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

// copyResponse copies a response until writing to the client or reading from the server fails. A serverErr of io.EOF is
// the regular end. Each chunk is flushed, because a client may wait for it before it continues.
func copyResponse(w http.ResponseWriter, response *upstreamResponse) (clientErr, serverErr error) {
	control := http.NewResponseController(w)
	out := &errWriter{w: w, beforeWrite: func() { control.SetWriteDeadline(time.Now().Add(clientWriteTimeout)) }}
	buf := make([]byte, response.stream.chunkSize())
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

// errWriter keeps the last error of its writer, so that a failed copy can be attributed to the writer or the reader.
type errWriter struct {
	w           io.Writer
	beforeWrite func() // called before each write; sets its deadline
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
