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
type saved struct {
	Now       time.Duration  `json:"Now"`
	Random    []byte         `json:"Random"`
	Servers   []savedServer  `json:"Servers"`
	Mapped    int            `json:"Mapped"` // so many of the servers are still known; the others only stand in attempts that have ended
	Requests  []savedRequest `json:"Requests"`
	Classes   []savedClass   `json:"Classes"`
	Pools     []savedPool    `json:"Pools"`
	Lines     []savedLine    `json:"Lines"`
	Errors    float64        `json:"Errors"`
	LastOK    time.Duration  `json:"LastOK"`
	Tokens    float64        `json:"Tokens"`
	SubFails  int            `json:"SubFails"`
	SubWanted time.Duration  `json:"SubWanted"`
	Leaving   bool           `json:"Leaving"`
	Expired   bool           `json:"Expired,omitempty"`
	Hands     []savedHand    `json:"Hands,omitempty"`
	Rules     int            `json:"Rules"`
	Before    []int          `json:"Before,omitempty"` // classes
	Drills    *savedDrills   `json:"Drills,omitempty"`
}

type savedServer struct {
	Server
	Listed   bool          `json:"Listed"`
	Open     [][2]int      `json:"Open"` // request, attempt
	Streak   int           `json:"Streak"`
	Level    int           `json:"Level"`
	Goods    int           `json:"Goods"`
	Until    time.Duration `json:"Until"`
	LastOK   time.Duration `json:"LastOK"`
	Room     int           `json:"Room"`
	Full     time.Duration `json:"Full"`
	Refusals int           `json:"Refusals"`
	Back     time.Duration `json:"Back,omitempty"`
	Hungry   time.Duration `json:"Hungry,omitempty"`
}

type savedHand struct {
	ID   string        `json:"ID"`
	Out  bool          `json:"Out"`
	Back time.Duration `json:"Back"`
}

type savedRequest struct {
	ID        []byte         `json:"ID"` // may be no UTF-8, of which JSON would make something else
	Class     int            `json:"Class"`
	Arrived   time.Duration  `json:"Arrived"`
	Deadline  time.Duration  `json:"Deadline"`
	Attempts  []savedAttempt `json:"Attempts"`
	Repeat    bool           `json:"Repeat"`
	Line      *uint64        `json:"Line"`
	Answered  bool           `json:"Answered"`
	Streaming bool           `json:"Streaming"`
	Wake      time.Duration  `json:"Wake"`
	Resume    time.Duration  `json:"Resume"`
	Most      int            `json:"Most"`
	Bulk      bool           `json:"Bulk,omitempty"`
}

type savedAttempt struct {
	Server  int           `json:"Server"`
	Sent    time.Duration `json:"Sent"`
	Zone    string        `json:"Zone"`
	Cell    int           `json:"Cell"`
	Boot    time.Duration `json:"Boot"`
	Ended   bool          `json:"Ended"`
	Unsent  bool          `json:"Unsent"`
	Outside bool          `json:"Outside,omitempty"`
}

type savedClass struct {
	Mean     float64       `json:"Mean"`
	Dev      float64       `json:"Dev"`
	Samples  float64       `json:"Samples"`
	Arrive   float64       `json:"Arrive"`
	Serve    float64       `json:"Serve"`
	UsualTry time.Duration `json:"UsualTry"`
	Old      *Class        `json:"Old,omitempty"`  // of settings before these
	Pool     int           `json:"Pool,omitempty"` // of an old one
}

type savedPool struct {
	Ready    []int    `json:"Ready"`
	Near     []int    `json:"Near"`
	Held     []int    `json:"Held"`
	InFlight int      `json:"InFlight"`
	Spill    float64  `json:"Spill"`
	Nearby   float64  `json:"Nearby"`
	Far      float64  `json:"Far"`
	Fair     float64  `json:"Fair"`
	Window   float64  `json:"Window"`
	Fill     float64  `json:"Fill"`
	Bare     float64  `json:"Bare"`
	Spared   float64  `json:"Spared"`
	Peak     float64  `json:"Peak"`
	Base     float64  `json:"Base"`
	Part     float64  `json:"Part"`
	Shed     float64  `json:"Shed"`
	Handed   bool     `json:"Handed,omitempty"`
	Zones    []string `json:"Zones"` // nil: all
	Kinds    []string `json:"Kinds"` // nil: all
}

