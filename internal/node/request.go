package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

const (
	// maxBudget is the longest time that a client may allow for a request.
	maxBudget = time.Hour

	// maxRequestIDBytes is the maximum length of a request ID. Every timer and log record of a request contains the ID.
	maxRequestIDBytes = 256
)

// clientRequest is a client's request: the engine's Call, and the HTTP request that is sent to a server.
type clientRequest struct {
	engine.Call
	method        string
	url           *url.URL
	host          string
	header        http.Header
	body          []byte          // the complete body, or its first part
	remaining     *bodyReader     // the rest of a streamed body; nil: body is complete
	contentLength int64           // of the complete body, in bytes; -1: unknown
	presence      *clientPresence // of the client of a streamed request; nil: unknown, or the request is not streamed
}

// requestError is the reason why a request is not accepted, with the HTTP status of the answer.
type requestError struct {
	Status int
	Reason string // the body of the response
}

func (e *requestError) Error() string { return e.Reason }

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// validate checks a request's head against the protocol, before its body is read. It returns the settings under which the request is
// accepted.
func (h *ingressHandler) validate(r *http.Request) (*balancer.AcceptedSettings, *requestError) {
	if err := validateFraming(r); err != nil {
		return nil, err
	}
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return nil, badRequest("%s comes twice", name)
		}
	}
	switch id := r.Header.Get(headerRequestID); {
	case id == "":
		return nil, badRequest("%s is missing", headerRequestID)
	case len(id) > maxRequestIDBytes:
		return nil, badRequest("%s is over %d bytes", headerRequestID, maxRequestIDBytes)
	}
	accepted := h.classes().lookup(r.Header.Get(headerClass), h.clock.Now())
	if accepted == nil {
		return nil, badRequest("%s is not one of the classes", headerClass)
	}
	return accepted, validateMethod(r, accepted.Class.Effect)
}

// validateFraming checks that the end of the request is unambiguous. See package requesthead.
func validateFraming(r *http.Request) *requestError {
	if !r.ProtoAtLeast(1, 1) { // net/http ignores Transfer-Encoding in these versions
		return &requestError{http.StatusHTTPVersionNotSupported, "the version is HTTP/1.1"}
	}
	// If a request has two lengths, net/http uses one of them. Bytes that the client sent as the end of its body could then
	// be read and run as a separate request.
	if c := connOf(r); c != nil && c.head.Findings().Fault != "" {
		return badRequest("%s", c.head.Findings().Fault)
	}
	if r.ContentLength > maxStreamedBody {
		return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", maxStreamedBody)}
	}
	return nil
}

// validateMethod checks that the method, the idempotency key and the body match the effect of the request's class.
func validateMethod(r *http.Request, effect balancer.Effect) *requestError {
	want := http.MethodPost
	if effect == balancer.Idempotent {
		want = http.MethodGet
	}
	hasKey := r.Header.Get(headerIdempotencyKey) != ""
	switch {
	case r.Method != want:
		return &requestError{http.StatusMethodNotAllowed, "the method of the class is " + want}
	case hasKey != (effect == balancer.IdempotentWithKey):
		return badRequest("%s does not go with the class", headerIdempotencyKey)
	case want == http.MethodGet && r.ContentLength > 0:
		return badRequest("a GET has no body")
	}
	return nil
}

// readRequest validates and reads an HTTP request, except the part of its body that is streamed.
func (h *ingressHandler) readRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, *requestError) {
	accepted, rejected := h.validate(r)
	if rejected != nil {
		return nil, rejected
	}
	budget, err := parseBudget(r.Header.Get(headerBudget))
	if err != nil {
		return nil, badRequest("%s: %v", headerBudget, err)
	}
	req := &clientRequest{method: r.Method, url: r.URL, host: r.Host}
	req.Retryable = accepted.Class.Effect != balancer.NonIdempotent
	req.Tenant = r.Header.Get(headerTenant)
	req.Request.ID = r.Header.Get(headerRequestID)
	req.Request.Class = r.Header.Get(headerClass)
	req.Request.Accepted = accepted
	req.Request.ClientRetry = r.Header.Get(headerClientRetry) == headerFlagSet
	if key := r.Header.Get(headerOrderingKey); key != "" {
		sum := fnv.New64a() // the balancer only compares keys
		sum.Write([]byte(key))
		req.Request.Key, req.Request.HasKey = sum.Sum64(), true
	}
	if err := req.readBody(w, r, h.bufferLimit); err != nil {
		return nil, badRequest("%v", err)
	}
	if r.Method == http.MethodGet && len(req.body) > 0 { // chunked: the head does not contain the length
		return nil, badRequest("a GET has no body")
	}
	if req.remaining != nil {
		req.Request.StreamedBody, req.BodyTimeout = true, maxBodyDuration
	}
	req.header = r.Header
	req.Budget = budget
	req.Request.Deadline = h.clock.Now() + budget
	return req, nil
}

// readBody reads the body, or its first bufferLimit bytes if it is larger. The rest is streamed later.
func (req *clientRequest) readBody(w http.ResponseWriter, r *http.Request, bufferLimit int) error {
	req.contentLength = r.ContentLength
	if req.contentLength == 0 {
		return nil
	}
	reader := newBodyReader(w, r)
	size := int64(bufferLimit)
	if req.contentLength > 0 {
		size = min(size, req.contentLength)
	}
	n, err := req.readBuffered(reader, int(size))
	switch {
	case req.contentLength > 0 && int64(n) == req.contentLength:
		reader.Read(make([]byte, 1)) // reads io.EOF
		return nil
	case req.contentLength < 0 && reader.err == io.EOF:
		return nil
	case err != nil:
		return errRequestBody
	}
	req.remaining = reader
	req.presence = newClientPresence(connOf(r), reader)
	return nil
}

// readBuffered reads up to size bytes of the body. The buffer grows with what arrives, since a client may announce much and send
// nothing.
func (req *clientRequest) readBuffered(reader io.Reader, size int) (n int, err error) {
	req.body = make([]byte, min(size, minBuffered))
	for {
		read, err := io.ReadFull(reader, req.body[n:])
		n += read
		if err != nil || n == size {
			req.body = req.body[:n]
			return n, err
		}
		grown := make([]byte, min(size, 2*len(req.body)))
		copy(grown, req.body)
		req.body = grown
	}
}

var (
	errBudgetSyntax = errors.New("want a number and m or u")
	errBudgetRange  = errors.New("out of range")
)

// parseBudget parses a number with a unit: m for milliseconds or u for microseconds.
func parseBudget(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, errBudgetSyntax
		}
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, "0123456789.") != "" { // ParseFloat also accepts signs, exponents, hex and Inf
		return 0, errBudgetSyntax
	}
	if value *= float64(unit); !(value >= 1 && value <= float64(maxBudget)) {
		return 0, errBudgetRange
	}
	return time.Duration(value), nil
}

// formatBudget returns the budget header that a server gets for the time left, which is at least one microsecond.
func formatBudget(left time.Duration) string {
	return strconv.FormatInt(max(left.Microseconds(), 1), 10) + "u"
}
