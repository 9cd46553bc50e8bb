package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// nodeHeader tells a server which node a request was sent to.
const nodeHeader = "X-Soak-Node"

// Draws of the clients' requests.
const (
	nonIdempotentRatio = 0.4                   // of the requests
	newConnectionRatio = 0.3                   // of the requests, on connections of their own
	maxCancelAfter     = 50 * time.Millisecond // of a client that cancels early; uniformly drawn
)

// Times of the clients.
const (
	requestBudget = 2 * time.Second // until a request's deadline; the longest deadline of the nodes' settings
	answerGrace   = 2 * time.Second // that a client waits on after the deadline, so that a late answer is seen as such

	burstRetryInterval = 50 * time.Millisecond // between a request of a burst that was not served and the next
)

// clients send requests to the nodes at a steady rate, each to one drawn node.
type clients struct {
	recorder *recorder
	nodes    []*node
	faults   activeFaults
	pools    []connPool // by node
	inFlight sync.WaitGroup

	lastNumber atomic.Int64 // of a request
}

// newClients are clients of some nodes; nothing is sent before run.
func newClients(recorder *recorder, nodes []*node) *clients {
	return &clients{recorder: recorder, nodes: nodes, pools: make([]connPool, len(nodes))}
}

// run sends requests, so many a second, until ctx ends, and waits for the last answers.
func (c *clients) run(ctx context.Context, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	defer c.close()
	for {
		select {
		case <-tick.C:
			c.inFlight.Go(func() { c.send(c.nodes[rand.IntN(len(c.nodes))]) })
		case <-ctx.Done():
			return
		}
	}
}

// close waits for the last answers and closes all connections.
func (c *clients) close() {
	c.inFlight.Wait()
	for i := range c.pools {
		c.pools[i].close()
	}
}

// sendSequentially sends one request after another to a node until ctx ends. A node that is down is tried again after a while.
func (c *clients) sendSequentially(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		if c.send(n) {
			continue
		}
		select {
		case <-time.After(burstRetryInterval):
		case <-ctx.Done():
		}
	}
}

// send makes one request to a node, records what became of it, and reports whether it was served.
func (c *clients) send(n *node) (served bool) {
	request := &Request{ID: fmt.Sprintf("r-%d", c.lastNumber.Add(1)), Node: n.index, NonIdempotent: rand.Float64() < nonIdempotentRatio}
	ownConnection := rand.Float64() < newConnectionRatio
	_, cancels := c.faults.hits(ClientCancel)
	request.At = c.recorder.now()
	request.Deadline = request.At + requestBudget
	c.recorder.record(func(o *Observations) { o.Requests = append(o.Requests, request) })
	giveUp := time.Now().Add(requestBudget + answerGrace)
	conn, err := c.connect(request, ownConnection, giveUp)
	if err != nil {
		c.recordEnd(request, nil, "", err)
		return false
	}
	conn.SetDeadline(giveUp)
	if cancels {
		c.cancelAfterRandomDelay(request, conn)
	}
	response, body, err := c.exchange(conn, request)
	c.recordEnd(request, response, body, err)
	switch {
	case err != nil:
		unread := conn.wasReset(err)
		c.recorder.record(func(*Observations) { request.Unread = unread })
		conn.Close()
	case ownConnection:
		conn.Close()
	default:
		c.pools[n.index].put(conn)
	}
	return err == nil && response.StatusCode == http.StatusOK
}

// connect returns the connection for a request: a kept one that is open, or a new one if there is none, or the request is to
// have its own.
func (c *clients) connect(request *Request, ownConnection bool, deadline time.Time) (*clientConn, error) {
	if !ownConnection {
		if conn := c.pools[request.Node].take(); conn != nil {
			return conn, nil
		}
	}
	c.recorder.record(func(*Observations) { request.NewConnection = true })
	return dialNode(c.nodes[request.Node].listen, deadline)
}

// exchange sends a request and reads its response and the body to its end.
func (c *clients) exchange(conn *clientConn, request *Request) (response *http.Response, body string, err error) {
	r := newHTTPRequest(request, c.nodes[request.Node])
	if err := conn.send(r, func() { c.recordWritten(request) }); err != nil {
		return nil, "", err
	}
	return conn.receive(r)
}

// recordEnd records how a request ended, by its response or an error.
func (c *clients) recordEnd(request *Request, response *http.Response, body string, err error) {
	c.recorder.record(func(*Observations) {
		request.Finished = c.recorder.now()
		if err != nil {
			request.Err, request.ConnectionRefused = err.Error(), isRefused(err)
			return
		}
		request.Status, request.RetryAfter = response.StatusCode, response.Header.Get("Retry-After") != ""
		if response.StatusCode == http.StatusOK && body != answerBody(request.ID) {
			request.WrongBody = strconv.Quote(body)
			if of, second := strings.CutPrefix(body, secondAnswerPrefix); second {
				request.SecondAnswerOf = of
			}
		}
	})
}

// isRefused reports whether no connection came up: it was refused, or reset while it came up, as where its node closes the
// listener just then.
func isRefused(err error) bool {
	failed := &net.OpError{}
	return errors.Is(err, syscall.ECONNREFUSED) ||
		errors.As(err, &failed) && failed.Op == "dial" && errors.Is(err, syscall.ECONNRESET)
}

// recordWritten notes that a request's last byte was written: its time counts from there.
func (c *clients) recordWritten(request *Request) {
	c.recorder.record(func(*Observations) {
		request.Written = c.recorder.now()
		request.Deadline = request.Written + requestBudget
	})
}

// cancelAfterRandomDelay closes a request's connection after a drawn time, unless it has its answer by then.
func (c *clients) cancelAfterRandomDelay(request *Request, conn *clientConn) {
	time.AfterFunc(rand.N(maxCancelAfter), func() {
		gone := false
		c.recorder.record(func(*Observations) {
			if gone = request.Finished == 0; gone {
				request.ClientGone = c.recorder.now()
			}
		})
		if gone {
			conn.Close()
		}
	})
}