type savedLine struct {
	Key   uint64        `json:"Key"`
	Queue []int         `json:"Queue"`
	Rest  time.Duration `json:"Rest"`
}

type savedDrills struct {
	Random  []byte          `json:"Random"`
	Until   []time.Duration `json:"Until"`
	Delayed []int           `json:"Delayed"`
}

// Checkpoint returns all that a Balancer has learned and holds. One that Restore makes of it goes on as this one
// does.
func (b *Balancer) Checkpoint() ([]byte, error) {
	s := saved{Now: b.now, Errors: b.errors, LastOK: b.lastOK, Tokens: b.tokens, SubFails: b.subFails,
		SubWanted: b.subWanted, Leaving: b.leaving, Expired: b.expired, Rules: b.rules}
	for _, id := range slices.Sorted(maps.Keys(b.hands)) {
		s.Hands = append(s.Hands, savedHand{ID: id, Out: b.hands[id].out, Back: b.hands[id].back})
	}
	var err error
	if s.Random, err = b.src.MarshalBinary(); err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	servers := places[*server]{}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		servers.of(b.servers[id])
	}
	s.Mapped = len(servers.list)
	requests := places[*request]{}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		requests.of(b.requests[id])
	}
	classes := places[*class]{}
	classes.all(b.order)
	for _, name := range slices.Sorted(maps.Keys(b.before)) {
		s.Before = append(s.Before, classes.of(b.before[name]))
	}
	for _, r := range requests.list {
		s.Requests = append(s.Requests, b.saveRequest(r, &servers, &classes))
	}
	for _, v := range servers.list {
		o := savedServer{Server: v.Server, Listed: v.listed, Streak: v.streak, Level: v.level,
			Goods: v.goods, Until: v.until, LastOK: v.lastOK, Room: v.room, Full: v.full, Refusals: v.refusals,
			Back: v.back, Hungry: v.hungry}
		for _, a := range v.open {
			o.Open = append(o.Open, [2]int{requests.of(a.req), a.n})
		}
		s.Servers = append(s.Servers, o)
	}
	for i, c := range classes.list {
		o := savedClass{Mean: c.mean, Dev: c.dev, Samples: c.samples, Arrive: c.arrive,
			Serve: c.serve, UsualTry: c.usualTry}
		if i >= len(b.order) {
			o.Old, o.Pool = &c.Class, slices.Index(b.pools, c.pool)
		}
		s.Classes = append(s.Classes, o)
	}
	for _, p := range b.pools {
		s.Pools = append(s.Pools, savedPool{Ready: servers.all(p.ready), Near: servers.all(p.near),
			Held: requests.all(p.held), InFlight: p.inFlight, Spill: p.spill, Nearby: p.nearby, Far: p.far,
			Fair: p.fair, Window: p.window, Fill: p.fill, Bare: p.bare, Spared: p.spared, Peak: p.peak,
			Base: p.base, Part: p.part, Shed: p.shed, Handed: p.handed, Zones: p.zones, Kinds: p.kinds})
	}
	for _, key := range slices.Sorted(maps.Keys(b.lines)) {
		l := b.lines[key]
		s.Lines = append(s.Lines, savedLine{Key: key, Queue: requests.all(l.queue), Rest: l.rest})
	}
	if d := b.drills; d != nil {
		s.Drills = &savedDrills{Until: d.until, Delayed: requests.all(d.delayed)}
		if s.Drills.Random, err = d.src.MarshalBinary(); err != nil {
			return nil, fmt.Errorf("checkpoint: %w", err)
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	return text, nil
}

func (b *Balancer) saveRequest(r *request, servers *places[*server], classes *places[*class]) savedRequest {
	o := savedRequest{ID: []byte(r.id), Class: classes.of(r.class), Most: r.most, Bulk: r.bulk, Arrived: r.arrived, Deadline: r.deadline,
		Repeat: r.repeat, Answered: r.answered, Streaming: r.streaming, Wake: r.wake, Resume: r.resume}
	if r.line != nil {
		o.Line = &r.line.key
	}
	for _, a := range r.attempts {
		o.Attempts = append(o.Attempts, savedAttempt{Server: servers.of(a.srv), Sent: a.sent, Zone: a.zone,
			Cell: a.cell, Boot: a.boot, Ended: a.ended, Unsent: a.unsent, Outside: a.outside})
	}
	return o
}

// places numbers what it is asked for.
type places[T comparable] struct {
	list []T
	at   map[T]int
}

func (p *places[T]) of(v T) int {
	i, ok := p.at[v]
	if !ok {
		if p.at == nil {
			p.at = map[T]int{}
		}
		i = len(p.list)
		p.at[v] = i
		p.list = append(p.list, v)
	}
	return i
}

func (p *places[T]) all(list []T) (at []int) {
	for _, v := range list {
		at = append(at, p.of(v))
	}
	return at
}

var errNoCheckpoint = errors.New("not a checkpoint of a Balancer with these settings")

// Restore returns a Balancer that goes on from a checkpoint of one with the same settings.
func Restore(set Settings, checkpoint []byte) (*Balancer, error) {
	var s saved
	if err := json.Unmarshal(checkpoint, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoCheckpoint, err)
	}
	b, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	if err := b.src.UnmarshalBinary(s.Random); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoCheckpoint, err)
	}
	if len(s.Classes) < len(b.order) || len(s.Pools) < len(b.pools) || (s.Drills != nil) != (b.drills != nil) ||
		s.Mapped < 0 || s.Mapped > len(s.Servers) {
		return nil, errNoCheckpoint
	}
	b.now, b.errors, b.lastOK, b.tokens = s.Now, s.Errors, s.LastOK, s.Tokens
	b.subFails, b.subWanted, b.leaving, b.expired = s.SubFails, s.SubWanted, s.Leaving, s.Expired
	b.rules = s.Rules
	for _, h := range s.Hands {
		b.hands[h.ID] = hand{out: h.Out, back: h.Back}
	}
	for _, p := range s.Pools[len(b.pools):] {
		b.pools = append(b.pools, &pool{zones: p.Zones, kinds: p.Kinds})
	}
	classes := slices.Clone(b.order)
	for i, c := range s.Classes {
		if i >= len(b.order) {
			if c.Old == nil || c.Pool < 0 || c.Pool >= len(b.pools) {
				return nil, errNoCheckpoint
			}
			classes = append(classes, &class{Class: *c.Old, pool: b.pools[c.Pool]})
		}
		k := classes[i]
		k.mean, k.dev, k.samples, k.arrive, k.serve, k.usualTry = c.Mean, c.Dev, c.Samples, c.Arrive, c.Serve, c.UsualTry
	}
	// Pointers go last: each list must be there before another one points into it.
	f := &fetcher{}
	for _, c := range fetch(f, classes, s.Before) {
		if b.before == nil {
			b.before = map[string]*class{}
		}
		b.before[c.Name] = c
	}
	servers := make([]*server, len(s.Servers))
	for i, o := range s.Servers {
		servers[i] = &server{Server: o.Server, listed: o.Listed, streak: o.Streak, level: o.Level,
			goods: o.Goods, until: o.Until, lastOK: o.LastOK, room: o.Room, full: o.Full, refusals: o.Refusals,
			back: o.Back, hungry: o.Hungry}
		if i < s.Mapped {
			b.servers[o.ID] = servers[i]
		}
	}
	requests := make([]*request, len(s.Requests))
	for i, o := range s.Requests {
		requests[i] = b.loadRequest(o, servers, classes, f)
		b.requests[requests[i].id] = requests[i]
	}
	for _, l := range s.Lines {
		b.lines[l.Key] = &line{key: l.Key, queue: fetch(f, requests, l.Queue), rest: l.Rest}
	}
	for i, o := range s.Requests {
		if o.Line != nil {
			requests[i].line = b.lines[*o.Line]
			f.bad = f.bad || requests[i].line == nil
		}
	}
	for i, o := range s.Servers {
		for _, at := range o.Open {
			r := fetch(f, requests, at[:1])
			if len(r) == 1 {
				servers[i].open = append(servers[i].open, fetch(f, r[0].attempts, at[1:])...)
			}
		}
	}
	for i, o := range s.Pools {
		p := b.pools[i]
		p.ready, p.near, p.held = fetch(f, servers, o.Ready), fetch(f, servers, o.Near), fetch(f, requests, o.Held)
		for _, r := range p.held {
			r.held = true
		}
		p.inFlight, p.spill, p.nearby, p.far = o.InFlight, o.Spill, o.Nearby, o.Far
		p.fair, p.window, p.fill, p.bare, p.spared = o.Fair, o.Window, o.Fill, o.Bare, o.Spared
		p.peak, p.base, p.part, p.shed, p.handed = o.Peak, o.Base, o.Part, o.Shed, o.Handed
	}
	if d := s.Drills; d != nil {
		if err := b.drills.src.UnmarshalBinary(d.Random); err != nil || len(d.Until) != len(b.drills.until) {
			return nil, errNoCheckpoint
		}
		copy(b.drills.until, d.Until)
		b.drills.delayed = fetch(f, requests, d.Delayed)
		for _, r := range b.drills.delayed {
			r.delayed = true
		}
	}
	if f.bad {
		return nil, errNoCheckpoint
	}
	return b, nil
}

