package engine

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	// recentRunDuration is how long the ID of an abandoned run is remembered. Clients that come again do so at once, or within
	// the deadline of their request.
	recentRunDuration = time.Minute

	// maxRecentRuns is the maximum number of IDs that are remembered. Beyond it, the oldest is forgotten.
	maxRecentRuns = 2048
)

// recentRuns remembers the IDs of abandoned runs: requests whose clients left without an answer, that may have run, and that must
// not run again. A client that does not know what became of its request may send it again on another connection, or to the
// other process of a hot restart.
type recentRuns struct {
	byID   map[string]time.Duration // when each was remembered last, on the engine's clock
	oldest []recentRun              // in the order in which they were remembered
}

// recentRun is one entry of recentRuns.oldest.
type recentRun struct {
	id string
	at time.Duration
}

func newRecentRuns() recentRuns { return recentRuns{byID: map[string]time.Duration{}} }

// add remembers an ID.
func (r *recentRuns) add(id string, now time.Duration) {
	r.byID[id] = now
	r.oldest = append(r.oldest, recentRun{id, now})
	r.expire(now)
}

// contains reports whether an ID is remembered.
func (r *recentRuns) contains(id string, now time.Duration) bool {
	r.expire(now)
	_, found := r.byID[id]
	return found
}

// expire forgets entries that are too old or too many.
func (r *recentRuns) expire(now time.Duration) {
	for len(r.oldest) > 0 && (len(r.oldest) > maxRecentRuns || now-r.oldest[0].at > recentRunDuration) {
		first := r.oldest[0]
		r.oldest = r.oldest[1:]
		if r.byID[first.id] == first.at { // otherwise it was remembered again later
			delete(r.byID, first.id)
		}
	}
}

// reportAbandonedRun reports a call whose client has left, if the call may still run and must not run again. The other process of
// the node has to know before the attempt ends.
func (e *Engine) reportAbandonedRun(c *Call) {
	if !c.Retryable && c.outstanding > 0 && e.OnAbandonedRun != nil {
		e.OnAbandonedRun(c.Request.ID)
	}
}

// rememberAbandonedRun remembers the ID of a call that is removed, if its client has left, and it may have run and must not run
// again.
func (e *Engine) rememberAbandonedRun(c *Call) {
	if !c.Retryable && c.mayHaveRun && c.clientGoneAt.Load() != 0 {
		e.recentRuns.add(c.Request.ID, e.Clock.Now())
	}
}

// RememberRun has a request with this ID answered with DuplicateID, because it may have run in another process of the node.
func (e *Engine) RememberRun(ctx context.Context, id string) error {
	return e.runCommand(ctx, func() error {
		e.recentRuns.add(id, e.Clock.Now())
		return nil
	})
}

// AbandonedRuns returns the IDs of the requests that must not run again in another process of the node: those that are remembered,
// and those whose clients have left while an attempt is outstanding.
func (e *Engine) AbandonedRuns(ctx context.Context) (ids []string, err error) {
	err = e.runCommand(ctx, func() error {
		e.recentRuns.expire(e.Clock.Now())
		ids = slices.Collect(maps.Keys(e.recentRuns.byID))
		for id, c := range e.calls {
			if !c.Retryable && c.clientGoneAt.Load() != 0 {
				ids = append(ids, id)
			}
		}
		return nil
	})
	return ids, err
}
