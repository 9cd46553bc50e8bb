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

// root is what a client wants: its first try and all that follow.
type root struct {
	model.Arrival
	number int
}

// front deals clients out over the nodes that it believes to serve.
type front struct {
	mu    sync.Mutex
	nodes []*process
	knows []bool
	next  int
}

func (f *front) deal() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.nodes {
		f.next = (f.next + 1) % len(f.nodes)
		if f.knows[f.next] {
			return f.nodes[f.next]
		}
	}
	return nil
}

func (f *front) hear(i int, serves bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knows[i] = serves
}

// clients sends first tries as they come, each on a goroutine of its own, and returns when all are over.
func (w *World) clients() {
	var all sync.WaitGroup
	defer all.Wait()
	n := 0
	if loops := w.s.Clients.ClosedLoop; loops > 0 {
		for range loops {
			spawn(&all, func() {
				for w.now() < w.s.Length && w.ctx.Err() == nil {
					w.mu.Lock()
					n++
					r := &root{Arrival: w.arrivals.Draw(w.now()), number: n}
					w.mu.Unlock()
					w.ask(r)
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
		r := &root{Arrival: a, number: n}
		spawn(&all, func() { w.ask(r) })
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

// ask is a client from its first try to the end: it tries again as the scenario says, where that is safe.
func (w *World) ask(r *root) {
	r.At = w.now()
	w.facts.asked(r.At, r.Class, r.Tenant)
	class := w.s.Classes[r.Class]
	last := r.At + class.Deadline
	for try := 0; ; try++ {
		retries := w.retries()
		left := last - w.now()
		if left <= 0 || try > retries || w.ctx.Err() != nil {
			w.facts.over(r, w.now()-r.At, score.Failed)
			return
		}
		budget := model.Budget(w.s, r.Class, try, retries, left)
		w.facts.try()
		var a reply
		if n := w.front.deal(); n != nil {
			a = n.send(w.ctx, r.Class, fmt.Sprintf("%d.%d", r.number, try), strconv.Itoa(r.number),
				w.s.Tenants[r.Tenant].Name, r.Work, w.now()+budget, try > 0 && w.s.Clients.Marks)
		} else {
			a = reply{refused: true}
		}
		wait := w.s.Clients.Backoff
		switch {
		case a.status == 200:
			w.facts.over(r, w.now()-r.At, score.Served)
			return
		case a.status == 429 || a.status == 503:
			w.facts.refused(w.now())
			if r.Honour && a.retryAfter > 0 {
				wait = a.retryAfter
			}
			if w.stormy() {
				wait = 0
			}
		case !a.refused && class.Effect != balancer.Idempotent:
			w.facts.over(r, w.now()-r.At, score.Failed)
			return
		}
		if !w.sleep(wait) {
			w.facts.over(r, w.now()-r.At, score.Failed)
			return
		}
	}
}
