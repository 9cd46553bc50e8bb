package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault. Its value is printed in the output of a run.
type Kind string

// Kinds of faults. The comments name the fields of Fault that each kind uses, besides From and To.
const (
	WatchStall                Kind = "silent"    // open watches stop delivering updates and heartbeats
	WatchReset                Kind = "end-watch" // open watches are reset
	DiscoverySlow             Kind = "slow"      // each call to discovery takes Wait
	DiscoveryOverload         Kind = "crowded"   // discovery handles calls one at a time, each for Wait, and at once rejects calls that would wait too long
	DiscoveryDelayedRejection Kind = "crowd"     // like DiscoveryOverload, but rejects such calls only after maxQueueTime, as an outage that holds calls does
	DiscoveryNoAnswer         Kind = "lose"      // a Share of the calls to discovery is never answered
	DiscoveryTruncated        Kind = "cut"       // a Share of discovery's answers is cut in the middle by a reset
	DiscoveryOutage           Kind = "down"      // watches are reset, and connections are refused or, with HoldCalls, calls are rejected after a wait
	DiscoveryMove             Kind = "move"      // discovery changes its address, announced by SIGHUP, Count times at intervals of Wait
	ServerDrain               Kind = "drain"     // the Target server drains
	ServerHang                Kind = "hang"      // the Target server does not answer
	ServerReset               Kind = "reset"     // the Target server resets the connections of a Share of the requests that it has executed
	ServerReject              Kind = "reject"    // the Target server rejects a Share of the requests
	ServerError               Kind = "fail"      // the Target server answers a Share of the requests with 500
	NodePause                 Kind = "pause"     // the Target node is paused with SIGSTOP for Wait
	NodeRestart               Kind = "restart"   // the Target node is sent SIGTERM, SIGKILL after killDelay, and is started again
	NodeKill                  Kind = "kill"      // the Target node is sent SIGKILL and is started again
	ClientCancel              Kind = "leave"     // a Share of the clients cancels early
)

// weightedKinds is the list from which kinds are drawn uniformly. Its order determines the plan of a seed. Drains and faults
// of discovery are listed more often, because violations occur when they overlap.
var weightedKinds = []Kind{
	ServerDrain, ServerDrain, ServerDrain,
	WatchStall, WatchStall, WatchReset, WatchReset,
	DiscoverySlow, DiscoverySlow, DiscoveryOverload, DiscoveryOverload, DiscoveryNoAnswer, DiscoveryTruncated, DiscoveryOutage,
	DiscoveryMove, DiscoveryMove,
	ServerHang, ServerReset, ServerReject, ServerError,
	NodePause, NodeRestart, NodeKill,
	ClientCancel,
}

// Fault is a planned fault. Its Kind determines which fields are used.
type Fault struct {
	Kind      Kind
	From, To  time.Duration // on the clock of the run; To is unused by faults without a duration
	Target    int           // index of the server or the node
	Wait      time.Duration
	Share     float64 // fraction of calls, requests, answers or clients that are affected, from 0 to 1
	Count     int
	HoldCalls bool
}

// String returns the fault as a line of a run's output.
func (f Fault) String() string {
	return fmt.Sprintf("%s %v to %v which=%d wait=%v share=%.2f count=%d waits=%v", f.Kind, f.From, f.To, f.Target, f.Wait, f.Share, f.Count, f.HoldCalls)
}

// Plan is the plan of a run. The same seed, number of nodes and length give the same plan.
type Plan struct {
	Seed       uint64
	Name       string // of a plan that was written by hand instead of drawn from a seed
	Nodes      int
	Servers    int
	Rate       int           // requests per second of all clients
	Length     time.Duration // from the start of the run's clock to the last request
	Faults     []Fault       // sorted by From
	Answers    []Fault       // faults of servers' answers
	Bursts     []Burst
	Late       []Fault // second answers that are late enough to reach another request
	LateBursts []Burst // bursts during the faults in Late
	Series     []SignalSeries
	Floods     []ConnectionFlood
	SlowPeers  []Fault
	Starts     []Fault // an outage of discovery in which nodes start, and a drain before it
	Pushed     bool    // an agent pushes the lists; otherwise nodes poll discovery
}

