package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	WatchStall         Kind = "silent"    // open watches bring nothing any more
	WatchReset         Kind = "end-watch" // open watches are reset
	DiscoverySlow      Kind = "slow"      // each call to discovery takes Wait
	DiscoveryOverload  Kind = "crowded"   // discovery handles calls in turn, Wait each, and turns down at once what would wait for long
	DiscoveryNoAnswer  Kind = "lose"      // a Share of the calls to discovery is never answered
	DiscoveryTruncated Kind = "cut"       // a Share of the answers to calls is reset in the middle
	DiscoveryOutage    Kind = "down"      // watches are reset, and connections refused or, if Waits, calls turned down after a wait
	DiscoveryMove      Kind = "move"      // SIGHUP: discovery has another address, Count times in a row, Wait apart
	ServerDrain        Kind = "drain"     // a server drains
	ServerHang         Kind = "hang"      // a server answers nothing
	ServerReset        Kind = "reset"     // a server resets a Share of the requests that it has begun
	ServerReject       Kind = "reject"    // a server turns a Share of the requests down
	ServerError        Kind = "fail"      // a server answers a Share of the requests with an error
	NodePause          Kind = "pause"     // nodes are held up for Wait
	NodeRestart        Kind = "restart"   // a node is told to end, and started again
	NodeKill           Kind = "kill"      // a node is killed, and started again
	ClientCancel       Kind = "leave"     // a Share of the clients leaves early
)

// kinds in the order in which they are drawn. Drains and what befalls discovery come more often: a rule is broken where
// they meet.
var weightedKinds = []Kind{ServerDrain, ServerDrain, ServerDrain, WatchStall, WatchStall, WatchReset, WatchReset, DiscoverySlow, DiscoverySlow, DiscoveryOverload, DiscoveryOverload, DiscoveryNoAnswer, DiscoveryTruncated, DiscoveryOutage, DiscoveryMove, DiscoveryMove,
	ServerHang, ServerReset, ServerReject, ServerError, NodePause, NodeRestart, NodeKill, ClientCancel}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind      Kind
	From, To  time.Duration // To is when it is over, where it lasts
	Target    int           // the server or the node, where it is one
	Wait      time.Duration
	Share     float64
	Count     int
	HoldCalls bool
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %v to %v which=%d wait=%v share=%.2f count=%d waits=%v", f.Kind, f.From, f.To, f.Target, f.Wait, f.Share, f.Count, f.HoldCalls)
}

// Plan is what is played.
type Plan struct {
	Seed    uint64
	Nodes   int
	Servers int
	Rate    int           // requests a second, of all clients
	Length  time.Duration // from the first request to the last
	Faults  []Fault       // by their begin
}

// The last fault is over so long before the end, and service is judged in the last part of that.
const (
	recoveryTime     = 5 * time.Second
	serviceCheckTime = 2 * time.Second

	minFaults, extraFaults = 4, 8
	maxFaultTime           = 8 * time.Second
)

// after is the plan with its times counted from an earlier moment.
func (p Plan) shifted(begin time.Duration) Plan {
	p.Faults = slices.Clone(p.Faults)
	for i := range p.Faults {
		p.Faults[i].From += begin
		p.Faults[i].To += begin
	}
	p.Length += begin
	return p
}

// Draw gives the plan of a seed.
func DrawPlan(seed uint64, nodes int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{Seed: seed, Nodes: nodes, Servers: 8, Rate: 8 * nodes, Length: length}
	for range minFaults + rng.IntN(extraFaults) {
		p.Faults = append(p.Faults, drawFault(rng, p))
	}
	p.Faults = append(p.Faults, drawStaleListFaults(rng, p)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return p
}

// drawBlindness draws faults that meet by chance too seldom: a server drains just after the nodes have lost their watches,
// and discovery is hard to hear for longer than a list may be relied on.
func drawStaleListFaults(rng *rand.Rand, p Plan) []Fault {
	pick := func(list ...Kind) Kind { return list[rng.IntN(len(list))] }
	outage := drawFaultOf(rng, p, pick(DiscoverySlow, DiscoverySlow, DiscoveryOverload, DiscoveryNoAnswer, DiscoveryOutage))
	outage.From = min(outage.From, p.Length-recoveryTime-maxFaultTime)
	outage.To = outage.From + maxFaultTime
	outage.Share = 0.6 + 0.4*rng.Float64()
	watchLoss := drawFaultOf(rng, p, pick(WatchStall, WatchReset, DiscoveryMove))
	watchLoss.From = outage.From + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
	watchLoss.Wait = min(watchLoss.Wait, 500*time.Millisecond)
	drain := drawFaultOf(rng, p, ServerDrain)
	drain.From = watchLoss.From + time.Duration(rng.Int64N(int64(time.Second)))
	return []Fault{outage, watchLoss, drain}
}

// drawFault draws one that is over in time.
func drawFault(rng *rand.Rand, p Plan) Fault {
	return drawFaultOf(rng, p, weightedKinds[rng.IntN(len(weightedKinds))])
}

// drawKind draws a fault of a kind that is over in time.
func drawFaultOf(rng *rand.Rand, p Plan, kind Kind) Fault {
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(time.Millisecond)
	}
	last := p.Length - recoveryTime
	f := Fault{Kind: kind, Share: 0.1 + 0.5*rng.Float64(), Count: 1 + rng.IntN(4), HoldCalls: rng.IntN(2) == 0}
	f.From = between(500*time.Millisecond, last)
	f.To = min(f.From+between(500*time.Millisecond, maxFaultTime), last)
	f.Target = rng.IntN(p.Servers)
	switch f.Kind {
	case DiscoverySlow:
		f.Wait = between(500*time.Millisecond, 7*time.Second)
	case DiscoveryOverload:
		f.Wait = between(20*time.Millisecond, 300*time.Millisecond)
	case DiscoveryMove:
		f.Wait = between(100*time.Millisecond, 900*time.Millisecond)
	case NodePause:
		f.Wait = between(20*time.Millisecond, 150*time.Millisecond)
		f.Target = rng.IntN(p.Nodes)
	case NodeRestart, NodeKill:
		f.Target = rng.IntN(p.Nodes)
	}
	return f
}
