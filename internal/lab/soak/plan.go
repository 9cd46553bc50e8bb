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
	Silent    Kind = "silent"    // open watches bring nothing any more
	EndWatch  Kind = "end-watch" // open watches are reset
	Slow      Kind = "slow"      // each call to discovery takes Wait
	Crowded   Kind = "crowded"   // discovery handles calls in turn, Wait each, and turns down at once what would wait for long
	Lose      Kind = "lose"      // a Share of the calls to discovery is never answered
	Cut       Kind = "cut"       // a Share of the answers to calls is reset in the middle
	Down      Kind = "down"      // watches are reset, and connections refused or, if Waits, calls turned down after a wait
	Move      Kind = "move"      // SIGHUP: discovery has another address, Count times in a row, Wait apart
	Drain     Kind = "drain"     // a server drains
	Hang      Kind = "hang"      // a server answers nothing
	Reset     Kind = "reset"     // a server resets a Share of the requests that it has begun
	Reject    Kind = "reject"    // a server turns a Share of the requests down
	Fail      Kind = "fail"      // a server answers a Share of the requests with an error
	Pause     Kind = "pause"     // nodes are held up for Wait
	Restart   Kind = "restart"   // a node is told to end, and started again
	Kill      Kind = "kill"      // a node is killed, and started again
	LeaveSoon Kind = "leave"     // a Share of the clients leaves early
)

// kinds in the order in which they are drawn. Drains and what befalls discovery come more often: a rule is broken where
// they meet.
var kinds = []Kind{Drain, Drain, Drain, Silent, Silent, EndWatch, EndWatch, Slow, Slow, Crowded, Crowded, Lose, Cut, Down, Move, Move,
	Hang, Reset, Reject, Fail, Pause, Restart, Kill, LeaveSoon}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     Kind
	From, To time.Duration // To is when it is over, where it lasts
	Which    int           // the server or the node, where it is one
	Wait     time.Duration
	Share    float64
	Count    int
	Waits    bool
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %v to %v which=%d wait=%v share=%.2f count=%d waits=%v", f.Kind, f.From, f.To, f.Which, f.Wait, f.Share, f.Count, f.Waits)
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
	healTime   = 5 * time.Second
	judgedTime = 2 * time.Second

	leastFaults, moreFaults = 4, 8
	longestFault            = 8 * time.Second
)

// after is the plan with its times counted from an earlier moment.
func (p Plan) after(begin time.Duration) Plan {
	p.Faults = slices.Clone(p.Faults)
	for i := range p.Faults {
		p.Faults[i].From += begin
		p.Faults[i].To += begin
	}
	p.Length += begin
	return p
}

// Draw gives the plan of a seed.
func Draw(seed uint64, nodes int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{Seed: seed, Nodes: nodes, Servers: 8, Rate: 8 * nodes, Length: length}
	for range leastFaults + rng.IntN(moreFaults) {
		p.Faults = append(p.Faults, drawFault(rng, p))
	}
	p.Faults = append(p.Faults, drawBlindness(rng, p)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return p
}

// drawBlindness draws faults that meet by chance too seldom: a server drains just after the nodes have lost their watches,
// and discovery is hard to hear for longer than a list may be relied on.
func drawBlindness(rng *rand.Rand, p Plan) []Fault {
	pick := func(list ...Kind) Kind { return list[rng.IntN(len(list))] }
	deaf := drawKind(rng, p, pick(Slow, Slow, Crowded, Lose, Down))
	deaf.From = min(deaf.From, p.Length-healTime-longestFault)
	deaf.To = deaf.From + longestFault
	deaf.Share = 0.6 + 0.4*rng.Float64()
	lost := drawKind(rng, p, pick(Silent, EndWatch, Move))
	lost.From = deaf.From + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
	lost.Wait = min(lost.Wait, 500*time.Millisecond)
	drain := drawKind(rng, p, Drain)
	drain.From = lost.From + time.Duration(rng.Int64N(int64(time.Second)))
	return []Fault{deaf, lost, drain}
}

// drawFault draws one that is over in time.
func drawFault(rng *rand.Rand, p Plan) Fault { return drawKind(rng, p, kinds[rng.IntN(len(kinds))]) }

// drawKind draws a fault of a kind that is over in time.
func drawKind(rng *rand.Rand, p Plan, kind Kind) Fault {
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(time.Millisecond)
	}
	last := p.Length - healTime
	f := Fault{Kind: kind, Share: 0.1 + 0.5*rng.Float64(), Count: 1 + rng.IntN(4), Waits: rng.IntN(2) == 0}
	f.From = between(500*time.Millisecond, last)
	f.To = min(f.From+between(500*time.Millisecond, longestFault), last)
	f.Which = rng.IntN(p.Servers)
	switch f.Kind {
	case Slow:
		f.Wait = between(500*time.Millisecond, 7*time.Second)
	case Crowded:
		f.Wait = between(20*time.Millisecond, 300*time.Millisecond)
	case Move:
		f.Wait = between(100*time.Millisecond, 900*time.Millisecond)
	case Pause:
		f.Wait = between(20*time.Millisecond, 150*time.Millisecond)
		f.Which = rng.IntN(p.Nodes)
	case Restart, Kill:
		f.Which = rng.IntN(p.Nodes)
	}
	return f
}
