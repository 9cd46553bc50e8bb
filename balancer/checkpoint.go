package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// saved is the whole state of a Balancer. Servers and requests stand in lists; what points to one has its place
// there instead.
type savedBalancer struct {
	Now             time.Duration       `json:"Now"`
	RNGState        []byte              `json:"Random"`
	Servers         []savedServer       `json:"Servers"`
	KnownServers    int                 `json:"Mapped"` // so many of the servers are still known; the others only stand in attempts that have ended
	Requests        []savedRequest      `json:"Requests"`
	Classes         []savedClass        `json:"Classes"`
	Pools           []savedPool         `json:"Pools"`
	KeyQueues       []savedKeyQueue     `json:"Lines"`
	ErrorRate       float64             `json:"Errors"`
	LastSuccess     time.Duration       `json:"LastOK"`
	RetryBalance    float64             `json:"Tokens"`
	PollFailures    int                 `json:"SubFails"`
	NextPoll        time.Duration       `json:"SubWanted"`
	ShuttingDown    bool                `json:"Leaving"`
	LeaseExpired    bool                `json:"Expired,omitempty"`
	Overrides       []savedOverride     `json:"Hands,omitempty"`
	SettingsVersion int                 `json:"Rules"`
	PreviousClasses []int               `json:"Before,omitempty"` // classes
	FaultInjector   *savedFaultInjector `json:"Drills,omitempty"`
}

type savedServer struct {
	Server
	Listed                bool          `json:"Listed"`
	InFlight              [][2]int      `json:"Open"` // request, attempt
	ConsecutiveFailures   int           `json:"Streak"`
	EjectionLevel         int           `json:"Level"`
	ConsecutiveSuccesses  int           `json:"Goods"`
	EjectedUntil          time.Duration `json:"Until"`
	LastSuccess           time.Duration `json:"LastOK"`
	CapacityLimit         int           `json:"Room"`
	CapacityLimitUntil    time.Duration `json:"Full"`
	ConsecutiveRejections int           `json:"Refusals"`
	EnabledAt             time.Duration `json:"Back,omitempty"`
	FirstRequestDue       time.Duration `json:"Hungry,omitempty"`
}

type savedOverride struct {
	ID        string        `json:"ID"`
	Disabled  bool          `json:"Out"`
	EnabledAt time.Duration `json:"Back"`
}

type savedRequest struct {
	ID           []byte         `json:"ID"` // may be no UTF-8, of which JSON would make something else
	Class        int            `json:"Class"`
	Arrived      time.Duration  `json:"Arrived"`
	Deadline     time.Duration  `json:"Deadline"`
	Attempts     []savedAttempt `json:"Attempts"`
	ClientRetry  bool           `json:"Repeat"`
	KeyQueue     *uint64        `json:"Line"`
	Answered     bool           `json:"Answered"`
	Streaming    bool           `json:"Streaming"`
	TimerAt      time.Duration  `json:"Wake"`
	DelayedUntil time.Duration  `json:"Resume"`
	MaxAttempts  int            `json:"Most"`
	StreamedBody bool           `json:"Bulk,omitempty"`
}

type savedAttempt struct {
	Server        int           `json:"Server"`
	SentAt        time.Duration `json:"Sent"`
	Zone          string        `json:"Zone"`
	Cell          int           `json:"Cell"`
	ServerStart   time.Duration `json:"Boot"`
	Ended         bool          `json:"Ended"`
	NeverRan      bool          `json:"Unsent"`
	OutsideWindow bool          `json:"Outside,omitempty"`
}

type savedClass struct {
	MeanLatency      float64       `json:"Mean"`
	LatencyDeviation float64       `json:"Dev"`
	Samples          float64       `json:"Samples"`
	Arrivals         float64       `json:"Arrive"`
	Served           float64       `json:"Serve"`
	TypicalBudget    time.Duration `json:"UsualTry"`
	PreviousClass    *Class        `json:"Old,omitempty"`  // of settings before these
	Pool             int           `json:"Pool,omitempty"` // of an old one
}

