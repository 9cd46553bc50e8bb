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
	nodeHeader   = "X-Soak-Node" // which node a request was handed to
	requestTime  = 2 * time.Second
	unsafeShare  = 0.4
	freshShare   = 0.3 // of the requests, on connections of their own
	clientsAwait = 2 * time.Second
)

// clients ask the nodes at a steady rate, each request of one drawn node.
type clients struct {
	rec    *record
	nodes  []*node
	faults faults
	kept   *http.Client
	fresh  *http.Client
	asking sync.WaitGroup
}

func newClients(rec *record, nodes []*node) *clients {
	return &clients{rec: rec, nodes: nodes,
		kept:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run asks until ctx ends and waits for the last answers.
func (c *clients) run(ctx context.Context, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	defer c.asking.Wait()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			c.asking.Go(func() { c.ask(i) })
		case <-ctx.Done():
			return
		}
	}
}

// ask makes one request and notes what became of it.
func (c *clients) ask(i int) {
	n := c.nodes[rand.IntN(len(c.nodes))]
	a := &Asked{ID: fmt.Sprintf("r-%d", i), Node: n.index, Unsafe: rand.Float64() < unsafeShare, Fresh: rand.Float64() < freshShare}
	method, class, body := http.MethodGet, "read", ""
	if a.Unsafe {
		method, class, body = http.MethodPost, "write", "x"
	}
	ctx, leave := context.WithTimeout(context.Background(), requestTime+clientsAwait)
	defer leave()
	if _, soon := c.faults.meets(LeaveSoon); soon {
		time.AfterFunc(rand.N(50*time.Millisecond), func() {
			c.rec.note(func(*Facts) {
				if a.Over == 0 {
					a.Left = c.rec.now()
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
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", requestTime.Milliseconds()))
	r.Header.Set(nodeHeader, fmt.Sprint(n.index))
	a.At = c.rec.now()
	a.Deadline = a.At + requestTime
	c.rec.note(func(f *Facts) { f.Asked = append(f.Asked, a) })
	client := c.kept
	if a.Fresh {
		client = c.fresh
	}
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	c.rec.note(func(*Facts) {
		a.Over = c.rec.now()
		if err != nil {
			a.Err, a.Refused = err.Error(), errors.Is(err, syscall.ECONNREFUSED)
			return
		}
		a.Status, a.Advice = resp.StatusCode, resp.Header.Get("Retry-After") != ""
	})
}