// Title returns the name of a plan in the output of a run.
func (p Plan) Title() string {
	if p.Name != "" {
		return p.Name
	}
	return fmt.Sprintf("seed %d", p.Seed)
}

// Lines returns everything that the plan injects, one line each.
func (p Plan) Lines() (lines []string) {
	lines = append(lines, fmt.Sprintf("pushed=%v", p.Pushed))
	for _, f := range p.Faults {
		lines = append(lines, f.String())
	}
	for _, f := range slices.Concat(p.Answers, p.Late, p.SlowPeers, p.Starts) {
		lines = append(lines, f.String())
	}
	for _, b := range slices.Concat(p.Bursts, p.LateBursts) {
		lines = append(lines, b.String())
	}
	for _, s := range p.Series {
		lines = append(lines, s.String())
	}
	for _, c := range p.Floods {
		lines = append(lines, c.String())
	}
	return lines
}

// Size of a plan, apart from its nodes.
const (
	planServers         = 8 // enough that some serve while others drain or fail
	planRequestsPerNode = 8 // per second; enough for requests to meet every fault, too few to load the machine
)

// End of a plan: service can be checked only after nodes have had time to recover.
const (
	recoveryTime     = 5 * time.Second // from the end of the last fault to the last request
	serviceCheckTime = 2 * time.Second // the last part of recoveryTime, in which requests must be served
)

// Number and length of the faults of any kind (see drawFault).
const (
	minFaults         = 4                      // enough that some overlap
	extraFaultChoices = 8                      // 0 to 7 faults are added to minFaults
	maxFaultTime      = 8 * time.Second        // longer than an endpoint lease lasts
	minFaultTime      = 500 * time.Millisecond // long enough that requests meet it
	firstFault        = 500 * time.Millisecond // no fault begins earlier
)

// Parameters of the group of faults that makes a stale list likely (see drawStaleListFaults).
const (
	staleMinShare        = 0.6                    // minimum share of the calls to discovery that the outage affects
	staleWatchLossDelay  = 500 * time.Millisecond // maximum time from the beginning of the outage to the loss of the watches
	maxStaleMoveInterval = 500 * time.Millisecond // maximum time between two changes of discovery's address
	staleDrainDelay      = time.Second            // maximum time from the loss of the watches to the drain of a server
)

// Ranges of a fault's fields, for every kind.
const (
	minShare   = 0.1 // minimum Share
	shareRange = 0.5 // maximum that is added to minShare
	maxCount   = 4   // maximum Count
)

// waitRange is the range of a fault's Wait.
type waitRange struct{ min, max time.Duration }

// waitRanges are the ranges of Wait for the kinds that use it.
var waitRanges = map[Kind]waitRange{
	DiscoverySlow:     {500 * time.Millisecond, 7 * time.Second}, // the upper bound exceeds the timeout of a poll
	DiscoveryOverload: {20 * time.Millisecond, 300 * time.Millisecond},
	DiscoveryMove:     {100 * time.Millisecond, 900 * time.Millisecond},
	NodePause:         {20 * time.Millisecond, 150 * time.Millisecond}, // too short to make a request miss its deadline
}

// shifted returns the plan with begin added to all its times and its Length.
func (p Plan) shifted(begin time.Duration) Plan {
	for _, list := range []*[]Fault{&p.Faults, &p.Answers, &p.Late, &p.SlowPeers, &p.Starts} {
		faults := slices.Clone(*list)
		*list = faults
		for i := range faults {
			faults[i].From += begin
			faults[i].To += begin
		}
	}
	p.Series, p.Floods = slices.Clone(p.Series), slices.Clone(p.Floods)
	p.Bursts, p.LateBursts = slices.Clone(p.Bursts), slices.Clone(p.LateBursts)
	for _, bursts := range [][]Burst{p.Bursts, p.LateBursts} {
		for i := range bursts {
			bursts[i].From += begin
			bursts[i].To += begin
		}
	}
	for i := range p.Series {
		p.Series[i].From += begin
	}
	for i := range p.Floods {
		p.Floods[i].From += begin
		p.Floods[i].To += begin
	}
	p.Length += begin
	return p
}

