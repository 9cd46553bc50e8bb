package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	nodeHeader         = "X-Soak-Node" // which node a request was handed to
	requestBudget      = 2 * time.Second
	nonIdempotentRatio = 0.4
	newConnectionRatio = 0.3 // of the requests, on connections of their own
	answerGrace        = 2 * time.Second
)

// clients ask the nodes at a steady rate, each request of one drawn node.
type clients struct {
	recorder *recorder
	nodes    []*node
	faults   activeFaults
	pooled   *http.Client
	unpooled *http.Client
	inFlight sync.WaitGroup
}

func newClients(rec *recorder, nodes []*node) *clients {
	return &clients{recorder: rec, nodes: nodes,
		pooled:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}},
		unpooled: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run asks until ctx ends and waits for the last answers.
func (c *clients) run(ctx context.Context, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	defer c.inFlight.Wait()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			c.inFlight.Go(func() { c.send(i) })
		case <-ctx.Done():
			return
		}
	}
}

// ask makes one request and notes what became of it.
func (c *clients) send(i int) {
	n := c.nodes[rand.IntN(len(c.nodes))]
	a := &Request{ID: fmt.Sprintf("r-%d", i), Node: n.index, NonIdempotent: rand.Float64() < nonIdempotentRatio, NewConnection: rand.Float64() < newConnectionRatio}
	method, class, body := http.MethodGet, "read", ""
	if a.NonIdempotent {
		method, class, body = http.MethodPost, "write", "x"
	}
	ctx, leave := context.WithTimeout(context.Background(), requestBudget+answerGrace)
	defer leave()
	if _, soon := c.faults.hits(ClientCancel); soon {
		time.AfterFunc(rand.N(50*time.Millisecond), func() {
			c.recorder.record(func(*Observations) {
				if a.Finished == 0 {
					a.ClientGone = c.recorder.now()
				}
			})
			leave()
		})
	}
	r, err := http.NewRequestWithContext(ctx, method, n.url()+"/api", strings.NewReader(body))
	if err != nil {
		panic(err) // only if a node's address is none
	}
	if body == "" {
		r.Body, r.GetBody, r.ContentLength = nil, nil, 0
	}
	r.GetBody = nil // a request is not sent again by the client's library
	r.Header.Set("X-Call-Id", a.ID)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", requestBudget.Milliseconds()))
	r.Header.Set(nodeHeader, fmt.Sprint(n.index))
	a.At = c.recorder.now()
	a.Deadline = a.At + requestBudget
	c.recorder.record(func(f *Observations) { f.Requests = append(f.Requests, a) })
	client := c.pooled
	if a.NewConnection {
		client = c.unpooled
	}
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	c.recorder.record(func(*Observations) {
		a.Finished = c.recorder.now()
		if err != nil {
			a.Err, a.ConnectionRefused = err.Error(), errors.Is(err, syscall.ECONNREFUSED)
			return
		}
		a.Status, a.RetryAfter = resp.StatusCode, resp.Header.Get("Retry-After") != ""
	})
}
