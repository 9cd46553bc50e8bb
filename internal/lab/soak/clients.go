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

// Distributions of the clients' requests.
const (
	nonIdempotentRatio = 0.4                   // share of requests that are non-idempotent
	newConnectionRatio = 0.3                   // share of requests that are sent on a new connection
	maxCancelAfter     = 50 * time.Millisecond // maximum time until a client cancels early; uniformly distributed
)

// Timing of the clients.
const (
	requestBudget = 2 * time.Second // time until a request's deadline; equals the longest deadline in the nodes' settings
	answerGrace   = 2 * time.Second // how long a client waits after the deadline, to tell a late answer from a missing one

	uploadTime = 20 * time.Second // how long a client may wait in addition to write a long body

	burstRetryInterval = 50 * time.Millisecond // pause after a request of a burst that was not served
)

// clients sends requests at a constant rate, each to a random node.
type clients struct {
	recorder *recorder
	nodes    []*node
	faults   activeFaults
	pools    []connPool // by node
	inFlight sync.WaitGroup

	lastNumber atomic.Int64 // number of the latest request
}

// newClients returns clients of some nodes. They send nothing before run.
func newClients(recorder *recorder, nodes []*node) *clients {
	return &clients{recorder: recorder, nodes: nodes, pools: make([]connPool, len(nodes))}
}

// run sends rate requests per second until ctx ends, and waits for the last answers.
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

// sendSequentially sends one request after another to a node until ctx ends. After a request that was not served it pauses
// for burstRetryInterval.
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

// send sends one request to a node, records its result, and reports whether it was served.
func (c *clients) send(n *node) (served bool) {
	request := &Request{ID: fmt.Sprintf("r-%d", c.lastNumber.Add(1)), Node: n.index, NonIdempotent: rand.Float64() < nonIdempotentRatio}
	ownConnection := rand.Float64() < newConnectionRatio
	if request.NonIdempotent {
		request.body, request.Upload = c.slowBody()
		ownConnection = ownConnection || request.Upload
	}
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
	if request.Upload {
		giveUp = giveUp.Add(uploadTime)
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

// connect returns the connection for a request. It opens a new one if ownConnection is set or the pool has none.
func (c *clients) connect(request *Request, ownConnection bool, deadline time.Time) (*clientConn, error) {
	if !ownConnection {
		if conn := c.pools[request.Node].take(); conn != nil {
			return conn, nil
		}
	}
	c.recorder.record(func(*Observations) { request.NewConnection = true })
	return dialNode(c.nodes[request.Node].listen, deadline)
}

// exchange sends a request and reads its response and the complete body.
func (c *clients) exchange(conn *clientConn, request *Request) (response *http.Response, body string, err error) {
	if request.Upload {
		return c.upload(conn, request, request.body)
	}
	r := newHTTPRequest(request, c.nodes[request.Node])
	if err := conn.send(r, func() { c.recordWritten(request) }); err != nil {
		return nil, "", err
	}
	return conn.receive(r, func() { c.recordFirstByte(request, conn) })
}

// recordFirstByte records that the head of a response was read, and leaves time for a long body.
func (c *clients) recordFirstByte(request *Request, conn *clientConn) {
	conn.SetReadDeadline(time.Now().Add(longAnswerTime))
	c.recorder.record(func(*Observations) { request.FirstByte = c.recorder.now() })
}

// recordEnd records the response or the error with which a request ended.
func (c *clients) recordEnd(request *Request, response *http.Response, body string, err error) {
	c.recorder.record(func(*Observations) {
		request.Finished = c.recorder.now()
		if err != nil {
			request.Err, request.ConnectionRefused = err.Error(), isRefused(err)
			return
		}
		request.Status, request.RetryAfter = response.StatusCode, response.Header.Get("Retry-After") != ""
		request.LongAnswer = len(body) >= minLongAnswer
		if response.StatusCode == http.StatusOK && !isAnswerTo(body, request.ID) {
			request.WrongBody = strconv.Quote(body)
			if of, second := strings.CutPrefix(body, secondAnswerPrefix); second {
				request.SecondAnswerOf = of
			}
		}
	})
}

// isRefused reports whether the connection could not be established: it was refused, or it was reset during the handshake,
// which happens if the node closes the listener at that moment.
func isRefused(err error) bool {
	failed := &net.OpError{}
	return errors.Is(err, syscall.ECONNREFUSED) ||
		errors.As(err, &failed) && failed.Op == "dial" && errors.Is(err, syscall.ECONNRESET)
}

// recordWritten records that the last byte of a request was written, from which its deadline counts.
func (c *clients) recordWritten(request *Request) {
	c.recorder.record(func(*Observations) {
		request.Written = c.recorder.now()
		request.Deadline = request.Written + requestBudget
	})
}

// cancelAfterRandomDelay closes the connection of a request after a random time, unless the request has ended by then.
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
