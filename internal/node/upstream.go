package node

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

const (
	maxAnswer = 2*maxHeld + 16<<10 // of an answer that is held, with its header, what chunks add and any 1xx ahead
	maxStream = 4 * maxBulk        // of one that is passed on
)

// pool keeps the connections to servers, one request at a time on each. It is own code since
// http.Transport sends a request again by itself when a kept connection breaks, which could run
// an unsafe one twice.
type pool struct {
	clock   engine.Clock
	dialer  net.Dialer
	idleFor time.Duration
	held    int                             // of an answer
	most    int                             // connections at once, of
	whole   int                             // what this process may have while it is alone
	ended   func(engine.Result)             // takes how an attempt ended
	answers func(*engine.Attempt, any) bool // takes an answer that is passed on as it comes

	mu   sync.Mutex
	open map[*conn]bool
	dial int                        // connections that are coming up
	idle *list.List                 // of *conn, the oldest first
	kept map[*engine.Target][]*conn // the idle ones by target, the newest last
	wg   sync.WaitGroup
}

func newPool(ck engine.Clock, cfg Config, most int, ended func(engine.Result), answers func(*engine.Attempt, any) bool) *pool {
	return &pool{clock: ck, dialer: net.Dialer{Timeout: cfg.connectTimeout, KeepAlive: -1},
		idleFor: cfg.connIdle / 2, held: held(cfg.MemoryMB, answerPart, most), most: most, whole: most, ended: ended, answers: answers,
		open: map[*conn]bool{}, idle: list.New(), kept: map[*engine.Target][]*conn{}}
}

// share leaves half of the connections to another process of the node, or takes them back.
func (p *pool) share(with bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most = p.whole; with {
		p.most = p.whole / 2
	}
}

// retune takes over other settings of connections.
func (p *pool) retune(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout, p.idleFor = cfg.connectTimeout, cfg.connIdle/2
}

// conn is a connection to a server. Its own goroutine always reads, also while it is idle, so a
// close by the server is seen before the next use.
type conn struct {
	net.Conn
	left    int // bytes that may still come before this answer is too long; the reader's own
	pool    *pool
	target  *engine.Target
	br      *bufio.Reader
	replies chan *reply

	// For the log; the attempt's own.
	since, parked time.Duration // when it came up, and when it was last put by
	uses          int           // requests asked on it
	idled         time.Duration // before the last of them

	// guarded by pool.mu
	place    *list.Element // in pool.idle; nil: in use
	asked    bool          // a request is on its way
	deadline time.Time     // of what it now waits for
	dead     bool
}

// reply is what came back on a connection.
type reply struct {
	resp *http.Response
	body []byte  // whole, or its beginning
	rest *stream // of one that is not held
	err  error
}

// Start runs an attempt in a goroutine that ends with its result.
func (p *pool) Start(att *engine.Attempt) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.ended(p.attempt(att))
	}()
}

// attempt makes the one send of an attempt and waits for what comes back.
func (p *pool) attempt(att *engine.Attempt) engine.Result {
	ended := func(e balancer.Outcome) engine.Result { return engine.Result{Attempt: att, Outcome: e} }
	call := att.Call.Payload.(*call)
	if call.rest != nil && (call.rest.spent.Load() || call.rest.lost()) {
		return ended(balancer.NotSent) // of its body some is gone
	}
	if !att.MaySend(p.clock.Now()) {
		return ended(balancer.NotSent)
	}
	var c *conn
	without := func(e balancer.Outcome, err error) engine.Result {
		r := engine.Result{Attempt: att, Outcome: e, Err: err}
		if c != nil {
			r.ConnectionUses, r.ConnectionAge, r.ConnectionIdle = c.uses, p.clock.Now()-c.since, c.idled
		}
		return r
	}
	for asked := false; !asked; {
		var fresh bool
		var err error
		c, fresh, err = p.take(att)
		if errors.Is(err, errFull) {
			return ended(balancer.NotSent) // the lack is the node's own: it says nothing of the server
		}
		if err != nil {
			return without(balancer.Unreachable, err)
		}
		// Connecting takes time: the request may be over by now, or the server may have been told to drain.
		if !att.MaySend(p.clock.Now()) {
			p.park(c)
			return ended(balancer.NotSent)
		}
		if asked = p.ask(c); fresh && !asked {
			return without(balancer.Unreachable, errClosed)
		}
	}
	began, writes := att.Started, p.clock.Now()
	if call.rest == nil {
		left := att.Deadline - writes
		_, err := c.Write(p.message(att, left))
		att.Sent(writes, left)
		if err != nil {
			p.close(c)
			return without(balancer.Unreachable, err) // the last byte was not written
		}
	} else if err := p.upload(c, att, writes); err != nil {
		e := c.unsent()
		p.close(c)
		if call.rest.lost() {
			return ended(balancer.NotSent) // it says nothing of the server
		}
		return without(e, err)
	} else {
		began = p.clock.Now()
	}
	r := <-c.replies
	switch {
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		return without(balancer.TimedOut, errNoAnswer) // the reader has closed the connection
	case r.err != nil:
		return without(balancer.ConnectionLost, r.err)
	}
	res := engine.Result{Attempt: att, Outcome: ending(r.resp), Reply: r}
	if call.rest != nil || r.rest != nil {
		res.Latency = max(p.clock.Now()-began, 1)
	}
	if r.rest != nil {
		if res.Outcome != balancer.Success || !p.answers(att, r) {
			p.close(c)
			close(r.rest.over)
			res.Reply = nil
			if res.Outcome == balancer.Success {
				res.Outcome = balancer.Canceled // nobody waits for it
			}
			return res
		}
		end := <-r.rest.ended
		if end.ending != balancer.Success {
			p.close(c)
		}
		close(r.rest.over)
		res.Outcome, res.Err = end.ending, end.err
	}
	if r.resp.Close {
		p.close(c)
	} else {
		p.park(c)
	}
	return res
}

