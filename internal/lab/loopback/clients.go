package loopback

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// clientRequest is what a client wants: its first try and all that follow.
type clientRequest struct {
	model.Arrival
	number int
}

// playClients sends first tries as they come, each on a goroutine of its own, and returns when all requests have ended.
func (w *World) playClients() {
	var clients sync.WaitGroup
	defer clients.Wait()
	if loops := w.scenario.Clients.ClosedLoop; loops > 0 {
		w.playClosedLoops(&clients, loops)
		return
	}
	for number := 1; ; number++ {
		w.mu.Lock()
		a, ok := w.arrivals.Next()
		w.mu.Unlock()
		if !ok || !w.sleep(a.At-w.now()) {
			return
		}
		goTracked(&clients, func() { w.playRequest(&clientRequest{Arrival: a, number: number}) })
	}
}

// playClosedLoops has clients make one request after another, until the arrivals end.
func (w *World) playClosedLoops(clients *sync.WaitGroup, loops int) {
	count := 0 // of requests so far, under the world's lock
	for range loops {
		goTracked(clients, func() {
			for w.now() < w.scenario.Length && w.ctx.Err() == nil {
				w.mu.Lock()
				count++
				r := &clientRequest{Arrival: w.arrivals.Draw(w.now()), number: count}
				w.mu.Unlock()
				w.playRequest(r)
			}
		})
	}
}

// playRequest is a client from its first try to the end of its request. It retries as the scenario says, where that is safe.
func (w *World) playRequest(r *clientRequest) {
	r.At = w.now()
	w.observations.requestBegun(r.At, r.Class, r.Tenant)
	outcome := w.playTries(r)
	w.observations.requestEnded(r, w.now()-r.At, outcome)
}

// playTries makes the tries of a request.
func (w *World) playTries(r *clientRequest) score.Outcome {
	deadline := r.At + w.scenario.Classes[r.Class].Deadline
	for try := 0; ; try++ {
		retries := w.maxRetries()
		left := deadline - w.now()
		if left <= 0 || try > retries || w.ctx.Err() != nil {
			return score.Failed
		}
		timeout := model.TryTimeout(w.scenario, r.Class, try, retries, left)
		w.observations.tryBegun()
		a := w.sendTry(r, try, timeout)
		if a.status == http.StatusOK {
			return score.Served
		}
		pause, retryable := w.pauseBeforeRetry(r, a)
		if !retryable || !w.sleep(pause) {
			return score.Failed
		}
	}
}

// sendTry sends a try to the next node.
func (w *World) sendTry(r *clientRequest, try int, timeout time.Duration) answer {
	n := w.ingress.pickNode()
	if n == nil {
		return answer{connectionRefused: true}
	}
	return n.send(w.ctx, nodeRequest{
		class:    r.Class,
		id:       fmt.Sprintf("%d.%d", r.number, try),
		client:   strconv.Itoa(r.number),
		tenant:   w.scenario.Tenants[r.Tenant].Name,
		work:     r.Work,
		deadline: w.now() + timeout,
		isRetry:  try > 0 && w.scenario.Clients.MarkRetries,
	})
}

// pauseBeforeRetry is how long a client waits after an answer before it retries: the backoff, what Retry-After says if it
// honors that, or nothing in a retry storm. It returns false if a retry could run the request a second time.
func (w *World) pauseBeforeRetry(r *clientRequest, a answer) (pause time.Duration, retryable bool) {
	pause = w.scenario.Clients.Backoff
	switch {
	case a.rejected():
		w.observations.tryRejected(w.now())
		if r.HonoursRetryAfter && a.retryAfter > 0 {
			pause = a.retryAfter
		}
		if w.inRetryStorm() {
			pause = 0
		}
		return pause, true
	case a.connectionRefused:
		return pause, true
	}
	return pause, w.scenario.Classes[r.Class].Effect == balancer.Idempotent
}
