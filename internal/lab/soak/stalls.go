package soak

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is how often the run looks at its clock.
	stallCheckInterval = 5 * time.Millisecond
	// minStall is how much later than due it comes to look, at least, that it counts as stalled.
	minStall = 20 * time.Millisecond
)

// watchStalls records the times in which this process did not come to run, until ctx ends. All stand-ins and clients are in it:
// what they did late then says nothing of a node.
func (r *recorder) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for last := r.now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := r.now()
		if now-last > stallCheckInterval+minStall {
			r.record(func(o *Observations) { o.Stalls = append(o.Stalls, Span{From: last, To: now}) })
		}
		last = now
	}
}

// stalledIn is for how long this process was stalled between two times.
func (o *Observations) stalledIn(from, to time.Duration) (stalled time.Duration) {
	for _, s := range o.Stalls {
		stalled += max(min(s.To, to)-max(s.From, from), 0)
	}
	return stalled
}
