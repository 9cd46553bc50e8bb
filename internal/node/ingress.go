package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/metrics"
	"hookwalk.example/hookwalk/invariants"
)

const (
	// A caller that sends nothing sound is owed a close within 3 s of connecting.
	headTime  = 2700 * time.Millisecond // for a header, counted from connecting if it is the first: some take 2 s
	bodyTime  = 1200 * time.Millisecond // for a body that is not read, to be over
	writeTime = 5 * time.Second         // for an answer
	idleTime  = time.Minute             // for a caller's connection between requests
	maxBudget = time.Hour
	maxID     = 256 // bytes: every timer and record of a request has its id
)

// call is a caller's request with what goes to a server of it.
type call struct {
	engine.Call
	method string
	url    *url.URL
	host   string
	header http.Header
	body   []byte      // whole, or its beginning
	rest   *bodyReader // of one that is not held
	length int64       // of all of it; -1: not known
}

// callers answers what callers ask.
type callers struct {
	engine  *engine.Engine
	clock   engine.Clock
	rules   func() *rules
	held    int // of a body
	drills  *faultinjection.Keys
	figures *metrics.Reporter    // nil: off
	lists   *balancer.AccessList // nil: everybody is let in
	guard   *invariants.Guard
	ready   func() bool
	closing func() bool          // every answer ends its connection
	cutoff  func() time.Duration // the clock time by which the node answers all, once it is told to stop; else 0
}

func (h *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		status := http.StatusOK
		if !h.ready() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	if client, out := h.stranger(r); !out && h.drills.Requested(r) {
		h.startDrill(w, r, client)
		return
	}
	if status := h.measured(w, r); status == gaveUp || status == cutShort {
		panic(http.ErrAbortHandler) // else net/http would answer 200 to a client that only ended its sending side
	}
}

// serve answers a caller's request and returns the status, gaveUp if the client left.
func (h *callers) serve(w http.ResponseWriter, r *http.Request, tags metrics.Tags) (status int) {
	var c *call
	client, out := h.stranger(r)
	if out {
		h.leaveUnread(w)
		c = visit(r, client)
	} else {
		var err error
		if c, status, err = h.read(w, r); err != nil {
			w.Header().Set("Connection", "close") // the body may not have been read to its end
			http.Error(w, err.Error(), status)
			return status
		}
		c.Request.Client = client
	}
	c.Tags, c.Payload = tags, c
	conn := connOf(r)
	if conn != nil {
		if c.rest == nil && conn.ahead.begin() {
			return gaveUp
		}
		c.ClientGone = conn.ahead.closed
	}
	a, err := h.engine.Do(r.Context(), &c.Call)
	if conn != nil && conn.ahead.end() {
		w.Header().Set("Connection", "close") // more came behind the request than is kept
	}
	whole, lost := true, false
	if c.rest != nil {
		whole, lost = c.rest.close()
	}
	if c.length < 0 || !whole {
		w.Header().Set("Connection", "close") // where the body ends is not known here, or there is more of it
	}
	if lost || err != nil && !whole { // net/http reports a body that stalls as a client that left, at times before the reader
		http.Error(w, errBody.Error(), http.StatusBadRequest)
		return http.StatusBadRequest
	}
	if err != nil { // it left, or the node ends and this connection was cut
		h.guard.Note(invariants.Close{ClientGone: errors.Is(err, engine.ErrClientGone)}.Check(), "id", c.Request.ID, "err", err)
		return gaveUp
	}
	return h.write(w, a)
}

// statusOf gives the status of a final answer.
func statusOf(a engine.Answer) int {
	switch a.Verdict {
	case engine.Served:
		return http.StatusOK
	case engine.Rejected:
		return http.StatusServiceUnavailable
	case engine.Denied:
		return http.StatusForbidden
	case engine.DuplicateID:
		return http.StatusConflict
	case engine.Aborted:
		return a.Status
	}
	return http.StatusBadGateway
}

// leaveUnread ends a connection with the answer: a body is not read, and what comes of it is not waited for.
func (h *callers) leaveUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
}

// startDrill starts the drill whose key a request has.
func (h *callers) startDrill(w http.ResponseWriter, r *http.Request, client netip.Addr) {
	if r.ContentLength != 0 || h.closing() {
		h.leaveUnread(w)
	}
	name, err := h.drills.Match(r.Header)
	switch {
	case errors.Is(err, faultinjection.ErrNotConfigured):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	case h.cutoff() > 0:
		http.Error(w, "the node is about to stop", http.StatusServiceUnavailable)
		return
	}
	if h.engine.StartFaultInjection(engine.FaultInjectionStart{Name: name, Client: client}) == nil {
		fmt.Fprintf(w, "drill=%s started\n", name)
	}
}

// single are the headers that say what a request is: of one that comes twice, the node and a server could
// each believe another.
var single = []string{"X-Call-Id", "X-Call-Class", "X-Budget", "X-Route-Hash", "X-Caller", "X-Again",
	"Idempotency-Key", "Content-Length"}

