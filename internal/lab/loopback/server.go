package loopback

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// box is a stand-in server: the model's box behind a listener, with faults made on its real connections.
type box struct {
	w    *World
	addr string
	tier scenario.Tier
	node *process // through which it calls the next tier; nil: the last tier

	mu     sync.Mutex
	model  *model.Box
	ln     *net.TCPListener
	conns  map[*conn]bool
	died   chan struct{} // closed when the process ends
	back   chan struct{} // closed when the machine is on the network again; nil: it is
	fill   []net.Conn    // of a machine that is cut off: they keep the queue of its listener full
	timer  *time.Timer
	broken float64
}

// conn is one connection from a node.
type conn struct {
	net.Conn
	resetNext bool // under the box's mu
}

const bodyMost = 64 << 10

// start listens; at is where it did before, if it did.
func (b *box) start() error {
	addr := b.addr
	if b.w.away != nil { // its links know where it is: nobody keeps the address of one that is down
		addr = ""
	}
	ln, err := b.w.listenAt(addr, link.ForServer)
	if err != nil {
		return fmt.Errorf("box %s: %w", b.model.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ln, b.addr = ln, ln.Addr().String()
	b.conns, b.died = map[*conn]bool{}, make(chan struct{})
	b.w.own(func() { b.accept(b.ln, b.died) })
	return nil
}

// listenAt listens where something did before, if it did.
func (w *World) listenAt(addr string, use link.PortUse) (*net.TCPListener, error) {
	if addr == "" {
		return link.Listen(w.opt.Ports, use)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

func (b *box) accept(ln *net.TCPListener, died chan struct{}) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // cut off: it accepts again when it is back
			b.mu.Lock()
			back := b.back
			b.mu.Unlock()
			if back != nil {
				select {
				case <-back:
				case <-died:
					return
				}
			}
			continue
		}
		if err != nil {
			return
		}
		k := &conn{Conn: c}
		b.mu.Lock()
		full := b.model.Conns >= b.model.Kind.Conns
		if !full {
			b.conns[k] = true
			b.model.Conns++
		}
		b.mu.Unlock()
		if full {
			reset(c)
			continue
		}
		b.w.facts.handshake(b.w.now(), b.model.ID)
		b.w.own(func() { b.serve(k, died) })
	}
}

// reset ends a connection the hard way.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// serve answers a connection's requests, one at a time.
func (b *box) serve(k *conn, died chan struct{}) {
	defer func() {
		k.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.conns[k] {
			delete(b.conns, k)
			b.model.Conns--
		}
	}()
	br := bufio.NewReader(k)
	for first := true; ; first = false {
		k.SetReadDeadline(time.Now().Add(b.w.s.Net.Idle))
		if _, err := br.Peek(1); err != nil {
			return
		}
		b.mu.Lock()
		hard := k.resetNext
		b.mu.Unlock()
		if hard {
			reset(k.Conn)
			return
		}
		k.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, bodyMost)); err != nil {
			return
		}
		k.SetReadDeadline(time.Time{})
		left := make(chan struct{}) // closed when the node closes the connection, or sends its next request
		read := make(chan struct{})
		go func() {
			defer close(read)
			if _, err := br.Peek(1); err != nil {
				close(left)
			}
		}()
		goOn := b.answer(k, r, first, left, died)
		if !goOn {
			k.Close()
			<-read
			return
		}
		select {
		case <-read: // the next request, or the end
		case <-time.After(b.w.s.Net.Idle):
			k.Close()
			<-read
			return
		case <-died:
			k.Close()
			<-read
			return
		}
	}
}

// quiet says that the machine is off the network, and when it will be back.
func (b *box) quiet() (back chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.back
}

// silent keeps a connection open without a word while the machine is off the network; then it is reset.
func silent(k *conn, back, died chan struct{}) {
	select {
	case <-back:
	case <-died:
	}
	reset(k.Conn)
}

