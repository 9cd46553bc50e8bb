package metrics

import (
	"errors"
	"time"
)

const (
	// finalFlushTimeout bounds the wait for the last flush: a destination that is stuck must not hold up the node's end.
	finalFlushTimeout = time.Second
	// warnInterval is between two log lines of dropped batches, at least.
	warnInterval = 10 * time.Second
)

// errLineTooLong says that a line does not fit into a batch. An operator can raise max_batch_bytes.
var errLineTooLong = errors.New("a line is longer than max_batch_bytes")

// Run exports at each flush interval, and early when the buffer of timers fills, until stop is closed, and once more then.
// It must be called once, from a goroutine of its own.
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

// Wait waits for Run to return, for a second at most.
func (r *Reporter) Wait() {
	timeout := time.NewTimer(finalFlushTimeout)
	defer timeout.Stop()
	select {
	case <-r.done:
	case <-timeout.C:
	}
}

// flush exports all that was recorded since the last flush, batch by batch. Recording goes on meanwhile.
func (r *Reporter) flush() {
	now := time.Now().UnixNano()
	r.mu.Lock()
	r.timers, r.flushing = r.flushing[:0], r.timers
	n := len(r.series) // those that are added meanwhile are for the next flush
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
		r.addLine(r.format.timer(r.line[:0], latencyName, tags, t.us, t.at))
	}
	r.sendBatch()
	for _, e := range r.exporters {
		e.endFlush()
	}
}

// flushSeries exports the counters and gauges of one class and tenant. Counters that are zero are left out; a gauge that
// fell to zero is exported once.
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

// addLine adds a line to the batch, which is sent first if the line does not fit. No batch splits a line: a datagram must
// hold whole ones. It takes over the line's memory.
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

// sendBatch hands the batch to every destination. One that fails loses it: there are no retries, which would pile up while a
// destination is down. The number of dropped batches counts as reported once a destination has taken it.
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

// drop counts a dropped batch, and logs how many batches were dropped since the last such line, at most one line in a
// warnInterval.
func (r *Reporter) drop(err error) {
	r.dropped++
	r.droppedSinceWarning++
	if now := time.Now(); now.After(r.nextWarning) {
		r.nextWarning = now.Add(warnInterval)
		r.log.Warn("metrics dropped", "batches", r.droppedSinceWarning, "err", err)
		r.droppedSinceWarning = 0
	}
}