// message is the request as it goes to a server, which is told how long the node waits.
func (p *pool) message(att *engine.Attempt, left time.Duration) []byte {
	c := att.Call.Payload.(*call)
	req := p.request(att, left)
	if req.ContentLength = int64(len(c.body)); len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	var b bytes.Buffer
	req.Write(&b) // neither the buffer nor the body can fail
	return b.Bytes()
}

// upload writes a request whose body is not held. From the last byte on its time runs.
func (p *pool) upload(c *conn, att *engine.Attempt, began time.Duration) error {
	defer att.Sent(began, 0)
	call := att.Call.Payload.(*call)
	req := p.request(att, att.Timeout)
	req.ContentLength = call.length
	req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(call.body), rest{call.rest}))
	out := &errWriter{w: c, before: func() { c.SetWriteDeadline(time.Now().Add(stallTime)) }}
	if err := req.Write(out); err != nil {
		return err
	}
	if call.rest.lost() { // what came of it would pass as the whole
		return errBody
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.deadline = time.Now().Add(att.Timeout)
	return c.SetDeadline(c.deadline)
}

// unsent says how an attempt ended whose last byte was not written. A server may have said why.
func (c *conn) unsent() balancer.Outcome {
	c.pool.mu.Lock()
	c.deadline = time.Now().Add(lastWord)
	c.SetReadDeadline(c.deadline)
	c.pool.mu.Unlock()
	if r := <-c.replies; r.err == nil {
		if r.rest != nil {
			close(r.rest.over)
		}
		if e := ending(r.resp); e == balancer.Overloaded {
			return e
		}
	}
	return balancer.Unreachable
}

// request is a request as it came, but for its body and the time that is left.
func (p *pool) request(att *engine.Attempt, wait time.Duration) *http.Request {
	c := att.Call.Payload.(*call)
	header := c.header.Clone()
	left := max(wait.Microseconds(), 1)
	header.Set("X-Budget", strconv.FormatInt(left, 10)+"u")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // else Request.Write adds its own
	}
	return &http.Request{Method: c.method, URL: c.url, Host: c.host, Header: header}
}

// lastWord is how long a server that stopped reading is given for its answer to come.
const lastWord = 50 * time.Millisecond

// ending reads off an answer how the attempt ended.
func ending(r *http.Response) balancer.Outcome {
	switch {
	case r.StatusCode == http.StatusOK:
		return balancer.Success
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1":
		return balancer.Overloaded
	}
	return balancer.Failure // it may have run
}

var (
	errClosed   = errors.New("closed by the server before it was asked")
	errNoAnswer = errors.New("no answer in time")
)

var errFull = errors.New("no socket left for another connection")

// ask notes that a request is about to be written. It fails if the connection broke or brought bytes that
// nobody asked for since it was taken.
func (p *pool) ask(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.asked = !c.dead
	c.uses++
	c.idled = p.clock.Now() - c.parked
	return c.asked
}