// answer serves one request. False: the connection is over.
func (b *box) answer(k *conn, r *http.Request, first bool, left, died chan struct{}) bool {
	if back := b.quiet(); back != nil {
		silent(k, back, died)
		return false
	}
	if r.Header.Get("X-Call-Id") == "" {
		return respond(k, 404, nil, "no X-Call-Id\n")
	}
	v := b.newVisit(r, first)
	now := b.w.now()
	v.number = b.w.facts.sent(now, v.from, v.id, b.model.ID, v.root, v.own)
	over := make(chan struct{})
	b.w.own(func() { // the box may work on for long after the node has given up
		select {
		case <-left:
			b.w.facts.ended(b.w.now(), v.from, v.id, v.number, balancer.TimedOut)
			b.seen(v, blackbox.Event{What: blackbox.Given})
		case <-over:
		}
	})
	status, fell := b.run(v, left, died)
	close(over)
	gone := ended(left)
	if back := b.quiet(); back != nil && status != 0 {
		silent(k, back, died)
		return false
	}
	ending := balancer.Success
	switch {
	case status == 0:
		ending = balancer.ConnectionLost
	case status == 503:
		ending = balancer.Overloaded
	case status != 200:
		ending = balancer.Failure
	}
	b.w.facts.visited(v.job.Given, gone || status == 0)
	b.w.facts.ended(b.w.now(), v.from, v.id, v.number, ending)
	if fell {
		b.w.crash(b, false)
		b.w.afterwards(model.FallenFor, func() { b.w.boot(b) })
	}
	b.mu.Lock()
	broken := b.broken
	b.mu.Unlock()
	switch {
	case status == 0:
		b.seen(v, blackbox.Event{What: blackbox.Broke})
		reset(k.Conn)
		return false
	case status == 200 && broken > 0 && b.w.chance() < broken: // half an answer
		b.seen(v, blackbox.Event{What: blackbox.Broke})
		fmt.Fprintf(k, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"box\":")
		return false
	case status == 503:
		b.seen(v, blackbox.Event{What: blackbox.Reply, Status: 503, Never: true})
		return respond(k, 503, []string{"X-Rejected: 1"}, "full\n")
	}
	text := fmt.Sprintf("{\"box\":%q,\"class\":%q}\n", b.model.ID, b.w.s.Classes[v.class].Name)
	b.seen(v, blackbox.Event{What: blackbox.Reply, Status: status, Body: text})
	return respond(k, status, nil, text)
}

// seen records what a box does with a request.
func (b *box) seen(v *visit, e blackbox.Event) {
	e.At, e.Node, e.ID, e.Server = b.w.now(), v.from, v.id, b.model.ID
	b.w.facts.seen(e)
}

func respond(c net.Conn, status int, headers []string, body string) bool {
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}

// visit is one request in the box.
type visit struct {
	id, root, from string
	class          int
	number         int
	deadline       time.Duration
	work           float64
	own            time.Duration
	calls          int
	job            model.Job
	done           chan struct{}
}

// newVisit reads what a request says of itself. A person's own may lack most of it.
func (b *box) newVisit(r *http.Request, first bool) *visit {
	q := r.URL.Query()
	v := &visit{id: r.Header.Get("X-Call-Id"), root: q.Get("root"), from: q.Get("node"), work: 1, done: make(chan struct{}, 1)}
	for i, c := range b.w.s.Classes {
		if c.Name == r.Header.Get("X-Call-Class") {
			v.class = i
		}
	}
	if f, err := strconv.ParseFloat(q.Get("work"), 64); err == nil && f > 0 && f < 1e6 {
		v.work = f
	}
	left := b.w.s.Classes[v.class].Deadline
	if us, err := strconv.ParseInt(trimUnit(r.Header.Get("X-Budget")), 10, 64); err == nil {
		left = time.Duration(us) * time.Microsecond
	}
	v.deadline = b.w.now() + left
	f := v.work * b.w.tail(v.class)
	v.own = time.Duration(f * b.tier.Work * float64(b.w.s.Classes[v.class].Work))
	v.job.Work = v.own
	if b.node != nil {
		v.calls = int(b.tier.Calls)
		if b.w.chance() < b.tier.Calls-float64(v.calls) {
			v.calls++
		}
	}
	if v.calls > 0 {
		v.job.Work /= 2
	}
	if first {
		v.job.Work += b.model.Kind.Handshake
	}
	v.job.Owner = v
	return v
}

