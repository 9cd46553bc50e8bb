package metrics

import (
	"errors"
	"time"
)

const (
	// finalFlushTimeout limits the wait for the last flush: a blocked destination must not delay the node's shutdown.
	finalFlushTimeout = time.Second
	// warnInterval is the minimum time between two warnings about dropped batches.
	warnInterval = 10 * time.Second
)

// errLineTooLong is returned for a line that does not fit into a batch. An operator can raise max_batch_bytes.
var errLineTooLong = errors.New("a line is longer than max_batch_bytes")

// Run exports the metrics at each flush interval, earlier if the timer buffer is half full, and a last time when stop is
// closed. It must be called once, in a separate goroutine.
func (r *Reporter) Run(stop <-chan struct{}) {
	defer close(r.done)
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.flush()
		case <-r.flushEarly:
			r.flush()
		case <-stop:
			r.flush()
			for _, e := range r.exporters {
				e.close()
			}
			return
		}
	}
}

// Wait waits for Run to return, but no longer than a second (finalFlushTimeout).
func (r *Reporter) Wait() {
	timeout := time.NewTimer(finalFlushTimeout)
	defer timeout.Stop()
	select {
	case <-r.done:
	case <-timeout.C:
	}
}

// flush exports everything recorded since the last flush, in batches. Recording continues in the meantime.
func (r *Reporter) flush() {
	now := time.Now().UnixNano()
	r.mu.Lock()
	r.timers, r.flushing = r.flushing[:0], r.timers
	n := len(r.series) // series that are added during this flush are exported by the next one
	r.dropped += r.timersDropped
	r.timersDropped = 0
	noTags := r.series[0].tags
	r.mu.Unlock()
	if r.dropped > 0 {
		r.addLine(r.format.count(r.line[:0], droppedName, noTags, r.dropped, now))
		r.droppedInBatch = r.dropped
	}
	for i := range n {
		r.flushSeries(i, now)
	}
	for _, t := range r.flushing {
		r.mu.Lock()
		tags := r.series[t.tags].tags
		r.mu.Unlock()
		r.addLine(r.format.timer(r.line[:0], latencyName, tags, t.microseconds, t.at))
	}
	r.sendBatch()
	for _, e := range r.exporters {
		e.endFlush()
	}
}

// flushSeries exports the counters and gauges of one class and tenant. It omits counters that are zero, and exports a gauge
// that fell to zero once.
func (r *Reporter) flushSeries(i int, now int64) {
	r.mu.Lock()
	s := *r.series[i]
	r.series[i].counts = [counterCount]int64{}
	r.series[i].reported = s.gauges
	r.mu.Unlock()
	for c, v := range s.counts {
		if v != 0 {
			r.addLine(r.format.count(r.line[:0], counterNames[c], s.tags, v, now))
		}
	}
	for g, v := range s.gauges {
		if v != 0 || s.reported[g] != 0 {
			r.addLine(r.format.gauge(r.line[:0], gaugeNames[g], s.tags, v, now))
		}
	}
}

// addLine adds a line to the batch. If the line does not fit, addLine sends the batch first: a line is never split,
// because a datagram must contain whole lines. The Reporter reuses the memory of line.
func (r *Reporter) addLine(line []byte) {
	r.line = append(line, '\n')
	if len(r.line) > r.maxBatchBytes {
		r.drop(errLineTooLong)
		return
	}
	if len(r.batch)+len(r.line) > r.maxBatchBytes {
		r.sendBatch()
	}
	r.batch = append(r.batch, r.line...)
}

// sendBatch sends the batch to all destinations. A destination whose write fails does not get the batch again, because
// retries would accumulate while it is down. The number of dropped batches counts as reported once one destination has
// received it.
func (r *Reporter) sendBatch() {
	if len(r.batch) == 0 {
		return
	}
	sent := false
	for _, e := range r.exporters {
		if err := e.export(r.batch); err != nil {
			r.drop(err)
		} else {
			sent = true
		}
	}
	if sent {
		r.dropped -= r.droppedInBatch
	}
	r.batch, r.droppedInBatch = r.batch[:0], 0
}

// drop counts a dropped batch. At most once per warnInterval it logs how many batches were dropped since its last warning.
func (r *Reporter) drop(err error) {
	r.dropped++
	r.droppedSinceWarning++
	if now := time.Now(); now.After(r.nextWarning) {
		r.nextWarning = now.Add(warnInterval)
		r.log.Warn("metrics dropped", "batches", r.droppedSinceWarning, "err", err)
		r.droppedSinceWarning = 0
	}
}
