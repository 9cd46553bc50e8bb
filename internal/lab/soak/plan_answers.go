package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kinds of faults of answers that are well formed, or nearly so. A Share of the Target server's answers is affected.
const (
	AnswerSecond         Kind = "second"        // followed by a second answer, Wait later, on the same connection
	AnswerSecondRejected Kind = "second-reject" // followed by a marked rejection, Wait later
	AnswerClose          Kind = "close-after"   // followed by the end of the connection, unannounced
	AnswerPieces         Kind = "pieces"        // in pieces of a byte
	AnswerNoLength       Kind = "no-length"     // without a length: it ends with its connection
	AnswerShort          Kind = "short"         // shorter than the length that it gives
	AnswerEndless        Kind = "endless"       // without a length and without an end
	AnswerLateSecond     Kind = "late-second"   // followed by a second answer, Wait later; requests take up to lateServiceTime
)

// answerKinds are drawn from uniformly; their order is part of what a seed stands for.
var answerKinds = []Kind{AnswerSecond, AnswerSecondRejected, AnswerClose, AnswerPieces, AnswerNoLength, AnswerShort, AnswerEndless}

// lateAnswerStream keeps the draws of late second answers apart, as answerStream does.
const lateAnswerStream = 0x1a7e

// answerStream keeps the draws of these faults apart from the others, so that those of a kept seed stay what they were.
const answerStream = 0xa115

// Draws of the faults of answers.
const (
	secondAnswerFaults = 3                    // of a plan that are second answers, at least
	extraAnswerFaults  = 4                    // of any kind, at most
	maxSecondWait      = 6 * time.Millisecond // "some milliseconds"
	maxAnswerShare     = 0.2                  // so many are spoilt that requests meet them, and so few that most are served
	minAnswerShare     = 0.02                 // see maxAnswerShare
	minAnswerFaultTime = 3 * time.Second      // long enough that connections are used again
	lateAnswerFaults   = 4                    // of a plan
	maxLateWait        = 100 * time.Millisecond
	burstClients       = 8 // so many that connections are wanted again as soon as they have their answers
)

// Burst is a number of clients that send one request after another to a node, without a pause.
type Burst struct {
	Node     int
	From, To time.Duration
	Clients  int
}

// String is a line of a run's output.
func (b Burst) String() string {
	return fmt.Sprintf("burst %v to %v which=%d clients=%d", b.From, b.To, b.Node, b.Clients)
}

// drawAnswerFaults draws the faults of answers of a plan, and a burst at the begin of each that is a second answer: a
// connection that rests for long by itself hides whether its node cares for what stands behind an answer.
func drawAnswerFaults(seed uint64, p Plan) (faults []Fault, bursts []Burst) {
	rng := rand.New(rand.NewPCG(seed, answerStream))
	for range secondAnswerFaults {
		f := drawAnswerFault(rng, p, answerKinds[rng.IntN(2)], maxSecondWait)
		faults = append(faults, f)
		bursts = append(bursts, drawBurst(rng, p, f))
	}
	for range rng.IntN(extraAnswerFaults + 1) {
		faults = append(faults, drawAnswerFault(rng, p, answerKinds[rng.IntN(len(answerKinds))], maxSecondWait))
	}
	return faults, bursts
}

// drawLateAnswers draws second answers that are so late that they may reach another request, with a burst each.
func drawLateAnswers(seed uint64, p Plan) (faults []Fault, bursts []Burst) {
	rng := rand.New(rand.NewPCG(seed, lateAnswerStream))
	for range lateAnswerFaults {
		f := drawAnswerFault(rng, p, AnswerLateSecond, maxLateWait)
		faults = append(faults, f)
		bursts = append(bursts, drawBurst(rng, p, f))
	}
	return faults, bursts
}

// drawAnswerFault draws a fault of a kind that is over before the plan's recovery time.
func drawAnswerFault(rng *rand.Rand, p Plan, kind Kind, maxWait time.Duration) Fault {
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(100 * time.Microsecond)
	}
	from := between(firstFault, p.Length-recoveryTime-minAnswerFaultTime)
	return Fault{Kind: kind, From: from, To: between(from+minAnswerFaultTime, p.Length-recoveryTime+1),
		Target: rng.IntN(p.Servers), Wait: between(0, maxWait+1),
		Share: minAnswerShare + (maxAnswerShare-minAnswerShare)*rng.Float64()}
}

// drawBurst draws the node of a burst at the begin of a fault.
func drawBurst(rng *rand.Rand, p Plan, f Fault) Burst {
	return Burst{Node: rng.IntN(p.Nodes), From: f.From, To: f.From + minAnswerFaultTime, Clients: burstClients}
}
