package loopback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// lateResponseWait is how long a client waits for a response after its deadline, so that late responses are recorded.
const lateResponseWait = 500 * time.Millisecond

// maxBodyBytes limits how much of the body of a request or response is read.
const maxBodyBytes = 64 << 10

// nodeRequest is a request that a client or a server sends to a node.
type nodeRequest struct {
	class    int
	id       string
	client   string // number of the client's request; the same in all tiers
	tenant   string
	work     float64 // factor on the class's mean work
	deadline time.Duration
	isRetry  bool // the request is sent with the marker of a retry
}

// response is a node's response, or the reason why there is none.
type response struct {
	status            int // HTTP status; 0: no response
	retryAfter        time.Duration
	connectionRefused bool // the request was not sent
}

// rejected reports whether the node has rejected the request, so that the client may retry it.
func (r response) rejected() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// send sends a request to the node and waits for the response.
func (p *process) send(ctx context.Context, req nodeRequest) response {
	p.mu.Lock()
	name, addr, client := p.name, p.addr, p.client
	p.mu.Unlock()
	if client == nil {
		return response{connectionRefused: true}
	}
	now := p.world.now()
	left := req.deadline - now
	if left <= 0 {
		return response{status: http.StatusGatewayTimeout}
	}
	ctx, cancel := context.WithTimeout(ctx, left+lateResponseWait)
	defer cancel()
	r, err := p.newHTTPRequest(ctx, req, name, addr, left)
	if err != nil {
		return response{}
	}
	p.world.observations.requestSent(now, name, req.id, req.class, req.deadline)
	reused := false
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}))
	resp, err := client.Do(r)
	if err != nil && ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) && p.neverReachedServer(req, name, reused) {
		// A node may close an idle connection while a request is being sent on it. The request is then sent again on a
		// new connection.
		client.CloseIdleConnections()
		resp, err = client.Do(r)
	}
	switch {
	case err == nil:
		return p.readResponse(resp, name, req.id)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.world.observations.connectionRefused(p.world.now(), name, req.id)
		return response{connectionRefused: true}
	case ctx.Err() != nil: // no response in time: the request stays open, so that the checker reports it
		return response{}
	}
	p.world.observations.connectionDropped(p.world.now(), name, req.id, reused)
	return response{}
}

// newHTTPRequest returns the HTTP form of a request.
func (p *process) newHTTPRequest(ctx context.Context, req nodeRequest, name, addr string, left time.Duration) (*http.Request, error) {
	class := p.world.scenario.Classes[req.class]
	method := http.MethodPost
	if class.Effect == balancer.Idempotent {
		method = http.MethodGet
	}
	query := url.Values{"work": {strconv.FormatFloat(req.work, 'g', -1, 64)}, "root": {req.client}, "node": {name}}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Call-Id", req.id)
	r.Header.Set("X-Call-Class", class.Name)
	r.Header.Set("X-Caller", req.tenant)
	r.Header.Set("X-Budget", strconv.FormatInt(left.Microseconds(), 10)+"u")
	if req.isRetry {
		r.Header.Set("X-Again", "1")
	}
	if class.Effect == balancer.IdempotentWithKey {
		r.Header.Set("Idempotency-Key", req.id)
	}
	return r, nil
}

// neverReachedServer reports whether a request whose connection has ended can be sent again because no server has
// received it. If the servers run in other processes, this can't be observed; then only idempotent requests on reused
// connections are sent again.
func (p *process) neverReachedServer(req nodeRequest, name string, reused bool) bool {
	if p.world.worker != nil {
		return reused && p.world.scenario.Classes[req.class].Effect == balancer.Idempotent
	}
	return p.world.observations.noAttemptArrived(name, req.id)
}

// readResponse reads a response to its end and records it.
func (p *process) readResponse(resp *http.Response, name, id string) response {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	status := resp.StatusCode
	if err != nil {
		status = http.StatusBadGateway // the client can tell that the response is incomplete
	}
	p.world.observations.answerReceived(p.world.now(), name, id, status, string(body))
	result := response{status: status}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result
}

// callNextTier makes a server's call to the next tier through the node next to the server. Each call has a new ID,
// because another attempt of the same request, at another server, makes the calls again.
func (p *process) callNextTier(a *attempt) (succeeded bool) {
	resp := p.send(p.world.ctx, nodeRequest{class: a.class, id: fmt.Sprintf("c%d", p.world.lastCallID.Add(1)), client: a.client,
		work: a.workFactor, deadline: a.deadline})
	return resp.status == http.StatusOK
}
