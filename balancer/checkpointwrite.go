package balancer

import (
	"maps"
	"slices"
)

// checkpointWriter makes the stored form of a Balancer. Servers, requests and classes are numbered in the
// order in which they are first met, which is that of the stored lists: the order of the steps is part of
// the form.
type checkpointWriter struct {
	balancer *Balancer
	saved    *savedBalancer
	servers  numberTable[*server]
	requests numberTable[*request]
	classes  numberTable[*class]
}

// newCheckpointWriter begins with what stands for itself.
func newCheckpointWriter(b *Balancer) *checkpointWriter {
	return &checkpointWriter{balancer: b, saved: &savedBalancer{
		Now:                  b.now,
		ErrorRate:            b.errorRate,
		LastSuccess:          b.lastSuccess,
		RetryBalance:         b.retryBalance,
		PollFailures:         b.pollFailures,
		NextPoll:             b.nextPoll,
		FaultInjectionsEnded: b.faultInjectionsEnded,
		LeaseExpired:         b.leaseExpired,
		SettingsVersion:      b.settingsVersion,
	}}
}

// write takes all steps. The error is that of a random source.
func (w *checkpointWriter) write() (*savedBalancer, error) {
	w.numberAll()
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

// numberAll numbers what the Balancer knows, in the order of IDs and names.
func (w *checkpointWriter) numberAll() {
	b := w.balancer
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		w.servers.number(b.servers[id])
	}
	w.saved.KnownServers = len(w.servers.list)
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		w.requests.number(b.requests[id])
	}
	w.classes.numbers(b.classList)
	for _, name := range slices.Sorted(maps.Keys(b.previousClasses)) {
		w.saved.PreviousClasses = append(w.saved.PreviousClasses, w.classes.number(b.previousClasses[name]))
	}
}

// writeOverrides writes what operators said, in the order of IDs.
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
		Class:        w.classes.number(r.class),
		FirstAskedAt: r.firstTriedAt,
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
			Server:        w.servers.number(a.server),
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

// writeServers writes all servers, also those that only attempts refer to.
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
			saved.InFlight = append(saved.InFlight, [2]int{w.requests.number(a.request), a.number})
		}
		w.saved.Servers = append(w.saved.Servers, saved)
	}
}

// writeClasses writes what was learned of the classes, and previous classes in full.
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
			InService:         w.servers.numbers(p.inService),
			Preferred:         w.servers.numbers(p.preferred),
			Queued:            w.requests.numbers(p.queued),
			InFlight:          p.inFlight,
			CrossZoneShare:    p.crossZoneShare,
			PreferredLatency:  p.preferredLogLatency,
			OtherLatency:      p.otherLogLatency,
			ServersPerReplica: p.serversPerReplica,
			Window:            p.window,
			LoadRatio:         p.loadRatio,
			UnloadedRatio:     p.unloadedRatio,
			UnloadedSamples:   p.unloadedSamples,
			PeakInFlight:      p.peakInFlight,
			FloorServers:      p.floorServers,
			RoundingDraw:      p.roundingDraw,
			ShedShare:         p.shedShare,
			AllDisabled:       p.allDisabled,
			AllowedZones:      p.allowedZones,
			AllowedKinds:      p.allowedKinds,
		})
	}
}

// writeKeyQueues writes the queues, in the order of keys.
func (w *checkpointWriter) writeKeyQueues() {
	for _, key := range slices.Sorted(maps.Keys(w.balancer.keyQueues)) {
		queue := w.balancer.keyQueues[key]
		w.saved.KeyQueues = append(w.saved.KeyQueues, savedKeyQueue{
			Key:        key,
			Requests:   w.requests.numbers(queue.requests),
			QuietUntil: queue.quietUntil,
		})
	}
}

// writeRandomSources writes where the random streams are, and the state of the fault injections.
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
		Delayed:     w.requests.numbers(faults.delayed),
	}
	w.saved.FaultInjector.RNGState, err = faults.rngSource.MarshalBinary()
	return err
}

// numberTable numbers values in the order in which it is first asked for them. The zero value is empty.
type numberTable[T comparable] struct {
	list    []T
	indexes map[T]int // in list
}

// number is the number of a value, a new one if it has none.
func (t *numberTable[T]) number(value T) int {
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

// numbers are the numbers of values, nil for none.
func (t *numberTable[T]) numbers(values []T) (numbers []int) {
	for _, v := range values {
		numbers = append(numbers, t.number(v))
	}
	return numbers
}