type savedPool struct {
	Ready             []int    `json:"Ready"`
	Preferred         []int    `json:"Near"`
	Queued            []int    `json:"Held"`
	InFlight          int      `json:"InFlight"`
	CrossZoneShare    float64  `json:"Spill"`
	PreferredLatency  float64  `json:"Nearby"`
	OtherLatency      float64  `json:"Far"`
	ServersPerReplica float64  `json:"Fair"`
	Window            float64  `json:"Window"`
	LoadRatio         float64  `json:"Fill"`
	UnloadedRatio     float64  `json:"Bare"`
	UnloadedSamples   float64  `json:"Spared"`
	PeakInFlight      float64  `json:"Peak"`
	FloorServers      float64  `json:"Base"`
	WindowFraction    float64  `json:"Part"`
	ShedShare         float64  `json:"Shed"`
	AllDisabled       bool     `json:"Handed,omitempty"`
	AllowedZones      []string `json:"Zones"` // nil: all
	AllowedKinds      []string `json:"Kinds"` // nil: all
}

type savedKeyQueue struct {
	Key        uint64        `json:"Key"`
	Requests   []int         `json:"Queue"`
	QuietUntil time.Duration `json:"Rest"`
}

type savedFaultInjector struct {
	RNGState    []byte          `json:"Random"`
	ActiveUntil []time.Duration `json:"Until"`
	Delayed     []int           `json:"Delayed"`
}

