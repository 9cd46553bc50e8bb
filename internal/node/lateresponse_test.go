package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// lateResponseCase describes a client that sends requests one after another, and a server that responds to one of them
// twice.
type lateResponseCase struct {
	duplicated     int             // number of requests up to the one with two responses
	initialTime    time.Duration   // response time of each of them
	delay          time.Duration   // from the first response to the second
	laterTimes     []time.Duration // response times of the following requests, in turn
	otherIdleConns int             // idle connections at the start, besides the one that is used
}

// A second response that arrived later than minReuseDelay was once matched to the next request on its connection, and
// each following response to the request after its own, until the connection was closed for another reason.
func TestLateSecondResponseIsNotMatchedToAnotherRequest(t *testing.T) {
	const (
		fast = 10 * time.Millisecond
		slow = 150 * time.Millisecond
	)
	for name, c := range map[string]lateResponseCase{
		"first response of a server": {1, fast, 30 * time.Millisecond, []time.Duration{slow}, 0},
		"after 3 requests":           {3, fast, 34 * time.Millisecond, []time.Duration{slow}, 0},
		"after 11 requests":          {11, fast, 30 * time.Millisecond, []time.Duration{slow}, 0},
		"after 40 requests":          {40, fast, 30 * time.Millisecond, []time.Duration{slow}, 0},
		"60 ms late":                 {1, fast, 60 * time.Millisecond, []time.Duration{slow}, 0},
		"100 ms late":                {1, fast, 100 * time.Millisecond, []time.Duration{slow}, 0},
		"100 ms late, slow as usual": {5, slow, 100 * time.Millisecond, []time.Duration{slow}, 0},
		"growing response times":     {1, fast, 30 * time.Millisecond, []time.Duration{slow, 2 * slow, 4 * slow, 8 * slow}, 0},
		"fast and slow classes":      {4, fast, 30 * time.Millisecond, []time.Duration{slow, slow, fast}, 0},
		"1 more idle connection":     {1, fast, 30 * time.Millisecond, []time.Duration{fast, slow}, 1},
		"2 more idle connections":    {1, fast, 40 * time.Millisecond, []time.Duration{fast, fast, slow}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run fails the test for each first response that was matched to another request. Second responses may be.
func (c *lateResponseCase) run(t *testing.T) {
	const laterRequests = 10
	b := newBackend(t, func(_ int, conn net.Conn, r *http.Request) bool { return c.serve(conn, r.Header.Get("X-Call-Id")) })
	p := testPool(t)
	p.maxConns = 64
	target := testAttempt(p, b.addr(), 0).Target
	if c.otherIdleConns > 0 {
		var before sync.WaitGroup
		for i := range c.otherIdleConns + 1 {
			before.Go(func() { c.send(t, p, target, fmt.Sprintf("before-%d", i)) })
		}
		before.Wait()
		ageIdleConns(p, target, time.Second)
	}
	for number := range c.duplicated + laterRequests {
		c.send(t, p, target, fmt.Sprintf("r-%d", number))
	}
}

// serve responds to a request, and twice to the request number duplicated-1.
func (c *lateResponseCase) serve(conn net.Conn, id string) bool {
	number := -1 // for requests that only open the idle connections
	fmt.Sscanf(id, "r-%d", &number)
	work := c.initialTime
	if number >= c.duplicated {
		work = c.laterTimes[(number-c.duplicated)%len(c.laterTimes)]
	}
	<-time.After(work)
	written := respond(conn, "200 OK", "first "+id)
	if number == c.duplicated-1 {
		time.AfterFunc(c.delay, func() { respond(conn, "200 OK", "second "+id) })
	}
	return written
}

// send sends a request and checks that it gets its own response, or the second response to another request.
func (c *lateResponseCase) send(t *testing.T, p *connPool, target *engine.Target, id string) {
	att := testAttempt(p, target.Addr, 3*time.Second)
	att.Target = target
	att.Call.Request.Deadline = att.Deadline
	att.Call.Payload.(*clientRequest).header.Set("X-Call-Id", id)
	r := p.runAttempt(att)
	if r.Outcome != balancer.Success {
		t.Errorf("%s ended %v (%s)", id, r.Outcome, r.Reason)
		return
	}
	switch body := responseBody(r); {
	case body == "first "+id:
	case strings.HasPrefix(body, "second "):
		t.Logf("%s got the %s", id, body)
	default:
		t.Errorf("%s got the %s", id, body)
	}
}
