package loopback

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// request is what a client wants: its first try and all that follow.
type clientRequest struct {
	model.Arrival
	number int
}

// ingress deals clients out over the nodes that it believes to serve.
type ingress struct {
	mu              sync.Mutex
	nodes           []*process
	believedServing []bool
	lastPicked      int
}

func (f *ingress) pickNode() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.nodes {
		f.lastPicked = (f.lastPicked + 1) % len(f.nodes)
		if f.believedServing[f.lastPicked] {
			return f.nodes[f.lastPicked]
		}
	}
	return nil
}

func (f *ingress) setServing(i int, serves bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.believedServing[i] = serves
}

// playClients sends first tries as they come, each on a goroutine of its own, and returns when all are over.
func (w *World) playClients() {
	var all sync.WaitGroup
	defer all.Wait()
	n := 0
	if loops := w.scenario.Clients.ClosedLoop; loops > 0 {
		for range loops {
			goTracked(&all, func() {
				for w.now() < w.scenario.Length && w.ctx.Err() == nil {
					w.mu.Lock()
					n++
					r := &clientRequest{Arrival: w.arrivals.Draw(w.now()), number: n}
					w.mu.Unlock()
					w.playRequest(r)
				}
			})
		}
		return
	}
	for {
		w.mu.Lock()
		a, ok := w.arrivals.Next()
		w.mu.Unlock()
		if !ok || !w.sleep(a.At-w.now()) {
			return
		}
		n++
		r := &clientRequest{Arrival: a, number: n}
		goTracked(&all, func() { w.playRequest(r) })
	}
}

// sleep waits. False: the world has ended meanwhile.
func (w *World) sleep(d time.Duration) bool {
	if d <= 0 {
		return w.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// playRequest is a client from its first try to the end: it tries again as the scenario says, where that is safe.
func (w *World) playRequest(r *clientRequest) {
	r.At = w.now()
	w.observations.requestBegun(r.At, r.Class, r.Tenant)
	class := w.scenario.Classes[r.Class]
	last := r.At + class.Deadline
	for try := 0; ; try++ {
		retries := w.maxRetries()
		left := last - w.now()
		if left <= 0 || try > retries || w.ctx.Err() != nil {
			w.observations.requestEnded(r, w.now()-r.At, score.Failed)
			return
		}
		budget := model.TryTimeout(w.scenario, r.Class, try, retries, left)
		w.observations.tryBegun()
		var a answer
		if n := w.ingress.pickNode(); n != nil {
			a = n.send(w.ctx, r.Class, fmt.Sprintf("%d.%d", r.number, try), strconv.Itoa(r.number),
				w.scenario.Tenants[r.Tenant].Name, r.Work, w.now()+budget, try > 0 && w.scenario.Clients.MarkRetries)
		} else {
			a = answer{connectionRefused: true}
		}
		wait := w.scenario.Clients.Backoff
		switch {
		case a.status == 200:
			w.observations.requestEnded(r, w.now()-r.At, score.Served)
			return
		case a.status == 429 || a.status == 503:
			w.observations.tryRejected(w.now())
			if r.HonoursRetryAfter && a.retryAfter > 0 {
				wait = a.retryAfter
			}
			if w.inRetryStorm() {
				wait = 0
			}
		case !a.connectionRefused && class.Effect != balancer.Idempotent:
			w.observations.requestEnded(r, w.now()-r.At, score.Failed)
			return
		}
		if !w.sleep(wait) {
			w.observations.requestEnded(r, w.now()-r.At, score.Failed)
			return
		}
	}
}
