package soak

import (
	"math/rand/v2"
	"time"
)

// Kinds of faults in which a peer is slow. Peers that write or read in pieces are sound.
const (
	ServerLumps    Kind = "lumps"     // the Target server gives a Share of its answers in pieces, at lumpyRate, with pauses of Wait
	ServerSlowRead Kind = "slow-read" // the Target server reads Count slow pieces at a time, with pauses of Wait
	ClientUpload   Kind = "upload"    // a Share of the non-idempotent requests has a long body, of Count MB
	ClientLumps    Kind = "slow-send" // a Share of the non-idempotent requests has a body that comes in pieces, with pauses of Wait
)

// slowPeerKinds are the kinds of which each plan has slowPeerFaults.
var slowPeerKinds = []Kind{ServerLumps, ServerSlowRead, ClientUpload, ClientLumps}

// slowPeerStream is the random stream of the faults of slow peers, separate for the same reason as answerStream.
const slowPeerStream = 0x510e

// Parameters of the faults of slow peers.
const (
	slowPeerFaults     = 2                       // of each kind in a plan
	minSlowPeerTime    = 3 * time.Second         // long enough that requests meet them
	minSlowPeerShare   = 0.02                    // of answers and requests
	maxSlowPeerShare   = 0.08                    // few enough that the machine bears them
	minLumpPause       = 300 * time.Millisecond  // of servers and clients that write in pieces
	maxLumpPause       = 1900 * time.Millisecond // a sound peer may pause as long
	minReadPause       = 20 * time.Millisecond   // of servers that read slowly
	maxReadPause       = 1200 * time.Millisecond
	maxSlowPeerCount   = 6        // MB of a long body, and pieces of slowReadPiece
	slowReadPiece      = 20 << 10 // bytes
	lumpyRate          = 64 << 10 // bytes per second of a peer that writes in pieces, from the request on
	minLongAnswer      = 80 << 10 // bytes; more than 64 KiB, so that only the first bytes are due at the deadline
	maxLongAnswer      = 200 << 10
	longAnswerTime     = 8 * time.Second // for an answer in pieces, from its first byte on
	maxLumpyUpload     = 160 << 10       // bytes of a body that comes in pieces
	minLumpyUpload     = 70 << 10        // more than a node buffers
	uploadBytesPerUnit = 1 << 20         // of Count
)

// drawSlowPeers draws the faults of slow peers of a plan. All of them end before the plan's recovery time.
func drawSlowPeers(seed uint64, p Plan) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, slowPeerStream))
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(rng.Int64N(int64(to-from)))).Round(time.Millisecond)
	}
	for _, kind := range slowPeerKinds {
		for range slowPeerFaults {
			from := between(firstFault, p.Length-recoveryTime-minSlowPeerTime)
			f := Fault{Kind: kind, From: from, To: between(from+minSlowPeerTime, p.Length-recoveryTime+1), Target: rng.IntN(p.Servers),
				Share: minSlowPeerShare + (maxSlowPeerShare-minSlowPeerShare)*rng.Float64(), Count: 1 + rng.IntN(maxSlowPeerCount)}
			if f.Wait = between(minLumpPause, maxLumpPause); kind == ServerSlowRead {
				f.Wait = between(minReadPause, maxReadPause)
			}
			faults = append(faults, f)
		}
	}
	return faults
}