// Checkpoint returns all that a Balancer has learned and holds. One that Restore makes of it goes on as this one
// does.
func (b *Balancer) Checkpoint() ([]byte, error) {
	s := savedBalancer{Now: b.now, ErrorRate: b.errorRate, LastSuccess: b.lastSuccess, RetryBalance: b.retryBalance, PollFailures: b.pollFailures,
		NextPoll: b.nextPoll, ShuttingDown: b.shuttingDown, LeaseExpired: b.leaseExpired, SettingsVersion: b.settingsVersion}
	for _, id := range slices.Sorted(maps.Keys(b.overrides)) {
		s.Overrides = append(s.Overrides, savedOverride{ID: id, Disabled: b.overrides[id].disabled, EnabledAt: b.overrides[id].enabledAt})
	}
	var err error
	if s.RNGState, err = b.rngSource.MarshalBinary(); err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	servers := numberTable[*server]{}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		servers.number(b.servers[id])
	}
	s.KnownServers = len(servers.list)
	requests := numberTable[*request]{}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		requests.number(b.requests[id])
	}
	classes := numberTable[*class]{}
	classes.numbers(b.classList)
	for _, name := range slices.Sorted(maps.Keys(b.previousClasses)) {
		s.PreviousClasses = append(s.PreviousClasses, classes.number(b.previousClasses[name]))
	}
	for _, r := range requests.list {
		s.Requests = append(s.Requests, b.saveRequest(r, &servers, &classes))
	}
	for _, v := range servers.list {
		o := savedServer{Server: v.Server, Listed: v.listed, ConsecutiveFailures: v.consecutiveFailures, EjectionLevel: v.ejectionLevel,
			ConsecutiveSuccesses: v.consecutiveSuccesses, EjectedUntil: v.ejectedUntil, LastSuccess: v.lastSuccess, CapacityLimit: v.capacityLimit, CapacityLimitUntil: v.capacityLimitUntil, ConsecutiveRejections: v.consecutiveRejections,
			EnabledAt: v.enabledAt, FirstRequestDue: v.firstRequestDue}
		for _, a := range v.inFlight {
			o.InFlight = append(o.InFlight, [2]int{requests.number(a.request), a.number})
		}
		s.Servers = append(s.Servers, o)
	}
	for i, c := range classes.list {
		o := savedClass{MeanLatency: c.meanLatency, LatencyDeviation: c.latencyDeviation, Samples: c.samples, Arrivals: c.arrivals,
			Served: c.served, TypicalBudget: c.typicalBudget}
		if i >= len(b.classList) {
			o.PreviousClass, o.Pool = &c.Class, slices.Index(b.pools, c.pool)
		}
		s.Classes = append(s.Classes, o)
	}
	for _, p := range b.pools {
		s.Pools = append(s.Pools, savedPool{Ready: servers.numbers(p.ready), Preferred: servers.numbers(p.preferred),
			Queued: requests.numbers(p.queued), InFlight: p.inFlight, CrossZoneShare: p.crossZoneShare, PreferredLatency: p.preferredLatency, OtherLatency: p.otherLatency,
			ServersPerReplica: p.serversPerReplica, Window: p.window, LoadRatio: p.loadRatio, UnloadedRatio: p.unloadedRatio, UnloadedSamples: p.unloadedSamples, PeakInFlight: p.peakInFlight,
			FloorServers: p.floorServers, WindowFraction: p.windowFraction, ShedShare: p.shedShare, AllDisabled: p.allDisabled, AllowedZones: p.allowedZones, AllowedKinds: p.allowedKinds})
	}
	for _, key := range slices.Sorted(maps.Keys(b.keyQueues)) {
		l := b.keyQueues[key]
		s.KeyQueues = append(s.KeyQueues, savedKeyQueue{Key: key, Requests: requests.numbers(l.requests), QuietUntil: l.quietUntil})
	}
	if d := b.faults; d != nil {
		s.FaultInjector = &savedFaultInjector{ActiveUntil: d.activeUntil, Delayed: requests.numbers(d.delayed)}
		if s.FaultInjector.RNGState, err = d.rngSource.MarshalBinary(); err != nil {
			return nil, fmt.Errorf("checkpoint: %w", err)
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	return text, nil
}

func (b *Balancer) saveRequest(r *request, servers *numberTable[*server], classes *numberTable[*class]) savedRequest {
	o := savedRequest{ID: []byte(r.id), Class: classes.number(r.class), MaxAttempts: r.maxAttempts, StreamedBody: r.streamedBody, Arrived: r.arrived, Deadline: r.deadline,
		ClientRetry: r.clientRetry, Answered: r.answered, Streaming: r.streaming, TimerAt: r.timerAt, DelayedUntil: r.delayedUntil}
	if r.keyQueue != nil {
		o.KeyQueue = &r.keyQueue.key
	}
	for _, a := range r.attempts {
		o.Attempts = append(o.Attempts, savedAttempt{Server: servers.number(a.server), SentAt: a.sentAt, Zone: a.zone,
			Cell: a.cell, ServerStart: a.serverStart, Ended: a.ended, NeverRan: a.neverRan, OutsideWindow: a.outsideWindow})
	}
	return o
}

// places numbers what it is asked for.
type numberTable[T comparable] struct {
	list    []T
	indexes map[T]int
}

func (p *numberTable[T]) number(v T) int {
	i, ok := p.indexes[v]
	if !ok {
		if p.indexes == nil {
			p.indexes = map[T]int{}
		}
		i = len(p.list)
		p.indexes[v] = i
		p.list = append(p.list, v)
	}
	return i
}

func (p *numberTable[T]) numbers(list []T) (at []int) {
	for _, v := range list {
		at = append(at, p.number(v))
	}
	return at
}

var errInvalidCheckpoint = errors.New("not a checkpoint of a Balancer with these settings")

// Restore returns a Balancer that goes on from a checkpoint of one with the same settings.
func Restore(set Settings, checkpoint []byte) (*Balancer, error) {
	var s savedBalancer
	if err := json.Unmarshal(checkpoint, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidCheckpoint, err)
	}
	b, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	if err := b.rngSource.UnmarshalBinary(s.RNGState); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidCheckpoint, err)
	}
	if len(s.Classes) < len(b.classList) || len(s.Pools) < len(b.pools) || (s.FaultInjector != nil) != (b.faults != nil) ||
		s.KnownServers < 0 || s.KnownServers > len(s.Servers) {
		return nil, errInvalidCheckpoint
	}
	b.now, b.errorRate, b.lastSuccess, b.retryBalance = s.Now, s.ErrorRate, s.LastSuccess, s.RetryBalance
	b.pollFailures, b.nextPoll, b.shuttingDown, b.leaseExpired = s.PollFailures, s.NextPoll, s.ShuttingDown, s.LeaseExpired
	b.settingsVersion = s.SettingsVersion
	for _, h := range s.Overrides {
		b.overrides[h.ID] = override{disabled: h.Disabled, enabledAt: h.EnabledAt}
	}
	for _, p := range s.Pools[len(b.pools):] {
		b.pools = append(b.pools, &pool{allowedZones: p.AllowedZones, allowedKinds: p.AllowedKinds})
	}
	classes := slices.Clone(b.classList)
	for i, c := range s.Classes {
		if i >= len(b.classList) {
			if c.PreviousClass == nil || c.Pool < 0 || c.Pool >= len(b.pools) {
				return nil, errInvalidCheckpoint
			}
			classes = append(classes, &class{Class: *c.PreviousClass, pool: b.pools[c.Pool]})
		}
		k := classes[i]
		k.meanLatency, k.latencyDeviation, k.samples, k.arrivals, k.served, k.typicalBudget = c.MeanLatency, c.LatencyDeviation, c.Samples, c.Arrivals, c.Served, c.TypicalBudget
	}
	// Pointers go last: each list must be there before another one points into it.
	f := &resolver{}
	for _, c := range resolve(f, classes, s.PreviousClasses) {
		if b.previousClasses == nil {
			b.previousClasses = map[string]*class{}
		}
		b.previousClasses[c.Name] = c
	}
	servers := make([]*server, len(s.Servers))
	for i, o := range s.Servers {
		servers[i] = &server{Server: o.Server, listed: o.Listed, consecutiveFailures: o.ConsecutiveFailures, ejectionLevel: o.EjectionLevel,
			consecutiveSuccesses: o.ConsecutiveSuccesses, ejectedUntil: o.EjectedUntil, lastSuccess: o.LastSuccess, capacityLimit: o.CapacityLimit, capacityLimitUntil: o.CapacityLimitUntil, consecutiveRejections: o.ConsecutiveRejections,
			enabledAt: o.EnabledAt, firstRequestDue: o.FirstRequestDue}
		if i < s.KnownServers {
			b.servers[o.ID] = servers[i]
		}
	}
	requests := make([]*request, len(s.Requests))
	for i, o := range s.Requests {
		requests[i] = b.loadRequest(o, servers, classes, f)
		b.requests[requests[i].id] = requests[i]
	}
	for _, l := range s.KeyQueues {
		b.keyQueues[l.Key] = &keyQueue{key: l.Key, requests: resolve(f, requests, l.Requests), quietUntil: l.QuietUntil}
	}
	for i, o := range s.Requests {
		if o.KeyQueue != nil {
			requests[i].keyQueue = b.keyQueues[*o.KeyQueue]
			f.failed = f.failed || requests[i].keyQueue == nil
		}
	}
	for i, o := range s.Servers {
		for _, at := range o.InFlight {
			r := resolve(f, requests, at[:1])
			if len(r) == 1 {
				servers[i].inFlight = append(servers[i].inFlight, resolve(f, r[0].attempts, at[1:])...)
			}
		}
	}
	for i, o := range s.Pools {
		p := b.pools[i]
		p.ready, p.preferred, p.queued = resolve(f, servers, o.Ready), resolve(f, servers, o.Preferred), resolve(f, requests, o.Queued)
		for _, r := range p.queued {
			r.queued = true
		}
		p.inFlight, p.crossZoneShare, p.preferredLatency, p.otherLatency = o.InFlight, o.CrossZoneShare, o.PreferredLatency, o.OtherLatency
		p.serversPerReplica, p.window, p.loadRatio, p.unloadedRatio, p.unloadedSamples = o.ServersPerReplica, o.Window, o.LoadRatio, o.UnloadedRatio, o.UnloadedSamples
		p.peakInFlight, p.floorServers, p.windowFraction, p.shedShare, p.allDisabled = o.PeakInFlight, o.FloorServers, o.WindowFraction, o.ShedShare, o.AllDisabled
	}
	if d := s.FaultInjector; d != nil {
		if err := b.faults.rngSource.UnmarshalBinary(d.RNGState); err != nil || len(d.ActiveUntil) != len(b.faults.activeUntil) {
			return nil, errInvalidCheckpoint
		}
		copy(b.faults.activeUntil, d.ActiveUntil)
		b.faults.delayed = resolve(f, requests, d.Delayed)
		for _, r := range b.faults.delayed {
			r.delayed = true
		}
	}
	if f.failed {
		return nil, errInvalidCheckpoint
	}
	return b, nil
}

