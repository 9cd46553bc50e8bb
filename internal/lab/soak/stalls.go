package soak

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the interval at which the run checks its clock.
	stallCheckInterval = 5 * time.Millisecond
	// minStall is the minimum delay of a check that is recorded as a stall.
	minStall = 20 * time.Millisecond
)

// watchStalls records, until ctx ends, the intervals in which this process was not scheduled. All stand-ins and clients run
// in this process, so delays in these intervals are not caused by a node.
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

// stalledIn returns how long this process was stalled between two times.
func (o *Observations) stalledIn(from, to time.Duration) (stalled time.Duration) {
	for _, s := range o.Stalls {
		stalled += max(min(s.To, to)-max(s.From, from), 0)
	}
	return stalled
}
