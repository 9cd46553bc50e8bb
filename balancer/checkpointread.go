package balancer

import (
	"errors"
	"fmt"
	"slices"
)

// Reasons why stored data is not a checkpoint of a Balancer with the given settings.
var (
	errSettingsMismatch = errors.New("classes, pools or fault injections do not match the settings")
	errPreviousClass    = errors.New("a previous class has no settings or no pool")
	errUnknownKeyQueue  = errors.New("a request refers to a key queue that does not exist")
)

// checkpointReader fills a new Balancer from its stored state. Each list is restored before any other that
// refers to it. The first reference that is out of range is kept as the error.
type checkpointReader struct {
	balancer *Balancer
	saved    *savedBalancer
	servers  []*server
	requests []*request
	classes  []*class
	err      error
}

func newCheckpointReader(b *Balancer, saved *savedBalancer) *checkpointReader {
	return &checkpointReader{balancer: b, saved: saved}
}

// read restores the whole state.
func (r *checkpointReader) read() error {
	if err := r.balancer.rngSource.UnmarshalBinary(r.saved.RNGState); err != nil {
		return err
	}
	if err := r.checkMatchesSettings(); err != nil {
		return err
	}
	r.readScalars()
	r.readOverrides()
	r.addPools()
	if err := r.readClasses(); err != nil {
		return err
	}
	r.readServers()
	r.readRequests()
	r.readKeyQueues()
	r.readInFlight()
	r.readPools()
	if err := r.readFaultInjector(); err != nil {
		return err
	}
	return r.err
}

// checkMatchesSettings checks that the stored state has the classes, pools and fault injections of the
// settings.
func (r *checkpointReader) checkMatchesSettings() error {
	b, saved := r.balancer, r.saved
	if len(saved.Classes) < len(b.classList) || len(saved.Pools) < len(b.pools) ||
		(saved.FaultInjector != nil) != (b.faults != nil) {
		return errSettingsMismatch
	}
	if saved.KnownServers < 0 || saved.KnownServers > len(saved.Servers) {
		return fmt.Errorf("known server count %d is out of range for %d servers",
			saved.KnownServers, len(saved.Servers))
	}
	return nil
}

func (r *checkpointReader) readScalars() {
	b, saved := r.balancer, r.saved
	b.now = saved.Now
	b.errorRate = saved.ErrorRate
	b.lastSuccess = saved.LastSuccess
	b.retryBalance = saved.RetryBalance
	b.pollFailures = saved.PollFailures
	b.nextPoll = saved.NextPoll
	b.faultInjectionsEnded = saved.FaultInjectionsEnded
	b.answerBy = saved.AnswerBy
	b.leaseExpired = saved.LeaseExpired
	b.settingsVersion = saved.SettingsVersion
}

func (r *checkpointReader) readOverrides() {
	for _, saved := range r.saved.Overrides {
		r.balancer.overrides[saved.ID] = override{disabled: saved.Disabled, enabledAt: saved.EnabledAt}
	}
}

// addPools adds the stored pools that no class of the settings uses any more.
func (r *checkpointReader) addPools() {
	b := r.balancer
	for _, saved := range r.saved.Pools[len(b.pools):] {
		b.pools = append(b.pools, &pool{allowedZones: saved.AllowedZones, allowedKinds: saved.AllowedKinds})
	}
}

// readClasses restores what was learned about the classes of the settings, and the previous classes in full.
func (r *checkpointReader) readClasses() error {
	b := r.balancer
	r.classes = slices.Clone(b.classList)
	for i, saved := range r.saved.Classes {
		if i >= len(b.classList) {
			if saved.PreviousClass == nil || saved.Pool < 0 || saved.Pool >= len(b.pools) {
				return errPreviousClass
			}
			r.classes = append(r.classes, &class{Class: *saved.PreviousClass, pool: b.pools[saved.Pool]})
		}
		c := r.classes[i]
		c.meanLatency = saved.MeanLatency
		c.latencyDeviation = saved.LatencyDeviation
		c.samples = saved.Samples
		c.arrivals = saved.Arrivals
		c.served = saved.Served
		c.typicalBudget = saved.TypicalBudget
	}
	for _, c := range resolve(r, "class", r.classes, r.saved.PreviousClasses) {
		if b.previousClasses == nil {
			b.previousClasses = map[string]*class{}
		}
		b.previousClasses[c.Name] = c
	}
	return nil
}

func (r *checkpointReader) readServers() {
	for i, saved := range r.saved.Servers {
		s := &server{
			Server:                saved.Server,
			listed:                saved.Listed,
			consecutiveFailures:   saved.ConsecutiveFailures,
			ejectionLevel:         saved.EjectionLevel,
			consecutiveSuccesses:  saved.ConsecutiveSuccesses,
			ejectedUntil:          saved.EjectedUntil,
			lastSuccess:           saved.LastSuccess,
			capacityLimit:         saved.CapacityLimit,
			capacityLimitUntil:    saved.CapacityLimitUntil,
			consecutiveRejections: saved.ConsecutiveRejections,
			enabledAt:             saved.EnabledAt,
			firstRequestDue:       saved.FirstRequestDue,
		}
		r.servers = append(r.servers, s)
		if i < r.saved.KnownServers {
			r.balancer.servers[s.ID] = s
		}
	}
}