// trimUnit takes a budget that a node has written, in microseconds.
func trimUnit(s string) string {
	if n := len(s); n > 0 && s[n-1] == 'u' {
		return s[:n-1]
	}
	return s
}

// run takes a visit through the box. Status 0: the process died under it.
func (b *box) run(v *visit, left, died chan struct{}) (status int, fell bool) {
	b.mu.Lock()
	now := b.w.now()
	if ended(died) { // read by a process that is gone: it must not take a slot of the next one
		b.mu.Unlock()
		return 0, false
	}
	if b.model.Sent(now, v.own) {
		b.mu.Unlock()
		b.w.facts.fell(now, v.from, v.id, b.model.ID)
		return 0, true
	}
	if !b.model.Offer(now, &v.job) {
		b.mu.Unlock()
		return 503, false
	}
	b.w.facts.ran(now, v.from, v.id, b.model.ID)
	b.look()
	b.mu.Unlock()
	if !b.stretch(v, left, died) {
		return 0, false
	}
	status = 200
	for range v.calls {
		if !b.node.ask(v) {
			status = 500
			break
		}
	}
	if v.calls > 0 && status == 200 {
		b.mu.Lock()
		b.model.Resume(b.w.now(), &v.job, v.own/2)
		b.look()
		b.mu.Unlock()
		if !b.stretch(v, nil, died) {
			return 0, false
		}
	}
	b.mu.Lock()
	b.model.Leave(b.w.now(), &v.job)
	b.look()
	b.mu.Unlock()
	if ended(died) { // the calls failed because the node died with its box
		return 0, false
	}
	if status == 200 && b.model.Kind.ErrorRate > 0 && b.w.chance() < b.model.Kind.ErrorRate {
		status = 500
	}
	return status, false
}

// ended says that a channel is closed.
func ended(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// stretch waits until the present stretch of work is done. False: the process died, or the visit was given up
// while it waited.
func (b *box) stretch(v *visit, left, died chan struct{}) bool {
	for {
		select {
		case <-v.done:
			return true
		case <-died:
			return false
		case <-left:
			left = nil
			b.mu.Lock()
			given := b.model.GiveUp(b.w.now(), &v.job)
			b.look()
			b.mu.Unlock()
			if given {
				return false
			}
		}
	}
}

// look plans the next completion. The caller holds mu.
func (b *box) look() {
	at, ok := b.model.Next(b.w.now())
	if !ok {
		return
	}
	wait := at - b.w.now()
	if b.timer != nil {
		b.timer.Reset(wait)
		return
	}
	b.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, j := range b.model.Done(b.w.now()) {
			j.Owner.(*visit).done <- struct{}{}
		}
		b.look()
	})
}

// stop ends the process: its connections are reset and new ones refused.
func (b *box) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.State == model.Down || b.ln == nil { // or it is another process's
		return
	}
	b.rejoin()
	b.model.Stop()
	if b.timer != nil {
		b.timer.Stop()
	}
	b.ln.Close()
	close(b.died)
	for k := range b.conns {
		reset(k.Conn)
	}
	b.conns = map[*conn]bool{}
}

// cut takes the machine off the network. What is sent to it stays unanswered; to have new connections never come
// up, the listener's queue is made short and kept full.
func (b *box) cut() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.State == model.Down || b.back != nil {
		return nil
	}
	b.back, b.model.Cut = make(chan struct{}), true
	fill, err := link.StopConnects(b.ln)
	if err != nil {
		return fmt.Errorf("box %s: cut off: %w", b.model.ID, err)
	}
	b.fill = fill
	return nil
}

// rejoin puts it back: connections of the time before are reset. The caller holds mu.
func (b *box) rejoin() {
	if b.back == nil {
		return
	}
	for _, c := range b.fill {
		reset(c)
	}
	b.fill, b.model.Cut = nil, false
	link.SetBacklog(b.ln, 1024)
	b.ln.SetDeadline(time.Time{})
	close(b.back)
	b.back = nil
}

// resetKept marks connections to be reset when they are next used.
func (b *box) resetKept(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.conns {
		if b.w.chance() < share {
			k.resetNext = true
		}
	}
}