func (b *Balancer) loadRequest(o savedRequest, servers []*server, classes []*class, f *resolver) *request {
	r := &request{id: string(o.ID), arrived: o.Arrived, deadline: o.Deadline, clientRetry: o.ClientRetry,
		answered: o.Answered, streaming: o.Streaming, timerAt: o.TimerAt, delayedUntil: o.DelayedUntil, maxAttempts: o.MaxAttempts, streamedBody: o.StreamedBody}
	if c := resolve(f, classes, []int{o.Class}); len(c) == 1 {
		r.class = c[0]
	}
	for n, a := range o.Attempts {
		if v := resolve(f, servers, []int{a.Server}); len(v) == 1 {
			r.attempts = append(r.attempts, &attempt{request: r, server: v[0], number: n, sentAt: a.SentAt, zone: a.Zone,
				cell: a.Cell, serverStart: a.ServerStart, ended: a.Ended, neverRan: a.NeverRan, outsideWindow: a.OutsideWindow})
		}
	}
	return r
}

// fetcher notes whether a place was none.
type resolver struct{ failed bool }

func resolve[T any](f *resolver, list []T, at []int) (found []T) {
	for _, i := range at {
		if i < 0 || i >= len(list) {
			f.failed = true
			return nil
		}
		found = append(found, list[i])
	}
	return found
}