// check says why a request is not one of the protocol, before its body is read.
func (h *callers) check(r *http.Request) (effect balancer.Effect, generation, status int, err error) {
	bad := func(text string) (balancer.Effect, int, int, error) {
		return effect, 0, http.StatusBadRequest, errors.New(text)
	}
	if !r.ProtoAtLeast(1, 1) { // net/http overlooks a Transfer-Encoding there
		return effect, 0, http.StatusHTTPVersionNotSupported, errors.New("the version is HTTP/1.1")
	}
	// WithOverride two lengths net/http believes one, and what a caller wrote as the end of its body would run as a request
	// of its own.
	if c := connOf(r); c != nil && c.heads.seen.fault != "" {
		return bad(c.heads.seen.fault)
	}
	if r.ContentLength > maxBulk {
		return effect, 0, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxBulk)
	}
	for _, name := range single {
		if len(r.Header[name]) > 1 {
			return bad(name + " comes twice")
		}
	}
	switch id := r.Header.Get("X-Call-Id"); {
	case id == "":
		return bad("X-Call-Id is missing")
	case len(id) > maxID:
		return bad("X-Call-Id is over " + strconv.Itoa(maxID) + " bytes")
	}
	effect, generation, known := h.rules().of(r.Header.Get("X-Call-Class"), h.clock.Now())
	if !known {
		return bad("X-Call-Class is not one of the classes")
	}
	want := http.MethodPost
	if effect == balancer.Idempotent {
		want = http.MethodGet
	}
	switch key := r.Header.Get("Idempotency-Key") != ""; {
	case r.Method != want:
		return effect, 0, http.StatusMethodNotAllowed, errors.New("the method of the class is " + want)
	case key != (effect == balancer.IdempotentWithKey):
		return bad("Idempotency-Key does not go with the class")
	case want == http.MethodGet && r.ContentLength > 0:
		return bad("a GET has no body")
	}
	return effect, generation, 0, nil
}

// read turns an HTTP request into a call, or says with which status to turn it down.
func (h *callers) read(w http.ResponseWriter, r *http.Request) (*call, int, error) {
	bad := func(format string, args ...any) (*call, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	effect, generation, status, err := h.check(r)
	if err != nil {
		return nil, status, err
	}
	c := &call{method: r.Method, url: r.URL, host: r.Host}
	c.Retryable = effect != balancer.NonIdempotent
	c.Tenant = r.Header.Get("X-Caller")
	c.Request.ID = r.Header.Get("X-Call-Id")
	c.Request.Class = r.Header.Get("X-Call-Class")
	c.Request.SettingsVersion = generation
	c.Request.ClientRetry = r.Header.Get("X-Again") == "1"
	budget, err := parseBudget(r.Header.Get("X-Budget"))
	if err != nil {
		return bad("X-Budget: %v", err)
	}
	if key := r.Header.Get("X-Route-Hash"); key != "" {
		sum := fnv.New64a() // the module only compares keys
		sum.Write([]byte(key))
		c.Request.Key, c.Request.HasKey = sum.Sum64(), true
	}
	if err := c.readBody(w, r, h.held); err != nil {
		return bad("%v", err)
	}
	if r.Method == http.MethodGet && len(c.body) > 0 { // chunked
		return bad("a GET has no body")
	}
	if c.rest != nil {
		c.Request.StreamedBody, c.BodyTimeout = true, longest
	}
	c.header = forwardable(r.Header)
	c.Budget = budget
	c.Request.Deadline = h.clock.Now() + budget
	if end := h.cutoff(); end > 0 {
		c.Request.Deadline = min(c.Request.Deadline, end)
	}
	return c, 0, nil
}

// parseBudget reads a number with its unit, m for milliseconds or u for microseconds.
func parseBudget(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, errors.New("want a number and m or u")
		}
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, "0123456789.") != "" { // ParseFloat also takes signs, exponents, hex, Inf
		return 0, errors.New("want a number and m or u")
	}
	if v *= float64(unit); !(v >= 1 && v <= float64(maxBudget)) {
		return 0, errors.New("out of range")
	}
	return time.Duration(v), nil
}

// hopByHop are the headers that concern one connection, that the node sets anew, or that are for it alone.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "X-Budget", faultinjection.Header}

func forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// readBody reads a body, or its beginning if it is too large to be held.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, held int) error {
	c.length = r.ContentLength
	if c.length == 0 {
		return nil
	}
	in := newBodyReader(w, r)
	size := int64(held)
	if c.length > 0 {
		size = min(size, c.length)
	}
	c.body = make([]byte, size)
	n, err := io.ReadFull(in, c.body)
	c.body = c.body[:n]
	switch {
	case c.length > 0 && int64(n) == c.length:
		in.Read(make([]byte, 1)) // its end
		return nil
	case c.length < 0 && in.err == io.EOF:
		return nil
	case err != nil:
		return errBody
	}
	c.rest = in
	return nil
}

// write writes a final answer and returns its status.
func (h *callers) write(w http.ResponseWriter, a engine.Answer) int {
	status := statusOf(a)
	got, _ := a.Reply.(*reply)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	if h.closing() {
		w.Header().Set("Connection", "close")
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	var body []byte
	if got != nil {
		body = got.body
		if got.rest != nil {
			return h.passOn(w, got)
		}
		if kind := got.resp.Header.Get("Content-Type"); kind != "" {
			w.Header().Set("Content-Type", kind)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) // a caller that left is noticed by its request's context
	return status
}

// passOn writes an answer that is not held.
func (h *callers) passOn(w http.ResponseWriter, got *reply) int {
	if kind := got.resp.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	if got.resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(got.resp.ContentLength, 10))
	}
	return pass(w, got)
}