// planStream is the random stream of the faults of a plan, separate from the other streams of the same seed.
const planStream = 0x50a4

// DrawPlan draws the plan of a seed. The order of the random draws is fixed, so that a recorded seed keeps its plan.
func DrawPlan(seed uint64, nodes int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, planStream))
	p := Plan{Seed: seed, Nodes: nodes, Servers: planServers, Rate: planRequestsPerNode * nodes, Length: length}
	for range minFaults + rng.IntN(extraFaultChoices) {
		p.Faults = append(p.Faults, drawFault(rng, p))
	}
	p.Faults = append(p.Faults, drawStaleListFaults(rng, p)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	p.Answers, p.Bursts = drawAnswerFaults(seed, p)
	p.Late, p.LateBursts = drawLateAnswers(seed, p)
	p.Series, p.Floods = drawSignals(seed, p)
	p.SlowPeers = drawSlowPeers(seed, p)
	p.Pushed, p.Starts = drawOutageStarts(seed, p)
	return p
}

// drawStaleListFaults draws a combination of faults that rarely overlap by chance: a server drains shortly after the nodes
// have lost their watches, while discovery is hardly reachable for longer than an endpoint lease lasts.
func drawStaleListFaults(rng *rand.Rand, p Plan) []Fault {
	pick := func(list ...Kind) Kind { return list[rng.IntN(len(list))] }
	outage := drawFaultOf(rng, p, pick(DiscoverySlow, DiscoverySlow, DiscoveryOverload, DiscoveryNoAnswer, DiscoveryOutage))
	outage.From = min(outage.From, p.Length-recoveryTime-maxFaultTime)
	outage.To = outage.From + maxFaultTime
	outage.Share = staleMinShare + (1-staleMinShare)*rng.Float64()
	watchLoss := drawFaultOf(rng, p, pick(WatchStall, WatchReset, DiscoveryMove))
	watchLoss.From = outage.From + time.Duration(rng.Int64N(int64(staleWatchLossDelay)))
	watchLoss.Wait = min(watchLoss.Wait, maxStaleMoveInterval)
	drain := drawFaultOf(rng, p, ServerDrain)
	drain.From = watchLoss.From + time.Duration(rng.Int64N(int64(staleDrainDelay)))
	return []Fault{outage, watchLoss, drain}
}

// drawFault draws a fault of any kind.
func drawFault(rng *rand.Rand, p Plan) Fault {
	return drawFaultOf(rng, p, weightedKinds[rng.IntN(len(weightedKinds))])
}

// drawFaultOf draws a fault of a kind that ends before the plan's recovery time. Most fields are drawn for every kind, so
// that the draws of later faults depend on the kind as little as possible. Wait is drawn only for the kinds that use it, and
// Target is drawn a second time for the faults of nodes.
func drawFaultOf(rng *rand.Rand, p Plan, kind Kind) Fault {
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(time.Millisecond)
	}
	last := p.Length - recoveryTime
	f := Fault{Kind: kind, Share: minShare + shareRange*rng.Float64(), Count: 1 + rng.IntN(maxCount), HoldCalls: rng.IntN(2) == 0}
	f.From = between(firstFault, last)
	f.To = min(f.From+between(minFaultTime, maxFaultTime), last)
	f.Target = rng.IntN(p.Servers)
	if wait, drawn := waitRanges[kind]; drawn {
		f.Wait = between(wait.min, wait.max)
	}
	switch kind {
	case NodePause, NodeRestart, NodeKill:
		f.Target = rng.IntN(p.Nodes)
	}
	return f
}