// SuccessorState returns what a Balancer in another process of the same node has to know: all that was learned and is held of
// servers, without the requests, which stay with this one.
func (b *Balancer) SuccessorState() ([]byte, error) {
	text, err := b.Checkpoint()
	if err != nil {
		return nil, err
	}
	var s savedBalancer
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("heir: %w", err)
	}
	s.Requests, s.KeyQueues, s.PreviousClasses, s.SettingsVersion, s.ShuttingDown, s.LeaseExpired, s.NextPoll = nil, nil, nil, 0, false, false, 0
	s.Classes = s.Classes[:len(b.classList)]
	s.Servers = s.Servers[:s.KnownServers]
	for i := range s.Servers {
		s.Servers[i].InFlight = nil
	}
	for i := range s.Pools {
		s.Pools[i].Queued, s.Pools[i].InFlight = nil, 0
	}
	if s.FaultInjector != nil {
		s.FaultInjector.Delayed = nil
	}
	return json.Marshal(s)
}

// RestoreSuccessor returns a Balancer that knows what Heir has of one with the same settings, and draws by a seed of its own.
func RestoreSuccessor(set Settings, heir []byte, seed uint64) (*Balancer, error) {
	b, err := Restore(set, heir)
	if err != nil {
		return nil, err
	}
	b.rngSource.Seed(seed, 0x51a7e)
	return b, nil
}

// DisabledServers are the servers that are out by hand.
func (b *Balancer) DisabledServers() (ids []string) {
	for id, h := range b.overrides {
		if h.disabled {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RestoreDisabled takes servers out that were so in an earlier life of the node. It comes before any event.
func (b *Balancer) RestoreDisabled(ids []string) {
	for _, id := range ids[:min(len(ids), MaxOverrides)] {
		b.overrides[id] = override{disabled: true}
	}
}
