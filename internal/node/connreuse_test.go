package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/metrics"
)

// usedConn returns an idle connection that has carried one request to a server.
func usedConn(t *testing.T, p *connPool, att *engine.Attempt) *upstreamConn {
	t.Helper()
	if r := p.runAttempt(att); r.Outcome != balancer.Success {
		t.Fatalf("ended %v", r.Outcome)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return newest(p.idleByTarget[att.Target])
}

// again is another attempt of the same request at the same target.
func again(att *engine.Attempt) *engine.Attempt {
	return &engine.Attempt{Call: att.Call, Target: att.Target, Deadline: att.Deadline}
}

// Bytes that come between a response and the release of its connection once were kept as the response to the next request.
func TestBytesBetweenResponseAndReleaseAreNoResponse(t *testing.T) {
	conns := make(chan net.Conn, 1)
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		conns <- c
		return respond(c, "200 OK", "done")
	})
	p := testPool(t)
	att := testAttempt(p, b.addr(), time.Minute)
	c, _, err := p.acquireOrDial(att)
	if err != nil || !p.markRequestSent(c) {
		t.Fatal(err, "no connection")
	}
	if _, err := c.Write(encodeRequest(att.Call.Payload.(*clientRequest), time.Minute)); err != nil {
		t.Fatal(err)
	}
	if response := <-c.responses; response.err != nil || string(response.body) != "done" {
		t.Fatalf("got %q, %v", response.body, response.err)
	}
	respond(<-conns, "200 OK", "stray") // the attempt has its response, and has not released the connection
	select {
	case response := <-c.responses:
		if response.err == nil {
			t.Errorf("%q waits for the next request", response.body)
		}
	case <-time.After(10 * time.Second):
		t.Error("the bytes were not seen")
	}
	p.release(c)
	if p.mu.Lock(); len(p.idleByTarget[att.Target]) != 0 {
		t.Error("the connection would be used again")
	}
	p.mu.Unlock()
}

// A connection that was taken in the instant in which bytes or its end came once was written to: the goroutine that reads
// had not come to run yet.
func TestConnectionIsLookedAtBeforeTheRequest(t *testing.T) {
	for name, change := range map[string]func(net.Conn){
		"bytes":  func(c net.Conn) { respond(c, "200 OK", "stray") },
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { resetConn(c.(*net.TCPConn)) },
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan net.Conn, 1)
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				conns <- c
				return respond(c, "200 OK", "done")
			})
			p := testPool(t)
			att := testAttempt(p, b.addr(), time.Minute)
			usedConn(t, p, att)
			c, fresh, err := p.acquireOrDial(again(att))
			if err != nil || fresh {
				t.Fatalf("fresh %v, %v", fresh, err)
			}
			p.mu.Lock() // the reader comes to run, and can't do anything about what it sees
			defer p.mu.Unlock()
			change(<-conns)
			eventually(t, "it has come", func() bool { return c.look() != errNothingToRead })
			if p.markRequestSentLocked(c) {
				t.Error("a request would be written")
			}
		})
	}
}

// A connection that is used again in the instant of its response carries the next request before anybody can know whether
// something stands behind that response: it has to stay idle for a while, and one that has been idle for long goes first.
func TestChooseIdleConnection(t *testing.T) {
	const now = time.Second
	idle := func(releasedAt ...time.Duration) (conns []*upstreamConn) {
		for _, at := range releasedAt {
			conns = append(conns, &upstreamConn{reusableAt: at + minReuseDelay, provenAt: at + provenIdleTime})
		}
		return conns
	}
	for name, c := range map[string]struct {
		idle []*upstreamConn
		want int
	}{
		"the newest that is proven":    {idle(now-3*provenIdleTime, now-2*provenIdleTime, now-minReuseDelay), 1},
		"just proven":                  {idle(now-2*provenIdleTime, now-provenIdleTime), 1},
		"none proven: the first ready": {idle(now-provenIdleTime/2, now-minReuseDelay, now), 0},
		"none may be reused yet":       {idle(now-2, now-1), 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := chooseIdle(c.idle, now); got != c.idle[c.want] {
				t.Errorf("took another one than %d", c.want)
			}
		})
	}
}