func (r *checkpointReader) readRequests() {
	for _, saved := range r.saved.Requests {
		q := r.request(saved)
		r.requests = append(r.requests, q)
		r.balancer.requests[q.id] = q
	}
}

// request returns a request made from its stored state, without its queues.
func (r *checkpointReader) request(saved savedRequest) *request {
	q := &request{
		id:           string(saved.ID),
		class:        resolveOne(r, "class", r.classes, saved.Class),
		firstTriedAt: saved.FirstTriedAt,
		deadline:     saved.Deadline,
		clientRetry:  saved.ClientRetry,
		answered:     saved.Answered,
		streaming:    saved.Streaming,
		timerAt:      saved.TimerAt,
		streamedBody: saved.StreamedBody,
		maxAttempts:  saved.MaxAttempts,
		delayedUntil: saved.DelayedUntil,
	}
	for n, a := range saved.Attempts {
		q.attempts = append(q.attempts, &attempt{
			request:       q,
			server:        resolveOne(r, "server", r.servers, a.Server),
			number:        n,
			sentAt:        a.SentAt,
			zone:          a.Zone,
			cell:          a.Cell,
			serverStart:   a.ServerStart,
			ended:         a.Ended,
			neverRan:      a.NeverRan,
			outsideWindow: a.OutsideWindow,
		})
	}
	return q
}

func (r *checkpointReader) readKeyQueues() {
	queues := r.balancer.keyQueues
	for _, saved := range r.saved.KeyQueues {
		queues[saved.Key] = &keyQueue{
			key:        saved.Key,
			requests:   resolve(r, "request", r.requests, saved.Requests),
			quietUntil: saved.QuietUntil,
		}
	}
	for i, saved := range r.saved.Requests {
		if saved.KeyQueue == nil {
			continue
		}
		if r.requests[i].keyQueue = queues[*saved.KeyQueue]; r.requests[i].keyQueue == nil {
			r.recordError(errUnknownKeyQueue)
		}
	}
}

// readInFlight restores the attempts in flight of each server.
func (r *checkpointReader) readInFlight() {
	for i, saved := range r.saved.Servers {
		for _, at := range saved.InFlight {
			if q := resolveOne(r, "request", r.requests, at[0]); q != nil {
				a := resolveOne(r, "attempt", q.attempts, at[1])
				r.servers[i].inFlight = append(r.servers[i].inFlight, a)
			}
		}
	}
}

func (r *checkpointReader) readPools() {
	for i, saved := range r.saved.Pools {
		p := r.balancer.pools[i]
		p.inService = resolve(r, "server", r.servers, saved.InService)
		p.preferred = resolve(r, "server", r.servers, saved.Preferred)
		p.queued = resolve(r, "request", r.requests, saved.Queued)
		for _, q := range p.queued {
			q.queued = true
		}
		p.inFlight = saved.InFlight
		p.crossZoneShare = saved.CrossZoneShare
		p.preferredLogLatency = saved.PreferredLogLatency
		p.otherLogLatency = saved.OtherLogLatency
		p.serversPerReplica = saved.ServersPerReplica
		p.window = saved.Window
		p.loadRatio = saved.LoadRatio
		p.unloadedRatio = saved.UnloadedRatio
		p.unloadedSamples = saved.UnloadedSamples
		p.peakInFlight = saved.PeakInFlight
		p.floorServers = saved.FloorServers
		p.roundingDraw = saved.RoundingDraw
		p.shedShare = saved.ShedShare
		p.allDisabled = saved.AllDisabled
	}
}

func (r *checkpointReader) readFaultInjector() error {
	saved, faults := r.saved.FaultInjector, r.balancer.faults
	if saved == nil {
		return nil
	}
	if err := faults.rngSource.UnmarshalBinary(saved.RNGState); err != nil {
		return err
	}
	if len(saved.ActiveUntil) != len(faults.activeUntil) {
		return errSettingsMismatch
	}
	copy(faults.activeUntil, saved.ActiveUntil)
	faults.delayed = resolve(r, "request", r.requests, saved.Delayed)
	for _, q := range faults.delayed {
		q.delayed = true
	}
	return nil
}

// recordError keeps the first error.
func (r *checkpointReader) recordError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// resolve returns the entries of a list that indexes refer to. It returns nil if there are no indexes, and
// records an error and returns nil if one is out of range.
func resolve[T any](r *checkpointReader, kind string, list []T, indexes []int) (found []T) {
	for _, i := range indexes {
		if i < 0 || i >= len(list) {
			r.recordError(fmt.Errorf("%s index %d is out of range for %d entries", kind, i, len(list)))
			return nil
		}
		found = append(found, list[i])
	}
	return found
}

// resolveOne returns the entry of a list that an index refers to. It records an error and returns the zero
// value if the index is out of range.
func resolveOne[T any](r *checkpointReader, kind string, list []T, index int) (found T) {
	if all := resolve(r, kind, list, []int{index}); len(all) == 1 {
		return all[0]
	}
	return found
}
