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
	// maxBudget is the longest time that a client may give a request.
	maxBudget = time.Hour

	// maxRequestIDBytes bounds request IDs: every timer and log record of a request holds its ID.
	maxRequestIDBytes = 256
)

// clientRequest is a client's request: what the engine knows of it, and what goes to a server.
type clientRequest struct {
	engine.Call
	method        string
	url           *url.URL
	host          string
	header        http.Header
	body          []byte      // all of the body, or its beginning
	remaining     *bodyReader // the rest of a body that is streamed; nil: body is all of it
	contentLength int64       // of all of the body, in bytes; -1: unknown
}

// requestError says why a request is not accepted, and with which HTTP status it is answered.
type requestError struct {
	Status int
	Reason string // the body of the response
}

func (e *requestError) Error() string { return e.Reason }

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// validate checks a request's head against the protocol, before its body is read. It returns the rule of its class.
func (h *ingressHandler) validate(r *http.Request) (classRule, *requestError) {
	if err := validateFraming(r); err != nil {
		return classRule{}, err
	}
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return classRule{}, badRequest("%s comes twice", name)
		}
	}
	switch id := r.Header.Get(headerRequestID); {
	case id == "":
		return classRule{}, badRequest("%s is missing", headerRequestID)
	case len(id) > maxRequestIDBytes:
		return classRule{}, badRequest("%s is over %d bytes", headerRequestID, maxRequestIDBytes)
	}
	rule, known := h.classes().lookup(r.Header.Get(headerClass), h.clock.Now())
	if !known {
		return classRule{}, badRequest("%s is not one of the classes", headerClass)
	}
	return rule, validateMethod(r, rule.effect)
}

// validateFraming checks that it is certain where the request ends. See package requesthead.
func validateFraming(r *http.Request) *requestError {
	if !r.ProtoAtLeast(1, 1) { // net/http ignores a Transfer-Encoding there
		return &requestError{http.StatusHTTPVersionNotSupported, "the version is HTTP/1.1"}
	}
	// With two lengths net/http believes one, and what a client wrote as the end of its body would run as a request of
	// its own.
	if c := connOf(r); c != nil && c.head.Findings().Fault != "" {
		return badRequest("%s", c.head.Findings().Fault)
	}
	if r.ContentLength > maxStreamedBody {
		return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", maxStreamedBody)}
	}
	return nil
}

// validateMethod checks that the method, the idempotency key and the body go with the effect of the request's class.
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

// readRequest validates an HTTP request and reads it, but for the part of its body that is streamed.
func (h *ingressHandler) readRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, *requestError) {
	rule, rejected := h.validate(r)
	if rejected != nil {
		return nil, rejected
	}
	budget, err := parseBudget(r.Header.Get(headerBudget))
	if err != nil {
		return nil, badRequest("%s: %v", headerBudget, err)
	}
	req := &clientRequest{method: r.Method, url: r.URL, host: r.Host}
	req.Retryable = rule.effect != balancer.NonIdempotent
	req.Tenant = r.Header.Get(headerTenant)
	req.Request.ID = r.Header.Get(headerRequestID)
	req.Request.Class = r.Header.Get(headerClass)
	req.Request.SettingsVersion = rule.settingsVersion
	req.Request.ClientRetry = r.Header.Get(headerClientRetry) == flagSet
	if key := r.Header.Get(headerKey); key != "" {
		sum := fnv.New64a() // the balancer only compares keys
		sum.Write([]byte(key))
		req.Request.Key, req.Request.HasKey = sum.Sum64(), true
	}
	if err := req.readBody(w, r, h.bufferLimit); err != nil {
		return nil, badRequest("%v", err)
	}
	if r.Method == http.MethodGet && len(req.body) > 0 { // chunked: the head did not tell
		return nil, badRequest("a GET has no body")
	}
	if req.remaining != nil {
		req.Request.StreamedBody, req.BodyTimeout = true, maxBodyDuration
	}
	req.header = forwardable(r.Header)
	req.Budget = budget
	req.Request.Deadline = h.clock.Now() + budget
	if end := h.hardDeadline(); end > 0 {
		req.Request.Deadline = min(req.Request.Deadline, end)
	}
	return req, nil
}

// readBody reads a body, or its first bufferLimit bytes if it is larger: the rest is then streamed.
func (req *clientRequest) readBody(w http.ResponseWriter, r *http.Request, bufferLimit int) error {
	req.contentLength = r.ContentLength
	if req.contentLength == 0 {
		return nil
	}
	in := newBodyReader(w, r)
	size := int64(bufferLimit)
	if req.contentLength > 0 {
		size = min(size, req.contentLength)
	}
	req.body = make([]byte, size)
	n, err := io.ReadFull(in, req.body)
	req.body = req.body[:n]
	switch {
	case req.contentLength > 0 && int64(n) == req.contentLength:
		in.Read(make([]byte, 1)) // its end
		return nil
	case req.contentLength < 0 && in.err == io.EOF:
		return nil
	case err != nil:
		return errRequestBody
	}
	req.remaining = in
	return nil
}

var (
	errBudgetSyntax = errors.New("want a number and m or u")
	errBudgetRange  = errors.New("out of range")
)

// parseBudget reads a number with its unit, m for milliseconds or u for microseconds.
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
	if err != nil || strings.Trim(number, "0123456789.") != "" { // ParseFloat also takes signs, exponents, hex, Inf
		return 0, errBudgetSyntax
	}
	if value *= float64(unit); !(value >= 1 && value <= float64(maxBudget)) {
		return 0, errBudgetRange
	}
	return time.Duration(value), nil
}

// formatBudget is what a server is told of the time that is left for a request, at least a microsecond.
func formatBudget(left time.Duration) string {
	return strconv.FormatInt(max(left.Microseconds(), 1), 10) + "u"
}
