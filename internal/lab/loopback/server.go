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

// server is a stand-in server: the model's box behind a listener, with faults made on its real connections.
type server struct {
	world *World
	addr  string
	tier  scenario.Tier
	node  *process // through which it calls the next tier; nil: the last tier

	mu          sync.Mutex
	model       *model.Server
	listener    *net.TCPListener
	connections map[*connection]bool
	died        chan struct{} // closed when the process ends
	reconnected chan struct{} // closed when the machine is on the network again; nil: it is
	backlogFill []net.Conn    // of a machine that is cut off: they keep the queue of its listener full
	timer       *time.Timer
	brokenShare float64
}

// connection is one connection from a node.
type connection struct {
	net.Conn
	resetNext bool // under the box's mu
}

const maxBody = 64 << 10

// start listens; at is where it did before, if it did.
func (b *server) start() error {
	addr := b.addr
	if b.world.worker != nil { // its links know where it is: nobody keeps the address of one that is down
		addr = ""
	}
	ln, err := b.world.listenAt(addr, link.ForServer)
	if err != nil {
		return fmt.Errorf("box %s: %w", b.model.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.addr = ln, ln.Addr().String()
	b.connections, b.died = map[*connection]bool{}, make(chan struct{})
	b.world.goOwned(func() { b.accept(b.listener, b.died) })
	return nil
}

// listenAt listens where something did before, if it did.
func (w *World) listenAt(addr string, use link.PortUse) (*net.TCPListener, error) {
	if addr == "" {
		return link.Listen(w.options.Ports, use)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

func (b *server) accept(ln *net.TCPListener, died chan struct{}) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // cut off: it accepts again when it is back
			b.mu.Lock()
			back := b.reconnected
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
		k := &connection{Conn: c}
		b.mu.Lock()
		full := b.model.Connections >= b.model.Kind.MaxConnections
		if !full {
			b.connections[k] = true
			b.model.Connections++
		}
		b.mu.Unlock()
		if full {
			reset(c)
			continue
		}
		b.world.observations.connectionOpened(b.world.now(), b.model.ID)
		b.world.goOwned(func() { b.serve(k, died) })
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
func (b *server) serve(k *connection, died chan struct{}) {
	defer func() {
		k.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.connections[k] {
			delete(b.connections, k)
			b.model.Connections--
		}
	}()
	br := bufio.NewReader(k)
	for first := true; ; first = false {
		k.SetReadDeadline(time.Now().Add(b.world.scenario.Network.IdleTimeout))
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
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
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
		goOn := b.serveRequest(k, r, first, left, died)
		if !goOn {
			k.Close()
			<-read
			return
		}
		select {
		case <-read: // the next request, or the end
		case <-time.After(b.world.scenario.Network.IdleTimeout):
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

// disconnected says that the machine is off the network, and when it will be back.
func (b *server) disconnected() (back chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reconnected
}

// holdUntilReconnected keeps a connection open without a word while the machine is off the network; then it is reset.
func holdUntilReconnected(k *connection, back, died chan struct{}) {
	select {
	case <-back:
	case <-died:
	}
	reset(k.Conn)
}

// serveRequest serves one request. False: the connection is over.
func (b *server) serveRequest(k *connection, r *http.Request, first bool, left, died chan struct{}) bool {
	if back := b.disconnected(); back != nil {
		holdUntilReconnected(k, back, died)
		return false
	}
	if r.Header.Get("X-Call-Id") == "" {
		return writeResponse(k, 404, nil, "no X-Call-Id\n")
	}
	v := b.newVisit(r, first)
	now := b.world.now()
	v.attempt = b.world.observations.attemptArrived(now, v.node, v.id, b.model.ID, v.request, v.ownWork)
	over := make(chan struct{})
	b.world.goOwned(func() { // the box may work on for long after the node has given up
		select {
		case <-left:
			b.world.observations.attemptEnded(b.world.now(), v.node, v.id, v.attempt, balancer.TimedOut)
			b.record(v, blackbox.Event{Kind: blackbox.AttemptCanceled})
		case <-over:
		}
	})
	status, fell := b.runVisit(v, left, died)
	close(over)
	gone := isClosed(left)
	if back := b.disconnected(); back != nil && status != 0 {
		holdUntilReconnected(k, back, died)
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
	b.world.observations.workDone(v.job.WorkDone, gone || status == 0)
	b.world.observations.attemptEnded(b.world.now(), v.node, v.id, v.attempt, ending)
	if fell {
		b.world.crashServer(b, false)
		b.world.afterDelay(model.OverloadDowntime, func() { b.world.bootServer(b) })
	}
	b.mu.Lock()
	broken := b.brokenShare
	b.mu.Unlock()
	switch {
	case status == 0:
		b.record(v, blackbox.Event{Kind: blackbox.AttemptBroken})
		reset(k.Conn)
		return false
	case status == 200 && broken > 0 && b.world.randomFloat() < broken: // half an answer
		b.record(v, blackbox.Event{Kind: blackbox.AttemptBroken})
		fmt.Fprintf(k, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"box\":")
		return false
	case status == 503:
		b.record(v, blackbox.Event{Kind: blackbox.AttemptAnswered, Status: 503, NeverRan: true})
		return writeResponse(k, 503, []string{"X-Rejected: 1"}, "full\n")
	}
	text := fmt.Sprintf("{\"box\":%q,\"class\":%q}\n", b.model.ID, b.world.scenario.Classes[v.class].Name)
	b.record(v, blackbox.Event{Kind: blackbox.AttemptAnswered, Status: status, Body: text})
	return writeResponse(k, status, nil, text)
}

// record records what a box does with a request.
func (b *server) record(v *visit, e blackbox.Event) {
	e.At, e.Node, e.ID, e.Server = b.world.now(), v.node, v.id, b.model.ID
	b.world.observations.record(e)
}

func writeResponse(c net.Conn, status int, headers []string, body string) bool {
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
	id, request, node string
	class             int
	attempt           int
	deadline          time.Duration
	workFactor        float64
	ownWork           time.Duration
	calls             int
	job               model.Job
	done              chan struct{}
}

// newVisit reads what a request says of itself. A person's own may lack most of it.
func (b *server) newVisit(r *http.Request, first bool) *visit {
	q := r.URL.Query()
	v := &visit{id: r.Header.Get("X-Call-Id"), request: q.Get("root"), node: q.Get("node"), workFactor: 1, done: make(chan struct{}, 1)}
	for i, c := range b.world.scenario.Classes {
		if c.Name == r.Header.Get("X-Call-Class") {
			v.class = i
		}
	}
	if f, err := strconv.ParseFloat(q.Get("work"), 64); err == nil && f > 0 && f < 1e6 {
		v.workFactor = f
	}
	left := b.world.scenario.Classes[v.class].Deadline
	if us, err := strconv.ParseInt(trimUnit(r.Header.Get("X-Budget")), 10, 64); err == nil {
		left = time.Duration(us) * time.Microsecond
	}
	v.deadline = b.world.now() + left
	f := v.workFactor * b.world.workFactor(v.class)
	v.ownWork = time.Duration(f * b.tier.Work * float64(b.world.scenario.Classes[v.class].Work))
	v.job.Work = v.ownWork
	if b.node != nil {
		v.calls = int(b.tier.Calls)
		if b.world.randomFloat() < b.tier.Calls-float64(v.calls) {
			v.calls++
		}
	}
	if v.calls > 0 {
		v.job.Work /= 2
	}
	if first {
		v.job.Work += b.model.Kind.HandshakeWork
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

// runVisit takes a visit through the box. Status 0: the process died under it.
func (b *server) runVisit(v *visit, left, died chan struct{}) (status int, fell bool) {
	b.mu.Lock()
	now := b.world.now()
	if isClosed(died) { // read by a process that is gone: it must not take a slot of the next one
		b.mu.Unlock()
		return 0, false
	}
	if b.model.RecordArrival(now, v.ownWork) {
		b.mu.Unlock()
		b.world.observations.serverOverloaded(now, v.node, v.id, b.model.ID)
		return 0, true
	}
	if !b.model.Admit(now, &v.job) {
		b.mu.Unlock()
		return 503, false
	}
	b.world.observations.attemptExecuted(now, v.node, v.id, b.model.ID)
	b.scheduleCompletion()
	b.mu.Unlock()
	if !b.waitForStage(v, left, died) {
		return 0, false
	}
	status = 200
	for range v.calls {
		if !b.node.callNextTier(v) {
			status = 500
			break
		}
	}
	if v.calls > 0 && status == 200 {
		b.mu.Lock()
		b.model.Resume(b.world.now(), &v.job, v.ownWork/2)
		b.scheduleCompletion()
		b.mu.Unlock()
		if !b.waitForStage(v, nil, died) {
			return 0, false
		}
	}
	b.mu.Lock()
	b.model.Release(b.world.now(), &v.job)
	b.scheduleCompletion()
	b.mu.Unlock()
	if isClosed(died) { // the calls failed because the node died with its box
		return 0, false
	}
	if status == 200 && b.model.Kind.ErrorRate > 0 && b.world.randomFloat() < b.model.Kind.ErrorRate {
		status = 500
	}
	return status, false
}

// isClosed says that a channel is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForStage waits until the present stretch of work is done. False: the process died, or the visit was given up
// while it waited.
func (b *server) waitForStage(v *visit, left, died chan struct{}) bool {
	for {
		select {
		case <-v.done:
			return true
		case <-died:
			return false
		case <-left:
			left = nil
			b.mu.Lock()
			given := b.model.CancelQueued(b.world.now(), &v.job)
			b.scheduleCompletion()
			b.mu.Unlock()
			if given {
				return false
			}
		}
	}
}

// scheduleCompletion plans the next completion. The caller holds mu.
func (b *server) scheduleCompletion() {
	at, ok := b.model.NextCompletion(b.world.now())
	if !ok {
		return
	}
	wait := at - b.world.now()
	if b.timer != nil {
		b.timer.Reset(wait)
		return
	}
	b.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, j := range b.model.Completed(b.world.now()) {
			j.Owner.(*visit).done <- struct{}{}
		}
		b.scheduleCompletion()
	})
}

// stop ends the process: its connections are reset and new ones refused.
func (b *server) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.State == model.Down || b.listener == nil { // or it is another process's
		return
	}
	b.reconnect()
	b.model.Stop()
	if b.timer != nil {
		b.timer.Stop()
	}
	b.listener.Close()
	close(b.died)
	for k := range b.connections {
		reset(k.Conn)
	}
	b.connections = map[*connection]bool{}
}

// disconnect takes the machine off the network. What is sent to it stays unanswered; to have new connections never come
// up, the listener's queue is made short and kept full.
func (b *server) disconnect() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model.State == model.Down || b.reconnected != nil {
		return nil
	}
	b.reconnected, b.model.Unreachable = make(chan struct{}), true
	fill, err := link.StopConnects(b.listener)
	if err != nil {
		return fmt.Errorf("box %s: cut off: %w", b.model.ID, err)
	}
	b.backlogFill = fill
	return nil
}

// reconnect puts it back: connections of the time before are reset. The caller holds mu.
func (b *server) reconnect() {
	if b.reconnected == nil {
		return
	}
	for _, c := range b.backlogFill {
		reset(c)
	}
	b.backlogFill, b.model.Unreachable = nil, false
	link.SetBacklog(b.listener, 1024)
	b.listener.SetDeadline(time.Time{})
	close(b.reconnected)
	b.reconnected = nil
}

// resetIdle marks connections to be reset when they are next used.
func (b *server) resetIdle(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.connections {
		if b.world.randomFloat() < share {
			k.resetNext = true
		}
	}
}
