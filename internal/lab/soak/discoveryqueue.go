package soak

import (
	"net/http"
	"time"
)

// awaitTurn blocks a call for as long as the active faults require. It returns false if it has rejected the call or the
// client is gone. A call that waits for its turn when an outage begins is reset, like a watch.
func (d *discovery) awaitTurn(w http.ResponseWriter, r *http.Request) bool {
	outageBegins, available := d.awaitOutageEnd(r)
	if !available {
		reject(w)
		return false
	}
	wait, rejected := d.queueTime()
	select {
	case <-time.After(wait):
	case <-outageBegins:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return false
	}
	if rejected {
		reject(w)
	}
	return !rejected
}

// reject answers a call that could not be handled in time.
func reject(w http.ResponseWriter) { http.Error(w, "too busy", http.StatusServiceUnavailable) }

// awaitOutageEnd holds a call while an outage holds calls. It returns false if the call has waited for maxQueueTime or its
// client is gone; otherwise it returns true and a channel that is closed when the next such outage begins.
func (d *discovery) awaitOutageEnd(r *http.Request) (outageBegins <-chan struct{}, available bool) {
	timeout := time.After(maxQueueTime)
	for {
		d.mu.Lock()
		holding, changed := d.holding, d.holdChanged
		d.mu.Unlock()
		if !holding {
			return changed, true
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, false
		case <-r.Context().Done():
			return nil, false
		}
	}
}

// queueTime returns how long a call that arrives now waits, and whether it is rejected after that.
func (d *discovery) queueTime() (wait time.Duration, rejected bool) {
	if f, slow := d.faults.find(DiscoverySlow); slow {
		wait = f.Wait
	}
	f, delayedRejection := d.faults.find(DiscoveryDelayedRejection)
	if !delayedRejection {
		var overloaded bool
		if f, overloaded = d.faults.find(DiscoveryOverload); !overloaded {
			return wait, false
		}
	}
	queued, rejected := d.enqueue(f.Wait)
	switch {
	case !rejected:
		return wait + queued, false
	case delayedRejection:
		return maxQueueTime, true
	}
	return 0, true
}

// enqueue adds a call with a service time to the queue and returns the time until it is handled. A call that arrives while
// the queue is longer than maxQueueTime is rejected.
func (d *discovery) enqueue(serviceTime time.Duration) (wait time.Duration, rejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.queueFreeAt.Before(now) {
		d.queueFreeAt = now
	}
	if d.queueFreeAt.Sub(now) > maxQueueTime {
		return 0, true
	}
	d.queueFreeAt = d.queueFreeAt.Add(serviceTime)
	return min(d.queueFreeAt.Sub(now), maxQueueTime), false
}
