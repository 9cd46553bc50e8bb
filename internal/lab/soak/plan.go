package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault. Its text is what a run prints.
type Kind string

// Kinds of faults. Which fields of a Fault count is said with each.
const (
	WatchStall                Kind = "silent"    // open watches deliver nothing any more, heartbeats included
	WatchReset                Kind = "end-watch" // open watches are reset
	DiscoverySlow             Kind = "slow"      // each call to discovery takes Wait
	DiscoveryOverload         Kind = "crowded"   // discovery handles calls in turn, Wait each, and rejects at once what would wait for long
	DiscoveryDelayedRejection Kind = "crowd"     // the same, but what would wait for long is rejected only after a wait, as in an outage
	DiscoveryNoAnswer         Kind = "lose"      // a Share of the calls to discovery is never answered
	DiscoveryTruncated        Kind = "cut"       // a Share of the answers to calls is reset in the middle
	DiscoveryOutage           Kind = "down"      // watches are reset, and connections refused or, if HoldCalls, calls rejected after a wait
	DiscoveryMove             Kind = "move"      // SIGHUP: discovery has another address, Count times in a row, Wait apart
	ServerDrain               Kind = "drain"     // the Target server drains
	ServerHang                Kind = "hang"      // the Target server answers nothing
	ServerReset               Kind = "reset"     // the Target server resets a Share of the requests that it has begun
	ServerReject              Kind = "reject"    // the Target server rejects a Share of the requests
	ServerError               Kind = "fail"      // the Target server answers a Share of the requests with 500
	NodePause                 Kind = "pause"     // the Target node is stopped for Wait
	NodeRestart               Kind = "restart"   // the Target node is sent SIGTERM, SIGKILL once it may be, and started again
	NodeKill                  Kind = "kill"      // the Target node is sent SIGKILL, and started again
	ClientCancel              Kind = "leave"     // a Share of the clients cancels early
)

// weightedKinds are drawn from uniformly; their order is part of what a seed stands for. Drains and faults of discovery
// come more often: rules are broken where they overlap.
var weightedKinds = []Kind{
	ServerDrain, ServerDrain, ServerDrain,
	WatchStall, WatchStall, WatchReset, WatchReset,
	DiscoverySlow, DiscoverySlow, DiscoveryOverload, DiscoveryOverload, DiscoveryNoAnswer, DiscoveryTruncated, DiscoveryOutage,
	DiscoveryMove, DiscoveryMove,
	ServerHang, ServerReset, ServerReject, ServerError,
	NodePause, NodeRestart, NodeKill,
	ClientCancel,
}

// Fault is one thing that goes wrong. Which fields count depends on the Kind.
type Fault struct {
	Kind      Kind
	From, To  time.Duration // of the run's clock; To is when it is over, where it lasts
	Target    int           // index of the server or the node
	Wait      time.Duration
	Share     float64 // 0 to 1
	Count     int
	HoldCalls bool
}

// String is a line of a run's output.
func (f Fault) String() string {
	return fmt.Sprintf("%s %v to %v which=%d wait=%v share=%.2f count=%d waits=%v", f.Kind, f.From, f.To, f.Target, f.Wait, f.Share, f.Count, f.HoldCalls)
}

// Plan is what a run does. The same seed, nodes and length give the same plan.
type Plan struct {
	Seed       uint64
	Name       string // of a plan that no seed has drawn
	Nodes      int
	Servers    int
	Rate       int           // requests a second, of all clients
	Length     time.Duration // from the begin of the run to the last request; a plan that is shifted gets longer
	Faults     []Fault       // by their begin
	Answers    []Fault       // of servers' answers
	Bursts     []Burst
	Late       []Fault // second answers that are so late that they may reach another request
	LateBursts []Burst // beside them
	Series     []SignalSeries
	Floods     []ConnectionFlood
}

// Title names a plan in a run's output.
func (p Plan) Title() string {
	if p.Name != "" {
		return p.Name
	}
	return fmt.Sprintf("seed %d", p.Seed)
}

// Lines has all that goes wrong in a plan, a line each.
func (p Plan) Lines() (lines []string) {
	for _, f := range p.Faults {
		lines = append(lines, f.String())
	}
	for _, f := range slices.Concat(p.Answers, p.Late) {
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

// Size of a plan beside its nodes.
const (
	planServers         = 8 // enough that a class keeps servers while some drain or fail
	planRequestsPerNode = 8 // a second: enough to meet every fault, too few to load the machine
)

// End of a plan: service can only be checked once nodes have had the time to recover.
const (
	recoveryTime     = 5 * time.Second // between the end of the last fault and the last request
	serviceCheckTime = 2 * time.Second // the last part of it, in which requests must be served
)

// Number and length of the faults that are drawn freely.
const (
	minFaults         = 4                      // so that some overlap
	extraFaultChoices = 8                      // how many counts of extra faults there are to draw from: 0 to 7 are added to minFaults
	maxFaultTime      = 8 * time.Second        // longer than an endpoint lease lasts
	minFaultTime      = 500 * time.Millisecond // long enough that requests meet it
	firstFault        = 500 * time.Millisecond // none begins before this
)

// Draws of the group of faults that makes a stale list likely (see drawStaleListFaults).
const (
	staleMinShare        = 0.6                    // least share of the calls to discovery that its fault affects
	staleWatchLossDelay  = 500 * time.Millisecond // within which watches are lost after that fault began
	maxStaleMoveInterval = 500 * time.Millisecond // at most, between two changes of discovery's address
	staleDrainDelay      = time.Second            // within which a server drains after the watches were lost
)

// Draws of a fault's fields, for every kind.
const (
	minShare   = 0.1 // least Share
	shareRange = 0.5 // added to it at most
	maxCount   = 4   // most polls or requests that a counted fault strikes
)

// waitRange are the bounds of a fault's Wait.
type waitRange struct{ min, max time.Duration }

// waitRanges are the bounds of Wait, of the kinds that have one.
var waitRanges = map[Kind]waitRange{
	DiscoverySlow:     {500 * time.Millisecond, 7 * time.Second}, // up to beyond a poll's timeout
	DiscoveryOverload: {20 * time.Millisecond, 300 * time.Millisecond},
	DiscoveryMove:     {100 * time.Millisecond, 900 * time.Millisecond},
	NodePause:         {20 * time.Millisecond, 150 * time.Millisecond}, // shorter than what makes a request late
}

// shifted is the plan with its times counted from an earlier moment.
func (p Plan) shifted(begin time.Duration) Plan {
	p.Faults, p.Answers, p.Late = slices.Clone(p.Faults), slices.Clone(p.Answers), slices.Clone(p.Late)
	for _, faults := range [][]Fault{p.Faults, p.Answers, p.Late} {
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

// planStream keeps the draws of plans apart from others of the same seed.
const planStream = 0x50a4

// DrawPlan draws the plan of a seed. The order of the random draws is fixed: a kept seed must go on standing for its plan.
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
	return p
}

// drawStaleListFaults draws faults that overlap too seldom by chance: a server drains just after the nodes have lost their
// watches, while discovery can hardly be reached for longer than an endpoint lease lasts.
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

// drawFaultOf draws a fault of a kind that ends before the plan's recovery time. Most fields are
// drawn for every kind, so that the draws of later faults depend on the kind as little as possible; Wait is drawn only for
// kinds that use it, and Target a second time for the faults of nodes.
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