func (b *Balancer) loadRequest(o savedRequest, servers []*server, classes []*class, f *fetcher) *request {
	r := &request{id: string(o.ID), arrived: o.Arrived, deadline: o.Deadline, repeat: o.Repeat,
		answered: o.Answered, streaming: o.Streaming, wake: o.Wake, resume: o.Resume, most: o.Most, bulk: o.Bulk}
	if c := fetch(f, classes, []int{o.Class}); len(c) == 1 {
		r.class = c[0]
	}
	for n, a := range o.Attempts {
		if v := fetch(f, servers, []int{a.Server}); len(v) == 1 {
			r.attempts = append(r.attempts, &attempt{req: r, srv: v[0], n: n, sent: a.Sent, zone: a.Zone,
				cell: a.Cell, boot: a.Boot, ended: a.Ended, unsent: a.Unsent, outside: a.Outside})
		}
	}
	return r
}

// fetcher notes whether a place was none.
type fetcher struct{ bad bool }

func fetch[T any](f *fetcher, list []T, at []int) (found []T) {
	for _, i := range at {
		if i < 0 || i >= len(list) {
			f.bad = true
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
	var s saved
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("heir: %w", err)
	}
	s.Requests, s.Lines, s.Before, s.Rules, s.Leaving, s.Expired, s.SubWanted = nil, nil, nil, 0, false, false, 0
	s.Classes = s.Classes[:len(b.order)]
	s.Servers = s.Servers[:s.Mapped]
	for i := range s.Servers {
		s.Servers[i].Open = nil
	}
	for i := range s.Pools {
		s.Pools[i].Held, s.Pools[i].InFlight = nil, 0
	}
	if s.Drills != nil {
		s.Drills.Delayed = nil
	}
	return json.Marshal(s)
}

// RestoreSuccessor returns a Balancer that knows what Heir has of one with the same settings, and draws by a seed of its own.
func RestoreSuccessor(set Settings, heir []byte, seed uint64) (*Balancer, error) {
	b, err := Restore(set, heir)
	if err != nil {
		return nil, err
	}
	b.src.Seed(seed, 0x51a7e)
	return b, nil
}

// DisabledServers are the servers that are out by hand.
func (b *Balancer) DisabledServers() (ids []string) {
	for id, h := range b.hands {
		if h.out {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RestoreDisabled takes servers out that were so in an earlier life of the node. It comes before any event.
func (b *Balancer) RestoreDisabled(ids []string) {
	for _, id := range ids[:min(len(ids), MaxOverrides)] {
		b.hands[id] = hand{out: true}
	}
}
