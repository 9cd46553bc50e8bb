package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kinds of faults that affect a Share of the Target server's answers. The affected answers are almost or fully well formed.
const (
	AnswerSecond         Kind = "second"        // followed by a second answer, Wait later, on the same connection
	AnswerSecondRejected Kind = "second-reject" // followed by a marked rejection, Wait later
	AnswerClose          Kind = "close-after"   // the connection is closed after the answer, without notice
	AnswerPieces         Kind = "pieces"        // written byte by byte
	AnswerNoLength       Kind = "no-length"     // without a length, ended by closing the connection
	AnswerShort          Kind = "short"         // shorter than its Content-Length
	AnswerEndless        Kind = "endless"       // without a length and without an end (see maxEndlessTime)
	AnswerLateSecond     Kind = "late-second"   // like AnswerSecond, but while it is active requests take up to lateServiceTime
)

// answerKinds is the list from which kinds are drawn uniformly. Its order determines the plan of a seed. drawAnswerFaults
// relies on its first two entries being the second answers.
var answerKinds = []Kind{AnswerSecond, AnswerSecondRejected, AnswerClose, AnswerPieces, AnswerNoLength, AnswerShort, AnswerEndless}

// lateAnswerStream is the random stream of late second answers, separate for the same reason as answerStream.
const lateAnswerStream = 0x1a7e

// answerStream is the random stream of the faults of answers. It is separate from the stream of the other faults, so that
// those of a recorded seed do not change.
const answerStream = 0xa115

// Parameters of the faults of answers.
const (
	secondAnswerFaults = 3                      // minimum number of faults in a plan that are second answers
	extraAnswerFaults  = 4                      // maximum number of further faults of any kind
	maxSecondWait      = 6 * time.Millisecond   // maximum Wait; the operators' rule says "some milliseconds"
	maxAnswerShare     = 0.2                    // low enough that most requests are served
	minAnswerShare     = 0.02                   // high enough that some requests meet an affected answer
	minAnswerFaultTime = 3 * time.Second        // long enough that connections are reused
	lateAnswerFaults   = 4                      // number of AnswerLateSecond faults in a plan
	maxLateWait        = 100 * time.Millisecond // maximum Wait of AnswerLateSecond; most exceed detectableSecondAnswerDelay
	burstClients       = 8                      // enough that a connection is reused as soon as its answer has arrived
)

// Burst is a number of clients that each send one request after another to a node, without a pause.
type Burst struct {
	Node     int
	From, To time.Duration
	Clients  int
}

// String returns the burst as a line of a run's output.
func (b Burst) String() string {
	return fmt.Sprintf("burst %v to %v which=%d clients=%d", b.From, b.To, b.Node, b.Clients)
}

// drawAnswerFaults draws the faults of answers of a plan. Each of the first secondAnswerFaults gets a burst at its
// beginning: on a connection that stays idle after an answer, it cannot be seen whether the node would reuse the connection
// with a second answer unread.
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

// drawLateAnswers draws second answers that are late enough to reach another request, with a burst each.
func drawLateAnswers(seed uint64, p Plan) (faults []Fault, bursts []Burst) {
	rng := rand.New(rand.NewPCG(seed, lateAnswerStream))
	for range lateAnswerFaults {
		f := drawAnswerFault(rng, p, AnswerLateSecond, maxLateWait)
		faults = append(faults, f)
		bursts = append(bursts, drawBurst(rng, p, f))
	}
	return faults, bursts
}

// drawAnswerFault draws a fault of a kind that ends before the plan's recovery time.
func drawAnswerFault(rng *rand.Rand, p Plan, kind Kind, maxWait time.Duration) Fault {
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(100 * time.Microsecond)
	}
	from := between(firstFault, p.Length-recoveryTime-minAnswerFaultTime)
	return Fault{Kind: kind, From: from, To: between(from+minAnswerFaultTime, p.Length-recoveryTime+1),
		Target: rng.IntN(p.Servers), Wait: between(0, maxWait+1),
		Share: minAnswerShare + (maxAnswerShare-minAnswerShare)*rng.Float64()}
}

// drawBurst draws the node of a burst at the beginning of a fault.
func drawBurst(rng *rand.Rand, p Plan, f Fault) Burst {
	return Burst{Node: rng.IntN(p.Nodes), From: f.From, To: f.From + minAnswerFaultTime, Clients: burstClients}
}
