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

// lateResponseCase is a server that answers one request twice, and a client that sends one request after another.
type lateResponseCase struct {
	duplicated     int             // requests up to the one that is answered twice
	initialTime    time.Duration   // that each of them takes
	delay          time.Duration   // of the second answer
	laterTimes     []time.Duration // that the requests behind it take, in turn
	otherIdleConns int             // connections that are idle before, besides the one in use
}

// A second answer that came later than minReuseDelay reached one caller, and each answer behind it on its connection the
// caller of the next request there, until that connection was closed for something else.
func TestLateSecondResponseIsNotMatchedToAnotherRequest(t *testing.T) {
	const (
		fast = 10 * time.Millisecond
		slow = 150 * time.Millisecond
	)
	for name, c := range map[string]lateResponseCase{
		"the first answer of a server": {1, fast, 30 * time.Millisecond, []time.Duration{slow}, 0},
		"a few times are known":        {3, fast, 34 * time.Millisecond, []time.Duration{slow}, 0},
		"eleven times are known":       {11, fast, 30 * time.Millisecond, []time.Duration{slow}, 0},
		"forty times are known":        {40, fast, 30 * time.Millisecond, []time.Duration{slow}, 0},
		"60 ms late":                   {1, fast, 60 * time.Millisecond, []time.Duration{slow}, 0},
		"100 ms late":                  {1, fast, 100 * time.Millisecond, []time.Duration{slow}, 0},
		"100 ms late, its usual time":  {5, slow, 100 * time.Millisecond, []time.Duration{slow}, 0},
		"slower and slower":            {1, fast, 30 * time.Millisecond, []time.Duration{slow, 2 * slow, 4 * slow, 8 * slow}, 0},
		"fast and slow classes":        {4, fast, 30 * time.Millisecond, []time.Duration{slow, slow, fast}, 0},
		"two connections":              {1, fast, 30 * time.Millisecond, []time.Duration{fast, slow}, 1},
		"three connections":            {1, fast, 40 * time.Millisecond, []time.Duration{fast, fast, slow}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run fails the test for each answer that reached a request which it was not written for, but for the second ones.
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

// serve answers a request, and the last of the first ones twice.
func (c *lateResponseCase) serve(conn net.Conn, id string) bool {
	number := -1 // of those before
	fmt.Sscanf(id, "r-%d", &number)
	work := c.initialTime
	if number >= c.duplicated {
		work = c.laterTimes[(number-c.duplicated)%len(c.laterTimes)]
	}
	<-time.After(work)
	answered := respond(conn, "200 OK", "first "+id)
	if number == c.duplicated-1 {
		time.AfterFunc(c.delay, func() { respond(conn, "200 OK", "second "+id) })
	}
	return answered
}

// send sends a request and looks at whose answer it is given.
func (c *lateResponseCase) send(t *testing.T, p *connPool, target *engine.Target, id string) {
	att := testAttempt(p, target.Addr, 3*time.Second)
	att.Target = target
	att.Call.Request.Deadline = att.Deadline
	att.Call.Payload.(*clientRequest).header.Set("X-Call-Id", id)
	r := p.runAttempt(att)
	if r.Outcome != balancer.Success {
		t.Errorf("%s ended %v (%s)", id, r.Outcome, r.Ground)
		return
	}
	switch body := responseBody(r); {
	case body == "first "+id:
	case strings.HasPrefix(body, "second "):
		t.Logf("%s was given the %s", id, body)
	default:
		t.Errorf("%s was given the %s", id, body)
	}
}