// take gives the newest idle connection, else opens a fresh one.
func (p *pool) take(att *engine.Attempt) (c *conn, fresh bool, err error) {
	t, deadline := att.Target, p.clock.At(att.Deadline)
	p.mu.Lock()
	for len(p.kept[t]) > 0 {
		c := p.kept[t][len(p.kept[t])-1]
		p.unpark(c)
		c.deadline = deadline
		c.SetDeadline(deadline)
		p.mu.Unlock()
		select {
		case <-c.replies: // it broke or got out of step just now, and nothing of this attempt was on it
			p.mu.Lock()
			p.closeLocked(c)
		default:
			return c, false, nil
		}
	}
	for len(p.open)+p.dial >= p.most && p.idle.Len() > 0 {
		p.closeLocked(p.idle.Front().Value.(*conn))
	}
	if len(p.open)+p.dial >= p.most {
		p.mu.Unlock()
		return nil, false, errFull
	}
	p.dial++
	d := p.dialer
	p.mu.Unlock()

	d.Deadline = deadline
	nc, err := d.Dial("tcp", t.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial--
	if err != nil {
		return nil, false, err
	}
	c = &conn{Conn: nc, pool: p, target: t, replies: make(chan *reply, 1), deadline: deadline}
	c.since = p.clock.Now()
	c.parked = c.since
	c.br = bufio.NewReaderSize(c, 4<<10)
	p.open[c] = true
	nc.SetDeadline(deadline)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		c.read()
	}()
	return c, true, nil
}

// park puts a connection by for the next attempt.
func (p *pool) park(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead {
		return
	}
	if c.target.Stopped() {
		p.closeLocked(c)
		return
	}
	c.asked = false
	c.parked = p.clock.Now()
	c.deadline = time.Now().Add(p.idleFor)
	c.SetDeadline(c.deadline)
	c.place = p.idle.PushBack(c)
	p.kept[c.target] = append(p.kept[c.target], c)
}

// unpark takes a connection from the idle ones. The caller holds the lock.
func (p *pool) unpark(c *conn) {
	p.idle.Remove(c.place)
	c.place = nil
	kept := p.kept[c.target]
	p.kept[c.target] = slices.Delete(kept, slices.Index(kept, c), slices.Index(kept, c)+1)
}

func (p *pool) close(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *pool) closeLocked(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	if c.place != nil {
		p.unpark(c)
	}
	c.Close()
	delete(p.open, c)
}

// Retire closes the idle connections to a server that gets nothing new.
func (p *pool) Retire(t *engine.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.kept[t]) > 0 {
		p.closeLocked(p.kept[t][len(p.kept[t])-1])
	}
	delete(p.kept, t)
}

// shut closes all connections and waits until every attempt has ended. What is still out then is for
// callers that have their answer or are gone.
func (p *pool) shut() {
	p.mu.Lock()
	for c := range p.open {
		p.closeLocked(c)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// read hands every answer to the attempt that waits for it and ends with the connection. A connection
// that is closed while idle, gets bytes nobody asked for or is idle for long is dropped.
func (c *conn) read() {
	for {
		c.left = maxAnswer
		_, err := c.br.Peek(1)
		c.pool.mu.Lock()
		idle := c.place != nil
		if err == nil && !c.asked {
			err = errAnswer
		}
		if !idle && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.deadline) {
			c.pool.mu.Unlock() // the idle time ran out just as an attempt took the connection
			continue
		}
		if idle || err != nil {
			c.pool.closeLocked(c)
		}
		c.pool.mu.Unlock()
		if idle {
			return
		}
		r := &reply{err: err}
		if err == nil {
			r = c.answer()
			if r.err != nil {
				c.pool.close(c)
			}
		}
		c.replies <- r
		if r.rest != nil {
			<-r.rest.over
		}
		if r.err != nil || r.resp.Close {
			return
		}
	}
}

// Read bounds what one answer may bring: some don't end.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errAnswer
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

var errAnswer = errors.New("answer too long or unsound")

// answer reads one whole answer. What says unsoundly where it ends may be anybody's: its attempt is broken.
func (c *conn) answer() *reply {
	for {
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return &reply{err: err}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode < 100 || resp.ContentLength > maxStream {
			return &reply{err: errAnswer}
		}
		held := c.pool.held
		if resp.ContentLength > int64(held) {
			return c.large(resp, make([]byte, chunk))
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, int64(held)+1))
		if err == nil && len(body) > held {
			c.left = maxStream
			return &reply{resp: resp, body: body, rest: newStream(c, resp.Body)}
		}
		// Bytes that nobody asked for would pass as the answer to the next request.
		resp.Close = resp.Close || c.br.Buffered() > 0
		return &reply{resp: resp, body: body, err: err}
	}
}

// large is an answer that is passed on from its first bytes.
func (c *conn) large(resp *http.Response, buf []byte) *reply {
	n, err := resp.Body.Read(buf)
	if err != nil && n == 0 {
		return &reply{err: err}
	}
	c.left = maxStream
	return &reply{resp: resp, body: buf[:n], rest: newStream(c, resp.Body)}
}
