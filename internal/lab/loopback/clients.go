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

// clientRequest is a client's request, with all its tries.
type clientRequest struct {
	model.Arrival
	number int
}

// runClients starts each request at its arrival time on a separate goroutine, and returns when all requests have ended.
func (w *World) runClients() {
	var clients sync.WaitGroup
	defer clients.Wait()
	if clientCount := w.scenario.Clients.ClosedLoop; clientCount > 0 {
		w.runClosedLoopClients(&clients, clientCount)
		return
	}
	for number := 1; ; number++ {
		w.mu.Lock()
		a, ok := w.arrivals.Next()
		w.mu.Unlock()
		if !ok || !w.sleep(a.At-w.now()) {
			return
		}
		goTracked(&clients, func() { w.runRequest(&clientRequest{Arrival: a, number: number}) })
	}
}

// runClosedLoopClients runs clients that send one request after another until the scenario's length has passed.
func (w *World) runClosedLoopClients(clients *sync.WaitGroup, clientCount int) {
	count := 0 // number of requests so far, guarded by the world's lock
	for range clientCount {
		goTracked(clients, func() {
			for w.now() < w.scenario.Length && w.ctx.Err() == nil {
				w.mu.Lock()
				count++
				r := &clientRequest{Arrival: w.arrivals.Draw(w.now()), number: count}
				w.mu.Unlock()
				w.runRequest(r)
			}
		})
	}
}

// runRequest runs a client's request from its first try to its end, with the retries that the scenario allows.
func (w *World) runRequest(r *clientRequest) {
	r.At = w.now()
	w.observations.requestBegun(r.At, r.Class, r.Tenant)
	outcome := w.runTries(r)
	w.observations.requestEnded(r, w.now()-r.At, outcome)
}

// runTries makes the tries of a request and returns the request's outcome.
func (w *World) runTries(r *clientRequest) score.Outcome {
	deadline := r.At + w.scenario.Classes[r.Class].Deadline
	for try := 0; ; try++ {
		retries := w.maxRetries()
		left := deadline - w.now()
		if left <= 0 || try > retries || w.ctx.Err() != nil {
			return score.Failed
		}
		timeout := model.TryTimeout(w.scenario, r.Class, try, retries, left)
		w.observations.tryBegun()
		resp := w.sendTry(r, try, timeout)
		if resp.status == http.StatusOK {
			return score.Served
		}
		pause, retryable := w.pauseBeforeRetry(r, resp)
		if !retryable || !w.sleep(pause) {
			return score.Failed
		}
	}
}

// sendTry sends one try to the ingress's next node.
func (w *World) sendTry(r *clientRequest, try int, timeout time.Duration) response {
	n := w.ingress.pickNode()
	if n == nil {
		return response{connectionRefused: true}
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

// pauseBeforeRetry returns how long a client waits after a response before it retries. It is the backoff, or
// Retry-After if the client honors it; in a retry storm there is no pause after a rejection. retryable is false if a
// retry could execute the request a second time.
func (w *World) pauseBeforeRetry(r *clientRequest, resp response) (pause time.Duration, retryable bool) {
	pause = w.scenario.Clients.Backoff
	switch {
	case resp.rejected():
		w.observations.tryRejected(w.now())
		if r.HonoursRetryAfter && resp.retryAfter > 0 {
			pause = resp.retryAfter
		}
		if w.inRetryStorm() {
			pause = 0
		}
		return pause, true
	case resp.connectionRefused:
		return pause, true
	}
	return pause, w.scenario.Classes[r.Class].Effect == balancer.Idempotent
}
