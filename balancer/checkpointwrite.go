package balancer

import (
	"maps"
	"slices"
)

// checkpointWriter builds the stored state of a Balancer. Servers, requests and classes get their indexes in
// the order in which they are first encountered, which is the order of the stored lists. The order of the
// steps is therefore part of the format.
type checkpointWriter struct {
	balancer *Balancer
	saved    *savedBalancer
	servers  indexTable[*server]
	requests indexTable[*request]
	classes  indexTable[*class]
}

// newCheckpointWriter starts with the values that refer to nothing else.
func newCheckpointWriter(b *Balancer) *checkpointWriter {
	return &checkpointWriter{balancer: b, saved: &savedBalancer{
		Now:                  b.now,
		ErrorRate:            b.errorRate,
		LastSuccess:          b.lastSuccess,
		RetryBalance:         b.retryBalance,
		PollFailures:         b.pollFailures,
		NextPoll:             b.nextPoll,
		FaultInjectionsEnded: b.faultInjectionsEnded,
		AnswerBy:             b.answerBy,
		LeaseExpired:         b.leaseExpired,
		SettingsVersion:      b.settingsVersion,
	}}
}

// write returns the whole stored state. An error comes from marshaling a random source.
func (w *checkpointWriter) write() (*savedBalancer, error) {
	w.assignIndexes()
	w.writeOverrides()
	w.writeRequests()
	w.writeServers()
	w.writeClasses()
	w.writePools()
	w.writeKeyQueues()
	if err := w.writeRandomSources(); err != nil {
		return nil, err
	}
	return w.saved, nil
}

// assignIndexes assigns indexes to all that the Balancer knows, in the order of IDs and names.
func (w *checkpointWriter) assignIndexes() {
	b := w.balancer
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		w.servers.indexOf(b.servers[id])
	}
	w.saved.KnownServers = len(w.servers.list)
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		w.requests.indexOf(b.requests[id])
	}
	w.classes.indexesOf(b.classList)
	for _, name := range slices.Sorted(maps.Keys(b.previousClasses)) {
		w.saved.PreviousClasses = append(w.saved.PreviousClasses, w.classes.indexOf(b.previousClasses[name]))
	}
}

// writeOverrides writes the overrides in the order of server IDs.
func (w *checkpointWriter) writeOverrides() {
	for _, id := range slices.Sorted(maps.Keys(w.balancer.overrides)) {
		o := w.balancer.overrides[id]
		saved := savedOverride{ID: id, Disabled: o.disabled, EnabledAt: o.enabledAt}
		w.saved.Overrides = append(w.saved.Overrides, saved)
	}
}

func (w *checkpointWriter) writeRequests() {
	for _, r := range w.requests.list {
		w.saved.Requests = append(w.saved.Requests, w.savedRequest(r))
	}
}

func (w *checkpointWriter) savedRequest(r *request) savedRequest {
	saved := savedRequest{
		ID:           []byte(r.id),
		Class:        w.classes.indexOf(r.class),
		FirstTriedAt: r.firstTriedAt,
		Deadline:     r.deadline,
		ClientRetry:  r.clientRetry,
		Answered:     r.answered,
		Streaming:    r.streaming,
		TimerAt:      r.timerAt,
		DelayedUntil: r.delayedUntil,
		MaxAttempts:  r.maxAttempts,
		StreamedBody: r.streamedBody,
	}
	if r.keyQueue != nil {
		saved.KeyQueue = &r.keyQueue.key
	}
	for _, a := range r.attempts {
		saved.Attempts = append(saved.Attempts, savedAttempt{
			Server:        w.servers.indexOf(a.server),
			SentAt:        a.sentAt,
			Zone:          a.zone,
			Cell:          a.cell,
			ServerStart:   a.serverStart,
			Ended:         a.ended,
			NeverRan:      a.neverRan,
			OutsideWindow: a.outsideWindow,
		})
	}
	return saved
}

