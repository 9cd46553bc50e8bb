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

// clientListenTime is how long a client of the lab listens past its deadline: a late answer must be seen.
const clientListenTime = 500 * time.Millisecond

// maxBody is how much of a request's or an answer's body is read, in bytes.
const maxBody = 64 << 10

// nodeRequest is a request to a node, of a client or of a server.
type nodeRequest struct {
	class    int
	id       string
	client   string // the number of the client's request, over all tiers
	tenant   string
	work     float64 // factor on the class's mean work
	deadline time.Duration
	isRetry  bool // and it is marked
}

// answer is a node's answer, or what stands for none.
type answer struct {
	status            int // 0: none came
	retryAfter        time.Duration
	connectionRefused bool // the request was not sent
}

// rejected says that the client may retry.
func (a answer) rejected() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// send sends a request to the node and waits for the answer.
func (p *process) send(ctx context.Context, q nodeRequest) answer {
	p.mu.Lock()
	name, addr, client := p.name, p.addr, p.client
	p.mu.Unlock()
	if client == nil {
		return answer{connectionRefused: true}
	}
	now := p.world.now()
	left := q.deadline - now
	if left <= 0 {
		return answer{status: http.StatusGatewayTimeout}
	}
	ctx, cancel := context.WithTimeout(ctx, left+clientListenTime)
	defer cancel()
	r, err := p.newHTTPRequest(ctx, q, name, addr, left)
	if err != nil {
		return answer{}
	}
	p.world.observations.requestSent(now, name, q.id, q.class, q.deadline)
	reused := false
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}))
	resp, err := client.Do(r)
	if err != nil && ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) && p.unread(q, name, reused) {
		// A node may close a connection between requests. A request that crosses that is sent once more on a new one.
		client.CloseIdleConnections()
		resp, err = client.Do(r)
	}
	switch {
	case err == nil:
		return p.readAnswer(resp, name, q.id)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.world.observations.connectionRefused(p.world.now(), name, q.id)
		return answer{connectionRefused: true}
	case ctx.Err() != nil: // no answer in all the time that there was: the request stays open for the checker to find
		return answer{}
	}
	p.world.observations.connectionDropped(p.world.now(), name, q.id, reused)
	return answer{}
}

// newHTTPRequest is the request as a client writes it.
func (p *process) newHTTPRequest(ctx context.Context, q nodeRequest, name, addr string, left time.Duration) (*http.Request, error) {
	class := p.world.scenario.Classes[q.class]
	method := http.MethodPost
	if class.Effect == balancer.Idempotent {
		method = http.MethodGet
	}
	query := url.Values{"work": {strconv.FormatFloat(q.work, 'g', -1, 64)}, "root": {q.client}, "node": {name}}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Call-Id", q.id)
	r.Header.Set("X-Call-Class", class.Name)
	r.Header.Set("X-Caller", q.tenant)
	r.Header.Set("X-Budget", strconv.FormatInt(left.Microseconds(), 10)+"u")
	if q.isRetry {
		r.Header.Set("X-Again", "1")
	}
	if class.Effect == balancer.IdempotentWithKey {
		r.Header.Set("Idempotency-Key", q.id)
	}
	return r, nil
}

// unread says that no server has had a request whose connection ended. Where the servers are other processes, that is only
// known of requests that may run again anyway.
func (p *process) unread(q nodeRequest, name string, reused bool) bool {
	if p.world.worker != nil {
		return reused && p.world.scenario.Classes[q.class].Effect == balancer.Idempotent
	}
	return p.world.observations.noAttemptArrived(name, q.id)
}

// readAnswer reads an answer to its end.
func (p *process) readAnswer(resp *http.Response, name, id string) answer {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	status := resp.StatusCode
	if err != nil {
		status = http.StatusBadGateway // the client can tell that the answer is incomplete
	}
	p.world.observations.answerReceived(p.world.now(), name, id, status, string(body))
	a := answer{status: status}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// callNextTier is a server's call through the node beside it. Its ID is new each time: the same visit may be made again at
// another server, and its calls come by here once more.
func (p *process) callNextTier(v *visit) (succeeded bool) {
	a := p.send(p.world.ctx, nodeRequest{class: v.class, id: fmt.Sprintf("c%d", p.world.lastCallID.Add(1)), client: v.client,
		work: v.workFactor, deadline: v.deadline})
	return a.status == http.StatusOK
}