// An attempt waits until a connection may be reused where that is short: alone, and with time to spare. Otherwise it makes a
// connection of its own; so does a streamed request, whose response may come before its last byte.
func TestWaitForReuse(t *testing.T) {
	for name, c := range map[string]struct {
		delay    time.Duration // until it may be reused
		proof    time.Duration // until the connection is proven
		budget   time.Duration
		streamed bool
		waiting  bool // another attempt waits
		taken    bool
	}{
		"proven":                   {0, 0, time.Minute, false, false, true},
		"proven, another waits":    {0, 0, time.Minute, false, true, true},
		"proven, streamed":         {0, 0, time.Minute, true, false, true},
		"reusable":                 {0, time.Second, time.Minute, false, false, true},
		"reusable, streamed":       {0, time.Second, time.Minute, true, false, false},
		"too new":                  {minReuseDelay / 2, time.Second, time.Minute, false, false, true},
		"too new, another waits":   {minReuseDelay / 2, time.Second, time.Minute, false, true, false},
		"too new, little time":     {minReuseDelay / 2, time.Second, minReuseDelay, false, false, false},
		"too new by much":          {time.Second, time.Second, time.Minute, false, false, false},
		"too new, little to spare": {minReuseDelay / 2, time.Second, 3 * minReuseDelay, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := testPool(t)
			att := testAttempt(p, "127.0.0.1:1", c.budget)
			att.Call.Request.StreamedBody = c.streamed
			p.historyOf(att.Target).waiting = c.waiting
			client, server := net.Pipe()
			defer server.Close()
			now := p.clock.Now()
			conn := &upstreamConn{Conn: client, pool: p, target: att.Target, reusableAt: now + c.delay, provenAt: now + c.proof}
			p.conns[conn] = true
			conn.idleElement = p.idle.PushBack(conn)
			p.idleByTarget[att.Target] = []*upstreamConn{conn}
			got, wait := p.acquireIdle(att, time.Now().Add(time.Minute))
			if (got != nil) != c.taken || wait > c.delay {
				t.Errorf("taken %v with a wait of %v, want %v and %v at most", got != nil, wait, c.taken, c.delay)
			}
		})
	}
}

// A response that came early and soon behind another may be a second one to the request before. The true one is still to
// come: used again before that, the connection would pass it to the next request, and so on.
func TestReuseIsDelayedAfterAnEarlyResponse(t *testing.T) {
	const mean = 100 * time.Millisecond
	for name, c := range map[string]struct {
		took  time.Duration // from the request to the response
		lasts time.Duration // how long the response is streamed
		since time.Duration // the response before
		mean  time.Duration
		uses  int
		delay time.Duration // until it may be reused, at least, from the request on
		early int           // responses counted as early
	}{
		"usual":                   {mean, 0, mean + minReuseDelay, mean, 2, mean + minReuseDelay, 0},
		"early and soon":          {10 * time.Millisecond, 0, provenIdleTime - minReuseDelay, mean, 2, earlyReuseFactor * mean, 1},
		"early, not so soon":      {10 * time.Millisecond, 0, provenIdleTime, mean, 2, 10*time.Millisecond + minReuseDelay, 0},
		"early of a slow server":  {10 * time.Millisecond, 0, provenIdleTime - minReuseDelay, time.Minute, 2, maxEarlyReuseDelay, 1},
		"early, then streamed":    {10 * time.Millisecond, 5 * time.Second, provenIdleTime - minReuseDelay, mean, 2, 5*time.Second + 10*time.Millisecond + minReuseDelay, 1},
		"early by little":         {time.Millisecond, 0, provenIdleTime - minReuseDelay, earlyMargin, 2, time.Millisecond + minReuseDelay, 0},
		"the first on its server": {10 * time.Millisecond, 0, provenIdleTime - minReuseDelay, 0, 2, 10*time.Millisecond + minReuseDelay, 0},
		"the first on it":         {10 * time.Millisecond, 0, provenIdleTime - minReuseDelay, mean, 1, 10*time.Millisecond + minReuseDelay, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := testPool(t)
			early := 0
			p.count = func(counter metrics.Counter) {
				if counter == metrics.EarlyResponses {
					early++
				}
			}
			target := &engine.Target{}
			p.historyOf(target).meanTime = c.mean
			now := p.clock.Now()
			sentAt := now - c.lasts - c.took
			conn := &upstreamConn{target: target, uses: c.uses, sentAt: sentAt, answeredAt: sentAt + c.took,
				releasedAt: sentAt + c.took - c.since}
			p.scheduleReuse(conn)
			if delay := conn.reusableAt - sentAt; delay < c.delay || delay > c.delay+minReuseDelay {
				t.Errorf("may be reused after %v, want %v", delay, c.delay)
			}
			if conn.provenAt < conn.reusableAt {
				t.Error("it counts as proven before it may be reused")
			}
			if early != c.early {
				t.Errorf("%d early responses counted, want %d", early, c.early)
			}
		})
	}
}

// Bytes behind a response that was streamed are seen before the connection carries another request.
func TestBytesBehindAStreamedResponse(t *testing.T) {
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n > 1 {
			return respond(c, "200 OK", "done")
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n"+string(make([]byte, 400_000)))
		io.WriteString(c, "\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		return true
	})
	p := testPool(t)
	att := testAttempt(p, b.addr(), time.Minute)
	if r := p.runAttempt(att); r.Outcome != balancer.Success {
		t.Fatalf("ended %v", r.Outcome)
	}
	if r := p.runAttempt(again(att)); r.Outcome != balancer.Success || responseBody(r) != "done" {
		t.Errorf("ended %v", r.Outcome)
	}
}