// writeServers writes all servers, including those that only attempts refer to.
func (w *checkpointWriter) writeServers() {
	for _, s := range w.servers.list {
		saved := savedServer{
			Server:                s.Server,
			Listed:                s.listed,
			ConsecutiveFailures:   s.consecutiveFailures,
			EjectionLevel:         s.ejectionLevel,
			ConsecutiveSuccesses:  s.consecutiveSuccesses,
			EjectedUntil:          s.ejectedUntil,
			LastSuccess:           s.lastSuccess,
			CapacityLimit:         s.capacityLimit,
			CapacityLimitUntil:    s.capacityLimitUntil,
			ConsecutiveRejections: s.consecutiveRejections,
			EnabledAt:             s.enabledAt,
			FirstRequestDue:       s.firstRequestDue,
		}
		for _, a := range s.inFlight {
			saved.InFlight = append(saved.InFlight, [2]int{w.requests.indexOf(a.request), a.number})
		}
		w.saved.Servers = append(w.saved.Servers, saved)
	}
}

// writeClasses writes what was learned about the classes, and previous classes in full.
func (w *checkpointWriter) writeClasses() {
	b := w.balancer
	for i, c := range w.classes.list {
		saved := savedClass{
			MeanLatency:      c.meanLatency,
			LatencyDeviation: c.latencyDeviation,
			Samples:          c.samples,
			Arrivals:         c.arrivals,
			Served:           c.served,
			TypicalBudget:    c.typicalBudget,
		}
		if i >= len(b.classList) {
			saved.PreviousClass, saved.Pool = &c.Class, slices.Index(b.pools, c.pool)
		}
		w.saved.Classes = append(w.saved.Classes, saved)
	}
}

func (w *checkpointWriter) writePools() {
	for _, p := range w.balancer.pools {
		w.saved.Pools = append(w.saved.Pools, savedPool{
			InService:           w.servers.indexesOf(p.inService),
			Preferred:           w.servers.indexesOf(p.preferred),
			Queued:              w.requests.indexesOf(p.queued),
			InFlight:            p.inFlight,
			CrossZoneShare:      p.crossZoneShare,
			PreferredLogLatency: p.preferredLogLatency,
			OtherLogLatency:     p.otherLogLatency,
			ServersPerReplica:   p.serversPerReplica,
			Window:              p.window,
			LoadRatio:           p.loadRatio,
			UnloadedRatio:       p.unloadedRatio,
			UnloadedSamples:     p.unloadedSamples,
			PeakInFlight:        p.peakInFlight,
			FloorServers:        p.floorServers,
			RoundingDraw:        p.roundingDraw,
			ShedShare:           p.shedShare,
			AllDisabled:         p.allDisabled,
			AllowedZones:        p.allowedZones,
			AllowedKinds:        p.allowedKinds,
		})
	}
}

// writeKeyQueues writes the key queues in the order of their keys.
func (w *checkpointWriter) writeKeyQueues() {
	for _, key := range slices.Sorted(maps.Keys(w.balancer.keyQueues)) {
		queue := w.balancer.keyQueues[key]
		w.saved.KeyQueues = append(w.saved.KeyQueues, savedKeyQueue{
			Key:        key,
			Requests:   w.requests.indexesOf(queue.requests),
			QuietUntil: queue.quietUntil,
		})
	}
}

// writeRandomSources writes the states of the random sources and of the fault injections.
func (w *checkpointWriter) writeRandomSources() (err error) {
	if w.saved.RNGState, err = w.balancer.rngSource.MarshalBinary(); err != nil {
		return err
	}
	faults := w.balancer.faults
	if faults == nil {
		return nil
	}
	w.saved.FaultInjector = &savedFaultInjector{
		ActiveUntil: faults.activeUntil,
		Delayed:     w.requests.indexesOf(faults.delayed),
	}
	w.saved.FaultInjector.RNGState, err = faults.rngSource.MarshalBinary()
	return err
}

// indexTable assigns indexes to values in the order in which they are first looked up. The zero value is
// empty.
type indexTable[T comparable] struct {
	list    []T
	indexes map[T]int // in list
}

// indexOf returns the index of a value, and assigns a new one if it has none.
func (t *indexTable[T]) indexOf(value T) int {
	i, ok := t.indexes[value]
	if !ok {
		if t.indexes == nil {
			t.indexes = map[T]int{}
		}
		i = len(t.list)
		t.indexes[value] = i
		t.list = append(t.list, value)
	}
	return i
}

// indexesOf returns the indexes of values, nil if there are none.
func (t *indexTable[T]) indexesOf(values []T) (indexes []int) {
	for _, v := range values {
		indexes = append(indexes, t.indexOf(v))
	}
	return indexes
}
